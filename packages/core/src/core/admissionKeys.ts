/**
 * Keys of requests that may not run twice: which one an agent may take, and how long
 * it remembers it.
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

/** Stated bound on the difference between any two clocks, in ms. */
export const MAX_CLOCK_SKEW_MS = 5_000
/** Most keys that an agent remembers. */
export const MAX_KEYS = 20_000
/** Whether the key may be older than what this agent can remember. */
export function checkKeyAge(
	state: AdmissionState,
	claim: KeyClaim,
	at: Moment,
): Unknown | undefined {
	if (claim.fresh || claim.homeSinceWall === undefined) return undefined
	if (claim.wallTime <= at.wall - claim.windowMs) return unknown('keyForgotten')
	const safeSince = Math.max(state.startedWall, claim.homeSinceWall)
	const young = claim.wallTime > safeSince + MAX_CLOCK_SKEW_MS
	return young ? undefined : unknown('keyForgotten')
}

/** Refuses a key that this agent must not run. */
export function checkKeyClaim(
	state: AdmissionState,
	claim: KeyClaim,
	at: Moment,
): NotRun | undefined {
	if (claim.homeSinceWall === undefined) return notRun('notHome')
	if (claim.wallTime > at.wall + MAX_CLOCK_SKEW_MS) return notRun('keyClock')
	if (state.keys.size >= MAX_KEYS) return notRun('keyMemoryFull')
	return undefined
}

/** Remembers the first try of a key. */
export function recordKey(
	state: AdmissionState,
	offer: Offer,
	claim: KeyClaim,
): void {
	const forgetWall = claim.wallTime + claim.windowMs + 2 * MAX_CLOCK_SKEW_MS
	state.keys.set(claim.key, {
		first: attemptNameOf(offer),
		evictWall: forgetWall,
	})
}
