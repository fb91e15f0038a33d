/** Permits of one server that an entry holds, and when it requests more. */

import type { PermitGrant } from '../internal.ts'
import { permitLifetimeMs } from '../internal.ts'

/** Right to send one request to a server. */
interface Permit {
	/** Start and end of its validity, ms. */
	readonly usableAt: number
	readonly expiresAt: number
}

/** An entry's permits of one server. */
export interface HeldPermits {
	permits: readonly Permit[]
	isRequestPending: boolean
	/** Time before which the permit home grants no further permit, ms. */
	notBefore: number
}

/** Creates a holder without permits. */
export function createHeldPermits(): HeldPermits {
	return {
		permits: [],
		isRequestPending: false,
		notBefore: Number.NEGATIVE_INFINITY,
	}
}

/** Whether a permit is usable now. */
export function hasPermit({ permits }: HeldPermits, now: number): boolean {
	return permits.some(one => isUsable(one, now))
}

function isUsable({ usableAt, expiresAt }: Permit, now: number): boolean {
	return usableAt <= now && now < expiresAt
}

/** Consumes a usable permit; returns false if there is none. */
export function consumePermit(held: HeldPermits, now: number): boolean {
	const used = held.permits.find(one => isUsable(one, now))
	if (!used) return false
	held.permits = held.permits.filter(one => one !== used)
	return true
}

/** Whether to request permits on behalf of callers who can wait for `withinMs`. */
export function shouldRequestPermits(
	held: HeldPermits,
	withinMs: number,
	now: number,
): boolean {
	held.permits = held.permits.filter(({ expiresAt }) => now < expiresAt)
	if (held.isRequestPending || held.permits.length > 0) return false
	return held.notBefore <= now + withinMs
}

/** Adds permits that the permit home has granted at a limit of `perSecond`. */
export function addGrantedPermits(
	held: HeldPermits,
	perSecond: number,
	{ dueMs, waitMs }: PermitGrant,
	now: number,
): void {
	const lifetimeMs = permitLifetimeMs(perSecond)
	const granted = dueMs.map(ms => ({
		usableAt: now + ms,
		expiresAt: now + ms + lifetimeMs,
	}))
	held.permits = [...held.permits, ...granted]
	held.notBefore = now + waitMs
}

/** Returns the times until the unexpired permits become usable, ms, soonest first. */
export function listDueMs({ permits }: HeldPermits, now: number): number[] {
	return permits
		.filter(({ expiresAt }) => now < expiresAt)
		.map(({ usableAt }) => Math.max(0, usableAt - now))
}
