/** The permits of one server that an entry has been given, and when it asks for more. */

import type { PermitGrant } from '../internal.ts'
import { permitLifeMs } from '../internal.ts'

/** The right to send one request to a server. */
interface Permit {
	/** When it may be used, and until when, ms. */
	readonly dueAt: number
	readonly until: number
}

/** What an entry has of the permits of one server. */
export interface HeldPermits {
	permits: readonly Permit[]
	isRequestPending: boolean
	/** The server's home gives none before, ms. */
	notBefore: number
}

/** Makes a record of no permits. */
export function createHeldPermits(): HeldPermits {
	return {
		permits: [],
		isRequestPending: false,
		notBefore: Number.NEGATIVE_INFINITY,
	}
}

/** Whether a request may be sent now. */
export function hasPermit({ permits }: HeldPermits, now: number): boolean {
	return permits.some(one => isUsable(one, now))
}

function isUsable({ dueAt, until }: Permit, now: number): boolean {
	return dueAt <= now && now < until
}

/** Uses a permit; false if there is none. */
export function consumePermit(held: HeldPermits, now: number): boolean {
	const used = held.permits.find(one => isUsable(one, now))
	if (!used) return false
	held.permits = held.permits.filter(one => one !== used)
	return true
}

/** Whether to ask for permits for callers who can wait for `withinMs`. */
export function shouldRequestPermits(
	held: HeldPermits,
	withinMs: number,
	now: number,
): boolean {
	held.permits = held.permits.filter(({ until }) => now < until)
	if (held.isRequestPending || held.permits.length > 0) return false
	return held.notBefore <= now + withinMs
}

/** Takes what a home has given out of `perSecond`. */
export function addGrantedPermits(
	held: HeldPermits,
	perSecond: number,
	{ dueMs, waitMs }: PermitGrant,
	now: number,
): void {
	const lifeMs = permitLifeMs(perSecond)
	const given = dueMs.map(ms => ({
		dueAt: now + ms,
		until: now + ms + lifeMs,
	}))
	held.permits = [...held.permits, ...given]
	held.notBefore = now + waitMs
}

/** When the permits that are held may be used, from now, the soonest first, ms. */
export function listDueMs({ permits }: HeldPermits, now: number): number[] {
	return permits
		.filter(({ until }) => now < until)
		.map(({ dueAt }) => Math.max(0, dueAt - now))
}
