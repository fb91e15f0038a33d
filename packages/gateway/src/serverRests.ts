/** Rests that servers have asked this entry for. */

import type { UpdateOf } from '@juniperhook/core'
import {
	backoffLeftMs,
	endBackoff,
	MAX_BACKOFF_MS,
	mergeServerUpdates,
	pruneBackoffs,
	pruneExpiredBackoffs,
	startBackoff,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { postNews } from './outbox.ts'

/** Takes a server's word that it wants nothing from this entry for `forMs`. */
export function takeRest(
	ctx: GatewayContext,
	server: string,
	forMs: number,
): void {
	const entry = ctx.settings.control
	const endsAt = readElapsed() + Math.min(forMs, MAX_BACKOFF_MS)
	noteRests(ctx, [{ kind: 'rest', server, entry, endsAt }], 'answer')
}

/**
 * Takes news of rests. Those of other entries are kept for them: one that starts again
 * is told them.
 */
export function noteRests(
	ctx: GatewayContext,
	told: readonly UpdateOf<'rest'>[],
	from: string,
): void {
	const now = readElapsed()
	const fresh = mergeServerUpdates(ctx.book, told, now)
	if (from === 'answer') postNews(ctx.outbox, fresh)
	for (const { entry, server, endsAt } of fresh)
		if (entry === ctx.settings.control) keepRest(ctx, server, endsAt, from)
}

function keepRest(
	ctx: GatewayContext,
	server: string,
	endsAt: number,
	from: string,
): void {
	const now = readElapsed()
	const before = Math.round(backoffLeftMs(ctx.rests, server, now))
	const forMs = Math.round(endsAt - now)
	if (!startBackoff(ctx.rests, server, forMs, now)) return
	ctx.log.write('server rests', { server, forMs, before, from })
	countResting(ctx, now)
}

/** Notes that a server took a request that was sent at `sentAt`. */
export function noteTaken(
	ctx: GatewayContext,
	server: string,
	sentAt: number,
): void {
	if (ctx.rests.size === 0) return
	if (!endBackoff(ctx.rests, server, sentAt)) return
	ctx.log.write('server rested', { server })
	countResting(ctx, readElapsed())
}

/** Rows of a service's servers that are to be left alone now. */
export function listResting(
	{ rests, fleet }: GatewayContext,
	service: string,
): number[] {
	if (rests.size === 0) return []
	const now = readElapsed()
	const rows = fleet.rowsOf.get(service) ?? []
	return rows.filter(
		row => backoffLeftMs(rests, fleet.servers[row]!.id, now) > 0,
	)
}

/** Forgets rests that are long over. */
export function tickRests(ctx: GatewayContext): void {
	const now = readElapsed()
	pruneBackoffs(ctx.rests, now)
	pruneExpiredBackoffs(ctx.book, now)
	countResting(ctx, now)
}

function countResting({ rests, metrics }: GatewayContext, now: number): void {
	const resting = [...rests.values()].filter(({ endsAt }) => now < endsAt)
	metrics.restingServers.set(resting.length)
}
