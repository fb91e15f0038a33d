/**
 * What servers say, in their answers, of how many requests a second they take; entries
 * tell each other.
 */

import type { NewsOf } from '@juniperhook/core'
import {
	forgetRateNotices,
	perSecondOf,
	takeServerNews,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { enqueueUpdates } from './outbox.ts'
import { dropPermits } from './permitGate.ts'
import type { Heard } from './ports.ts'

/** Takes the limit that an answer names, or that it names none. */
export function noteNamedLimit(
	ctx: GatewayContext,
	{ server, sentAt, ran }: Heard,
	perSecond: number | undefined,
): void {
	const at = readElapsed()
	const known = ctx.rateLimits.get(server)
	if (perSecond === undefined) {
		if (known?.perSecond === undefined || !ran) return
		// An answer to a request from before the limit says nothing of its end.
		if (sentAt <= known.since) return
	}
	receiveLimits(ctx, [{ kind: 'limit', server, perSecond, at }], 'answer')
}

/** Takes news of limits. */
export function receiveLimits(
	ctx: GatewayContext,
	told: readonly NewsOf<'limit'>[],
	from: string,
): void {
	for (const news of told) noteLimit(ctx, news, from)
}

function noteLimit(
	ctx: GatewayContext,
	news: NewsOf<'limit'>,
	from: string,
): void {
	const { rateLimits, book, outbox } = ctx
	const { server, perSecond } = news
	const before = perSecondOf(rateLimits, server)
	const fresh = takeServerNews(book, [news], readElapsed())
	if (fresh.length === 0) return
	enqueueUpdates(outbox, fresh)
	dropPermits(ctx, server)
	ctx.log.write('server limit', { server, perSecond, before, from })
	const inForce = [...rateLimits.keys()].filter(
		id => perSecondOf(rateLimits, id) !== undefined,
	)
	ctx.metrics.limitedServers.set(inForce.length)
}

/** Forgets old notices of servers. */
export function forgetRates({ rateLimits, fleet }: GatewayContext): void {
	if (rateLimits.size === 0) return
	const isListed = (id: string) => fleet.table.rowOf.has(id)
	forgetRateNotices(rateLimits, isListed, readElapsed())
}
