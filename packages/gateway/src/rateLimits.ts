/** Rate limits that servers announce in their answers, and that entries exchange. */

import type { UpdateOf } from '@juniperhook/core'
import {
	mergeServerUpdates,
	pruneRateNotices,
	rateLimitOf,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { enqueueUpdates } from './outbox.ts'
import { dropPermits } from './permitGate.ts'
import type { StatementOrigin } from './ports.ts'

/** Applies the limit that an answer announces, or the absence of one. */
export function recordAnnouncedLimit(
	ctx: GatewayContext,
	{ server, sentAt, ran }: StatementOrigin,
	perSecond: number | undefined,
): void {
	const at = readElapsed()
	const known = ctx.rateLimits.get(server)
	if (perSecond === undefined) {
		if (known?.perSecond === undefined || !ran) return
		// A request sent before the limit began cannot show that it has ended.
		if (sentAt <= known.since) return
	}
	receiveLimits(ctx, [{ kind: 'limit', server, perSecond, at }], 'answer')
}

/** Merges updates of limits. */
export function receiveLimits(
	ctx: GatewayContext,
	updates: readonly UpdateOf<'limit'>[],
	from: string,
): void {
	for (const update of updates) applyLimit(ctx, update, from)
}

function applyLimit(
	ctx: GatewayContext,
	update: UpdateOf<'limit'>,
	from: string,
): void {
	const { rateLimits, sharedState, outbox } = ctx
	const { server, perSecond } = update
	const before = rateLimitOf(rateLimits, server)
	const changes = mergeServerUpdates(sharedState, [update], readElapsed())
	if (changes.length === 0) return
	enqueueUpdates(outbox, changes)
	dropPermits(ctx, server)
	ctx.log.write('server limit', { server, perSecond, before, from })
	const inForce = [...rateLimits.keys()].filter(
		id => rateLimitOf(rateLimits, id) !== undefined,
	)
	ctx.metrics.limitedServers.set(inForce.length)
}

/** Drops expired notices of limits. */
export function expireRateLimits({ rateLimits, fleet }: GatewayContext): void {
	if (rateLimits.size === 0) return
	const isListed = (id: string) => fleet.table.rowOf.has(id)
	pruneRateNotices(rateLimits, isListed, readElapsed())
}
