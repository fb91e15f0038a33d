/** Converts an offer from its wire format into the terms that admission checks. */

import type { KeyClaim, Offer } from '@juniperhook/core'
import { findKeyHomeSince, readKeyTime, scopeKey } from '@juniperhook/core'
import type { OfferMeta } from '@juniperhook/runtime'
import type { RequestTable } from './requestTable.ts'

const SECOND_MS = 1_000

/** Returns the terms of an offer, with the claim on its idempotency key. */
export function readOffer(table: RequestTable, meta: OfferMeta): Offer {
	const claim = readClaim(table, meta)
	return {
		reqId: meta.reqId,
		attempt: meta.attempt,
		team: meta.team,
		weight: meta.weight,
		priority: meta.priority,
		startBudgetMs: meta.startBudgetMs,
		mayWait: meta.mayWait,
		...(claim && { claim }),
	}
}

function readClaim(table: RequestTable, meta: OfferMeta): KeyClaim | undefined {
	if (meta.key === undefined || meta.service === undefined) return undefined
	const service = table.config.service[meta.service]
	const key = scopeKey(meta.team, meta.service, meta.key)
	return {
		key,
		wallTime: readKeyTime(meta.key) ?? 0,
		windowMs: (service?.keyWindowSeconds ?? 0) * SECOND_MS,
		fresh: meta.freshKey === true,
		keyHomeSinceWall: findKeyHomeSince(table.homes, key, table.serverName),
	}
}
