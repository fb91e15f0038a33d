/** Backoffs that servers have requested from this entry with `Retry-After`. */

import type { NewsOf } from '@juniperhook/core'
import {
	forgetNews,
	forgetRests,
	MAX_REST_MS,
	noteRest,
	noteTakenAfterRest,
	restLeftMs,
	takeServerNews,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { enqueueUpdates } from './outbox.ts'

/** Starts a backoff of `forMs` that a server has requested. */
export function takeRest(
	ctx: GatewayContext,
	server: string,
	forMs: number,
): void {
	const entry = ctx.settings.control
	const endsAt = readElapsed() + Math.min(forMs, MAX_REST_MS)
	receiveBackoffs(ctx, [{ kind: 'rest', server, entry, endsAt }], 'answer')
}

/**
 * Merges updates of backoffs. Those of other entries are kept as well: an entry that
 * restarts gets its own back from its peers.
 */
export function receiveBackoffs(
	ctx: GatewayContext,
	updates: readonly NewsOf<'rest'>[],
	from: string,
): void {
	const now = readElapsed()
	const changes = takeServerNews(ctx.book, updates, now)
	if (from === 'answer') enqueueUpdates(ctx.outbox, changes)
	for (const { entry, server, endsAt } of changes)
		if (entry === ctx.settings.control) applyBackoff(ctx, server, endsAt, from)
}

function applyBackoff(
	ctx: GatewayContext,
	server: string,
	endsAt: number,
	from: string,
): void {
	const now = readElapsed()
	const before = Math.round(restLeftMs(ctx.rests, server, now))
	const forMs = Math.round(endsAt - now)
	if (!noteRest(ctx.rests, server, forMs, now)) return
	ctx.log.write('server rests', { server, forMs, before, from })
	updateBackoffMetric(ctx, now)
}

/** Ends a server's backoff if the accepted request was sent after it, at `sentAt`. */
export function noteTaken(
	ctx: GatewayContext,
	server: string,
	sentAt: number,
): void {
	if (ctx.rests.size === 0) return
	if (!noteTakenAfterRest(ctx.rests, server, sentAt)) return
	ctx.log.write('server rested', { server })
	updateBackoffMetric(ctx, readElapsed())
}

/** Lists the rows of a service's servers that must not be sent requests now. */
export function listResting(
	{ rests, fleet }: GatewayContext,
	service: string,
): number[] {
	if (rests.size === 0) return []
	const now = readElapsed()
	const rows = fleet.rowsOf.get(service) ?? []
	return rows.filter(row => restLeftMs(rests, fleet.servers[row]!.id, now) > 0)
}

/** Drops expired backoffs. */
export function tickRests(ctx: GatewayContext): void {
	const now = readElapsed()
	forgetRests(ctx.rests, now)
	forgetNews(ctx.book, now)
	updateBackoffMetric(ctx, now)
}

function updateBackoffMetric(
	{ rests, metrics }: GatewayContext,
	now: number,
): void {
	const resting = [...rests.values()].filter(({ endsAt }) => now < endsAt)
	metrics.restingServers.set(resting.length)
}
