/**
 * Keeps requests that end servers from all servers: what this entry sees of them and
 * hears from others, and whom it refuses.
 */

import type { NewsOf } from '@juniperhook/core'
import {
	barredForMs,
	listBarred,
	takeServerNews,
	topByRendezvous,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import { noteRankGone } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { bodyLengthOf, fingerprintOf } from './fingerprint.ts'
import type { CallerRequest } from './job.ts'
import { enqueueUpdates } from './outbox.ts'
import type { RunningRequest } from './runs.ts'

/**
 * For which each entry has the turn to try a request again, ms: longer than a server takes
 * to end under it, and than the news of that take.
 */
const TURN_MS = 10_000
/** An end that is told later than this may be over for its group, ms. */
const FRESH_MS = 500

/** Whether a request is to be sent to no server. */
export function isQuarantined(
	ctx: GatewayContext,
	request: CallerRequest,
): boolean {
	const { gate } = ctx
	if (gate.barred.size === 0 || !gate.lengths.has(request.body.length))
		return false
	return quarantinedForMs(ctx, request) > 0
}

/** For how long it is, ms; 0 if it is not. */
export function quarantinedForMs(
	ctx: GatewayContext,
	request: CallerRequest,
): number {
	const { quarantine } = ctx.gate
	const fingerprint = fingerprintOf(request)
	const turnMs = turnOf(ctx, fingerprint) * TURN_MS
	return barredForMs(quarantine, fingerprint, readElapsed(), turnMs)
}

/** How many other entries try a request again before this one. */
function turnOf({ permitHomes, settings }: GatewayContext, key: string) {
	const { heard } = permitHomes.roster
	const order = topByRendezvous(key, heard, heard.length)
	return Math.max(0, order.indexOf(settings.control))
}

/** Whether a server ended under a request that no other has answered since. */
export function isSuspected(
	{ gate }: GatewayContext,
	request: CallerRequest,
): boolean {
	if (!gate.lengths.has(request.body.length)) return false
	return gate.quarantine.suspects.has(fingerprintOf(request))
}

/** Notes that a server gave a request its whole answer. */
export function noteServed(ctx: GatewayContext, request: CallerRequest): void {
	if (!isSuspected(ctx, request)) return
	const fingerprint = fingerprintOf(request)
	const news = { kind: 'served', fingerprint, at: readElapsed() } as const
	receiveCrashUpdates(ctx, [news], 'here')
}

/** Notes that a server ended, and what it was running for this entry. */
export function noteServerCrash(
	ctx: GatewayContext,
	server: string,
	at: number,
	running: readonly RunningRequest[],
): void {
	const ran = new Map<string, number>()
	for (const { fingerprint, since } of running) {
		const ranMs = Math.max(0, at - since)
		ran.set(fingerprint, Math.min(ranMs, ran.get(fingerprint) ?? ranMs))
	}
	receiveCrashUpdates(ctx, [{ kind: 'end', server, at, ran }], 'here')
}

function shutFor(ctx: GatewayContext, id: string): void {
	const row = ctx.fleet.table.rowOf.get(id)
	if (row !== undefined) noteRankGone(ctx, ctx.fleet.servers[row]!)
}

/** Takes news of servers that ended, and of requests that others have served. */
export function receiveCrashUpdates(
	ctx: GatewayContext,
	told: readonly NewsOf<'end' | 'served'>[],
	from: string,
): void {
	const now = readElapsed()
	const fresh = takeServerNews(ctx.book, told, now)
	if (fresh.length === 0) return
	enqueueUpdates(ctx.outbox, fresh)
	judgeAnew(ctx, from)
	if (from === 'here') return
	for (const one of fresh)
		if (one.kind === 'end' && now - one.at < FRESH_MS) shutFor(ctx, one.server)
}

function judgeAnew(ctx: GatewayContext, from: string): void {
	const { gate } = ctx
	const { quarantine } = gate
	const suspects = [...quarantine.suspects.keys()]
	gate.lengths = new Set(suspects.map(bodyLengthOf))
	const before = gate.barred
	gate.barred = new Set(listBarred(quarantine))
	ctx.metrics.quarantined.set(gate.barred.size)
	for (const fingerprint of gate.barred)
		if (!before.has(fingerprint)) bar(ctx, fingerprint, from)
	for (const fingerprint of before)
		if (!gate.barred.has(fingerprint))
			ctx.log.write('request released', { fingerprint, from })
}

/** Whatever of it is under way is ended: its server may still be saved. */
function bar(ctx: GatewayContext, fingerprint: string, from: string): void {
	const suspicion = ctx.gate.quarantine.suspects.get(fingerprint)
	ctx.log.write('request quarantined', {
		fingerprint,
		servers: suspicion?.servers ?? [],
		points: suspicion?.points,
		from,
	})
	const length = bodyLengthOf(fingerprint)
	for (const [request, giveUp] of [...ctx.giveUps])
		if (
			request.body.length === length &&
			fingerprintOf(request) === fingerprint
		)
			giveUp('quarantined')
}
