/**
 * Idempotency keys of requests that must not run twice: which keys an agent accepts and
 * how long it retains them.
 */

import type {
	AdmissionState,
	KeyClaim,
	Moment,
	NotRun,
	Offer,
	Unknown,
} from '../internal.ts'
import { attemptNameOf, notRun, unknown } from '../internal.ts'

/** Assumed upper bound on the difference between any two wall clocks, ms. */
export const MAX_CLOCK_SKEW_MS = 5_000
/** Maximum number of keys that an agent retains. */
export const MAX_KEYS = 20_000

/** Returns `unknown` if this agent's records may not reach back to the key's creation. */
export function checkKeyAge(
	state: AdmissionState,
	claim: KeyClaim,
	at: Moment,
): Unknown | undefined {
	if (claim.fresh || claim.keyHomeSinceWall === undefined) return undefined
	if (claim.wallTime <= at.wall - claim.windowMs) return unknown('keyForgotten')
	const recordsCompleteSince = Math.max(
		state.startedWall,
		claim.keyHomeSinceWall,
	)
	const isRecent = claim.wallTime > recordsCompleteSince + MAX_CLOCK_SKEW_MS
	return isRecent ? undefined : unknown('keyForgotten')
}

/** Returns the refusal of a key that this agent must not run, if any. */
export function checkKeyClaim(
	state: AdmissionState,
	claim: KeyClaim,
	at: Moment,
): NotRun | undefined {
	if (claim.keyHomeSinceWall === undefined) return notRun('notHome')
	if (claim.wallTime > at.wall + MAX_CLOCK_SKEW_MS) return notRun('keyClock')
	if (state.keys.size >= MAX_KEYS) return notRun('keyMemoryFull')
	return undefined
}

/** Records the first attempt of a key. */
export function recordKey(
	state: AdmissionState,
	offer: Offer,
	claim: KeyClaim,
): void {
	const evictWall = claim.wallTime + claim.windowMs + 2 * MAX_CLOCK_SKEW_MS
	state.keys.set(claim.key, {
		first: attemptNameOf(offer),
		evictWall,
	})
}
