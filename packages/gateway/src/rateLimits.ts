/**
 * What servers say, in their answers, of how many requests a second they take; entries
 * tell each other.
 */

import type { UpdateOf } from '@juniperhook/core'
import {
	mergeServerUpdates,
	pruneRateNotices,
	rateLimitOf,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { postNews } from './outbox.ts'
import { dropPermits } from './permitGate.ts'
import type { StatementOrigin } from './ports.ts'

/** Takes the limit that an answer names, or that it names none. */
export function recordAnnouncedLimit(
	ctx: GatewayContext,
	{ server, sentAt, ran }: StatementOrigin,
	perSecond: number | undefined,
): void {
	const at = readElapsed()
	const known = ctx.rateLimits.get(server)
	if (perSecond === undefined) {
		if (known?.perSecond === undefined || !ran) return
		// An answer to a request from before the limit says nothing of its end.
		if (sentAt <= known.since) return
	}
	recordLimits(ctx, [{ kind: 'limit', server, perSecond, at }], 'answer')
}

/** Takes news of limits. */
export function recordLimits(
	ctx: GatewayContext,
	told: readonly UpdateOf<'limit'>[],
	from: string,
): void {
	for (const news of told) recordLimit(ctx, news, from)
}

function recordLimit(
	ctx: GatewayContext,
	news: UpdateOf<'limit'>,
	from: string,
): void {
	const { rateLimits, sharedState: book, outbox } = ctx
	const { server, perSecond } = news
	const before = rateLimitOf(rateLimits, server)
	const fresh = mergeServerUpdates(book, [news], readElapsed())
	if (fresh.length === 0) return
	postNews(outbox, fresh)
	dropPermits(ctx, server)
	ctx.log.write('server limit', { server, perSecond, before, from })
	const inForce = [...rateLimits.keys()].filter(
		id => rateLimitOf(rateLimits, id) !== undefined,
	)
	ctx.metrics.limitedServers.set(inForce.length)
}

/** Forgets old notices of servers. */
export function expireRateLimits({ rateLimits, fleet }: GatewayContext): void {
	if (rateLimits.size === 0) return
	const isListed = (id: string) => fleet.table.rowOf.has(id)
	pruneRateNotices(rateLimits, isListed, readElapsed())
}
