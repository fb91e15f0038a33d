/**
 * Quarantines poison requests, which crash the servers that run them: collects evidence
 * from this entry and its peers, and refuses quarantined requests.
 */

import type { UpdateOf } from '@juniperhook/core'
import {
	listQuarantined,
	mergeServerUpdates,
	quarantineLeftMs,
	topByRendezvous,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import { handleRankCrash } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { bodyLengthOf, fingerprintOf } from './fingerprint.ts'
import type { CallerRequest } from './job.ts'
import { enqueueUpdates } from './outbox.ts'
import type { InFlightSummary } from './sentRequests.ts'

/**
 * Time between the entries' turns to retry a quarantined request, ms: longer than the
 * server takes to crash and the evidence to reach all entries.
 */
const RETRY_TURN_MS = 10_000
/**
 * Age beyond which a crash that a peer reports no longer closes the group, ms: the group
 * may be running again.
 */
const MAX_CRASH_AGE_MS = 500

/** Whether a request must not be sent to any server. */
export function isQuarantined(
	ctx: GatewayContext,
	request: CallerRequest,
): boolean {
	const { quarantineGate } = ctx
	if (
		quarantineGate.quarantined.size === 0 ||
		!quarantineGate.bodyLengths.has(request.body.length)
	)
		return false
	return quarantinedForMs(ctx, request) > 0
}

/** Returns how long a request stays quarantined, ms; 0 if it is not. */
export function quarantinedForMs(
	ctx: GatewayContext,
	request: CallerRequest,
): number {
	const { quarantine } = ctx.quarantineGate
	const fingerprint = fingerprintOf(request)
	const turnMs = retryTurnOf(ctx, fingerprint) * RETRY_TURN_MS
	return quarantineLeftMs(quarantine, fingerprint, readElapsed(), turnMs)
}

/** Returns how many other entries retry a request before this one. */
function retryTurnOf({ permitHomes, settings }: GatewayContext, key: string) {
	const { reachable } = permitHomes.membership
	const order = topByRendezvous(key, reachable, reachable.length)
	return Math.max(0, order.indexOf(settings.control))
}

/** Whether a server crashed under a request that no server has answered since. */
export function isSuspected(
	{ quarantineGate }: GatewayContext,
	request: CallerRequest,
): boolean {
	if (!quarantineGate.bodyLengths.has(request.body.length)) return false
	return quarantineGate.quarantine.suspects.has(fingerprintOf(request))
}

/** Records that a server answered a request completely. */
export function recordServed(
	ctx: GatewayContext,
	request: CallerRequest,
): void {
	if (!isSuspected(ctx, request)) return
	const fingerprint = fingerprintOf(request)
	const update = { kind: 'served', fingerprint, at: readElapsed() } as const
	receiveCrashUpdates(ctx, [update], 'here')
}

/** Records a server's crash with the requests that it was running for this entry. */
export function recordServerCrash(
	ctx: GatewayContext,
	server: string,
	at: number,
	running: readonly InFlightSummary[],
): void {
	const ran = new Map<string, number>()
	for (const { fingerprint, since } of running) {
		const ranMs = Math.max(0, at - since)
		ran.set(fingerprint, Math.min(ranMs, ran.get(fingerprint) ?? ranMs))
	}
	receiveCrashUpdates(ctx, [{ kind: 'end', server, at, ran }], 'here')
}

function closeGroupOf(ctx: GatewayContext, id: string): void {
	const row = ctx.fleet.table.rowOf.get(id)
	if (row !== undefined) handleRankCrash(ctx, ctx.fleet.servers[row]!)
}

/** Merges updates of crashes and of requests that were answered. */
export function receiveCrashUpdates(
	ctx: GatewayContext,
	updates: readonly UpdateOf<'end' | 'served'>[],
	from: string,
): void {
	const now = readElapsed()
	const changes = mergeServerUpdates(ctx.sharedState, updates, now)
	if (changes.length === 0) return
	enqueueUpdates(ctx.outbox, changes)
	updateQuarantine(ctx, from)
	if (from === 'here') return
	for (const one of changes)
		if (one.kind === 'end' && now - one.at < MAX_CRASH_AGE_MS)
			closeGroupOf(ctx, one.server)
}

function updateQuarantine(ctx: GatewayContext, from: string): void {
	const { quarantineGate } = ctx
	const { quarantine } = quarantineGate
	const suspects = [...quarantine.suspects.keys()]
	quarantineGate.bodyLengths = new Set(suspects.map(bodyLengthOf))
	const before = quarantineGate.quarantined
	quarantineGate.quarantined = new Set(listQuarantined(quarantine))
	ctx.metrics.quarantined.set(quarantineGate.quarantined.size)
	for (const fingerprint of quarantineGate.quarantined)
		if (!before.has(fingerprint)) cancelQuarantined(ctx, fingerprint, from)
	for (const fingerprint of before)
		if (!quarantineGate.quarantined.has(fingerprint))
			ctx.log.write('request released', { fingerprint, from })
}

/**
 * Logs a newly quarantined request and cancels its instances in flight, which may still
 * prevent the crash of their servers.
 */
function cancelQuarantined(
	ctx: GatewayContext,
	fingerprint: string,
	from: string,
): void {
	const suspicion = ctx.quarantineGate.quarantine.suspects.get(fingerprint)
	ctx.log.write('request quarantined', {
		fingerprint,
		servers: suspicion?.servers ?? [],
		points: suspicion?.points,
		from,
	})
	const length = bodyLengthOf(fingerprint)
	for (const [request, cancel] of [...ctx.cancelByRequest])
		if (
			request.body.length === length &&
			fingerprintOf(request) === fingerprint
		)
			cancel('quarantined')
}
