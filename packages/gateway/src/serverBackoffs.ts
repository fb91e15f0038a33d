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
export function recordRequestedBackoff(
	ctx: GatewayContext,
	server: string,
	forMs: number,
): void {
	const entry = ctx.settings.control
	const endsAt = readElapsed() + Math.min(forMs, MAX_BACKOFF_MS)
	recordRests(ctx, [{ kind: 'rest', server, entry, endsAt }], 'answer')
}

/**
 * Takes news of rests. Those of other entries are kept for them: one that starts again
 * is told them.
 */
export function recordRests(
	ctx: GatewayContext,
	told: readonly UpdateOf<'rest'>[],
	from: string,
): void {
	const now = readElapsed()
	const fresh = mergeServerUpdates(ctx.sharedState, told, now)
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
	const before = Math.round(backoffLeftMs(ctx.backoffs, server, now))
	const forMs = Math.round(endsAt - now)
	if (!startBackoff(ctx.backoffs, server, forMs, now)) return
	ctx.log.write('server rests', { server, forMs, before, from })
	countResting(ctx, now)
}

/** Notes that a server took a request that was sent at `sentAt`. */
export function recordAccepted(
	ctx: GatewayContext,
	server: string,
	sentAt: number,
): void {
	if (ctx.backoffs.size === 0) return
	if (!endBackoff(ctx.backoffs, server, sentAt)) return
	ctx.log.write('server rested', { server })
	countResting(ctx, readElapsed())
}

/** Rows of a service's servers that are to be left alone now. */
export function listBackingOff(
	{ backoffs: rests, fleet }: GatewayContext,
	service: string,
): number[] {
	if (rests.size === 0) return []
	const now = readElapsed()
	const rows = fleet.rowsByService.get(service) ?? []
	return rows.filter(
		row => backoffLeftMs(rests, fleet.servers[row]!.id, now) > 0,
	)
}

/** Forgets rests that are long over. */
export function expireBackoffs(ctx: GatewayContext): void {
	const now = readElapsed()
	pruneBackoffs(ctx.backoffs, now)
	pruneExpiredBackoffs(ctx.sharedState, now)
	countResting(ctx, now)
}

function countResting(
	{ backoffs: rests, metrics }: GatewayContext,
	now: number,
): void {
	const resting = [...rests.values()].filter(({ endsAt }) => now < endsAt)
	metrics.restingServers.set(resting.length)
}
