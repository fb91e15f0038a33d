/**
 * Rests that servers have asked this process for: nothing is sent to one until its rest
 * is over, and then one request after the other until it takes one.
 */

import { parseDecimal } from '../internal.ts'

const SECOND_MS = 1_000
/** A server that asks for more is tried again after this time all the same, ms. */
export const MAX_BACKOFF_MS = 600_000
/** Between requests to a server after its rest, until it takes one, ms. */
export const BACKOFF_PROBE_INTERVAL_MS = 50
/** A rest that is over is remembered for this long while nothing is sent, ms. */
const KEPT_MS = 10_000

/** A server's rest. */
export interface ServerBackoff {
	/** When it is over, ms. */
	readonly endsAt: number
	/** Nothing is sent before, ms. */
	nextAt: number
}

/** Rests, by server id: a server that starts again has none. */
export type ServerBackoffs = Map<string, ServerBackoff>

/**
 * Reads a `Retry-After` in seconds, fractions too, ms; undefined for anything else: a date
 * would hang on two clocks.
 */
export function parseRetryAfterMs(text: string): number | undefined {
	const seconds = parseDecimal(text)
	return seconds === undefined ? undefined : seconds * SECOND_MS
}

/** Notes that a server asks for rest; true unless it has asked for as much before. */
export function startBackoff(
	rests: ServerBackoffs,
	server: string,
	forMs: number,
	now: number,
): boolean {
	const endsAt = now + Math.min(forMs, MAX_BACKOFF_MS)
	const known = rests.get(server)?.endsAt ?? now
	if (endsAt <= known) return false
	rests.set(server, { endsAt, nextAt: endsAt })
	return true
}

/** Until a server may be sent a request, ms; 0 if it may now. */
export function backoffLeftMs(
	rests: ServerBackoffs,
	server: string,
	now: number,
): number {
	return Math.max(0, (rests.get(server)?.nextAt ?? now) - now)
}

/** Notes that a request is sent to a server. */
export function recordBackoffProbe(
	rests: ServerBackoffs,
	server: string,
	now: number,
): void {
	const rest = rests.get(server)
	if (rest) rest.nextAt = Math.max(rest.nextAt, now + BACKOFF_PROBE_INTERVAL_MS)
}

/** Notes that a server took a request that was sent at `sentAt`; true if that is news. */
export function endBackoff(
	rests: ServerBackoffs,
	server: string,
	sentAt: number,
): boolean {
	const rest = rests.get(server)
	if (!rest || sentAt < rest.endsAt) return false
	return rests.delete(server)
}

/** Forgets rests that are long over. */
export function pruneBackoffs(rests: ServerBackoffs, now: number): void {
	for (const [server, { endsAt }] of rests)
		if (now - endsAt > KEPT_MS) rests.delete(server)
}
