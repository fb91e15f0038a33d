/** Backoffs that servers have requested from this entry with `Retry-After`. */

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
import { enqueueUpdates } from './outbox.ts'

/** Starts a backoff of `forMs` that a server has requested. */
export function recordRequestedBackoff(
	ctx: GatewayContext,
	server: string,
	forMs: number,
): void {
	const entry = ctx.settings.control
	const endsAt = readElapsed() + Math.min(forMs, MAX_BACKOFF_MS)
	receiveBackoffs(ctx, [{ kind: 'rest', server, entry, endsAt }], 'answer')
}

/**
 * Merges updates of backoffs. Those of other entries are kept as well: an entry that
 * restarts gets its own back from its peers.
 */
export function receiveBackoffs(
	ctx: GatewayContext,
	updates: readonly UpdateOf<'rest'>[],
	from: string,
): void {
	const now = readElapsed()
	const changes = mergeServerUpdates(ctx.sharedState, updates, now)
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
	const before = Math.round(backoffLeftMs(ctx.backoffs, server, now))
	const forMs = Math.round(endsAt - now)
	if (!startBackoff(ctx.backoffs, server, forMs, now)) return
	ctx.log.write('server rests', { server, forMs, before, from })
	updateBackoffMetric(ctx, now)
}

/** Ends a server's backoff if the accepted request was sent after it, at `sentAt`. */
export function recordAccepted(
	ctx: GatewayContext,
	server: string,
	sentAt: number,
): void {
	if (ctx.backoffs.size === 0) return
	if (!endBackoff(ctx.backoffs, server, sentAt)) return
	ctx.log.write('server rested', { server })
	updateBackoffMetric(ctx, readElapsed())
}

/** Lists the rows of a service's servers that must not be sent requests now. */
export function listBackingOff(
	{ backoffs, fleet }: GatewayContext,
	service: string,
): number[] {
	if (backoffs.size === 0) return []
	const now = readElapsed()
	const rows = fleet.rowsByService.get(service) ?? []
	return rows.filter(
		row => backoffLeftMs(backoffs, fleet.servers[row]!.id, now) > 0,
	)
}

/** Drops expired backoffs. */
export function expireBackoffs(ctx: GatewayContext): void {
	const now = readElapsed()
	pruneBackoffs(ctx.backoffs, now)
	pruneExpiredBackoffs(ctx.sharedState, now)
	updateBackoffMetric(ctx, now)
}

function updateBackoffMetric(
	{ backoffs, metrics }: GatewayContext,
	now: number,
): void {
	const active = [...backoffs.values()].filter(({ endsAt }) => now < endsAt)
	metrics.restingServers.set(active.length)
}
