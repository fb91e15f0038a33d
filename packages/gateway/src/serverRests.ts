/** Rests that servers have asked this entry for. */

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

/** Takes a server's word that it wants nothing from this entry for `forMs`. */
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
 * Takes news of rests. Those of other entries are kept for them: one that starts again
 * is told them.
 */
export function receiveBackoffs(
	ctx: GatewayContext,
	told: readonly NewsOf<'rest'>[],
	from: string,
): void {
	const now = readElapsed()
	const fresh = takeServerNews(ctx.book, told, now)
	if (from === 'answer') enqueueUpdates(ctx.outbox, fresh)
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
	const before = Math.round(restLeftMs(ctx.rests, server, now))
	const forMs = Math.round(endsAt - now)
	if (!noteRest(ctx.rests, server, forMs, now)) return
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
	if (!noteTakenAfterRest(ctx.rests, server, sentAt)) return
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
	return rows.filter(row => restLeftMs(rests, fleet.servers[row]!.id, now) > 0)
}

/** Forgets rests that are long over. */
export function tickRests(ctx: GatewayContext): void {
	const now = readElapsed()
	forgetRests(ctx.rests, now)
	forgetNews(ctx.book, now)
	countResting(ctx, now)
}

function countResting({ rests, metrics }: GatewayContext, now: number): void {
	const resting = [...rests.values()].filter(({ endsAt }) => now < endsAt)
	metrics.restingServers.set(resting.length)
}
