/**
 * Tells which requests are quarantined or suspected of crashing the servers that run
 * them, by their fingerprints and by the parts of their prompts.
 */

import { quarantineLeftMs, topByRendezvous } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { fingerprintOf } from './fingerprint.ts'
import type { CallerRequest } from './job.ts'

/**
 * Time between the entries' turns to retry a quarantined request, ms: longer than the
 * server takes to crash and the evidence to reach all entries.
 */
const RETRY_TURN_MS = 10_000
/**
 * Time from the news of a crash until other entries have told what else was in flight
 * there and which parts they have got answers with, ms: two intervals of the exchange of
 * updates and their latency.
 */
export const EVIDENCE_MS = 150

/** Returns for how long further evidence about a suspected part may still arrive, ms. */
export function evidenceLeftMs(
	{ quarantineGate }: GatewayContext,
	part: string,
	now: number,
): number {
	const known = quarantineGate.suspectedParts.get(part)
	return known ? Math.max(0, known.learnedAt + EVIDENCE_MS - now) : 0
}

/** Whether a request must not be sent to any server, whatever the parts of its prompt. */
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

/** Whether a request or a part of its prompt is suspected. */
export function isAnySuspected(
	ctx: GatewayContext,
	request: CallerRequest,
): boolean {
	const { suspectedParts } = ctx.quarantineGate
	return (
		request.sharedParts.some(id => suspectedParts.has(id)) ||
		isSuspected(ctx, request)
	)
}
