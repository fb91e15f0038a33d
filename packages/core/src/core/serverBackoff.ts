/**
 * Backoffs that servers request from this process by `Retry-After` (`rest` on the wire):
 * nothing is sent to a server until its backoff is over, and then single requests as
 * probes until it accepts one.
 */

import { parseDecimal } from '../internal.ts'

const SECOND_MS = 1_000
/** Maximum backoff, ms, even if the server asks for more. */
export const MAX_BACKOFF_MS = 600_000
/** Interval between probes to a server after its backoff, ms. */
export const BACKOFF_PROBE_INTERVAL_MS = 50
/** Retention of a backoff that is over while no request is sent, ms. */
const RETENTION_MS = 10_000

/** Backoff of a server. */
export interface ServerBackoff {
	/** When it is over, ms. */
	readonly endsAt: number
	/** Time of the next probe, ms; nothing is sent before. */
	nextAt: number
}

/** Backoffs by server id; a restarted server has a new id and thus none. */
export type ServerBackoffs = Map<string, ServerBackoff>

/**
 * Parses a `Retry-After` in seconds, including fractions, to ms. Returns undefined for
 * anything else: a date would depend on the clocks of two machines.
 */
export function parseRetryAfterMs(text: string): number | undefined {
	const seconds = parseDecimal(text)
	return seconds === undefined ? undefined : seconds * SECOND_MS
}

/** Starts or extends a server's backoff; returns true if it ends later than before. */
export function startBackoff(
	backoffs: ServerBackoffs,
	server: string,
	forMs: number,
	now: number,
): boolean {
	const endsAt = now + Math.min(forMs, MAX_BACKOFF_MS)
	const known = backoffs.get(server)?.endsAt ?? now
	if (endsAt <= known) return false
	backoffs.set(server, { endsAt, nextAt: endsAt })
	return true
}

/** Returns the time until a server may be sent a request, ms; 0 if it may now. */
export function backoffLeftMs(
	backoffs: ServerBackoffs,
	server: string,
	now: number,
): number {
	return Math.max(0, (backoffs.get(server)?.nextAt ?? now) - now)
}

/** Records that a request is sent to a server, which delays the next probe. */
export function recordBackoffProbe(
	backoffs: ServerBackoffs,
	server: string,
	now: number,
): void {
	const backoff = backoffs.get(server)
	if (backoff)
		backoff.nextAt = Math.max(backoff.nextAt, now + BACKOFF_PROBE_INTERVAL_MS)
}

/**
 * Ends a server's backoff if the server accepted a request that was sent after it;
 * returns true if there was a backoff to end.
 */
export function endBackoff(
	backoffs: ServerBackoffs,
	server: string,
	sentAt: number,
): boolean {
	const backoff = backoffs.get(server)
	if (!backoff || sentAt < backoff.endsAt) return false
	return backoffs.delete(server)
}

/** Evicts backoffs that have been over for the retention time. */
export function pruneBackoffs(backoffs: ServerBackoffs, now: number): void {
	for (const [server, { endsAt }] of backoffs)
		if (now - endsAt > RETENTION_MS) backoffs.delete(server)
}
