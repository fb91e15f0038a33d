/**
 * Limits on starting requests at a backend server: its backoff and its rate limit. Only
 * its agent sends requests to it, so a single permit pool enforces the rate limit for
 * all entries.
 */

import type { AdmissionState, StartLimit } from '../internal.ts'
import {
	BACKOFF_PROBE_INTERVAL_MS,
	createPermitPool,
	grantPermits,
	MAX_BACKOFF_MS,
	permitScheduleFor,
} from '../internal.ts'

/** The agent is the only sender, so the whole rate is its share. */
const SINGLE_SENDER = { reachable: 1, known: 1, index: 0 }
/** Request for one permit that is usable now. */
const ONE_PERMIT_NOW = { count: 1, withinMs: 0 }

/** Applies a backoff that the server has requested; a longer one in effect is kept. */
export function applyBackoff(
	state: AdmissionState,
	forMs: number,
	now: number,
): void {
	const until = now + Math.min(forMs, MAX_BACKOFF_MS)
	state.backoffUntil = Math.max(state.backoffUntil, until)
	state.nextProbeAt = state.backoffUntil
}

/**
 * Applies the rate limit that an answer states, or its absence; `startedAt` is when the
 * answered request was started.
 */
export function applyStartLimit(
	state: AdmissionState,
	perSecond: number | undefined,
	startedAt: number,
	now: number,
): void {
	const current = state.limit
	if (perSecond === current?.perSecond) return
	if (perSecond === undefined) {
		// An answer to a request from before the limit does not show that it was lifted.
		if (current && startedAt > current.since) state.limit = undefined
		return
	}
	const pool = current?.pool ?? createPermitPool()
	state.limit = { perSecond, since: now, pool }
}

/** Acquires the right to start a request now; returns whether that was possible. */
export function tryAcquireStart(state: AdmissionState, now: number): boolean {
	const { limit, nextProbeAt } = state
	if (nextProbeAt !== undefined && now < nextProbeAt) return false
	if (limit && !acquirePermit(limit, now)) return false
	if (nextProbeAt !== undefined)
		state.nextProbeAt = now + BACKOFF_PROBE_INTERVAL_MS
	return true
}

function acquirePermit(limit: StartLimit, now: number): boolean {
	const schedule = permitScheduleFor(limit.perSecond, SINGLE_SENDER)
	return (
		grantPermits(limit.pool, schedule, ONE_PERMIT_NOW, now).dueMs.length > 0
	)
}

/** Delay of a start by a backoff or rate limit, whether or not a slot is free. */
export interface StartDelay {
	readonly kind: 'resting' | 'rateLimited'
	/** Duration, ms; 0 if starts are not delayed. */
	readonly forMs: number
}

/** Returns the delay of a request with `ahead` others before it in the queue. */
export function findStartDelay(
	state: AdmissionState,
	ahead: number,
	now: number,
): StartDelay {
	const backoffMs = backoffDelayMs(state, ahead, now)
	const limitMs = limitDelayMs(state, ahead, now)
	return backoffMs >= limitMs
		? { kind: 'resting', forMs: backoffMs }
		: { kind: 'rateLimited', forMs: limitMs }
}

function backoffDelayMs(
	{ nextProbeAt }: AdmissionState,
	ahead: number,
	now: number,
): number {
	if (nextProbeAt === undefined) return 0
	return Math.max(0, nextProbeAt + ahead * BACKOFF_PROBE_INTERVAL_MS - now)
}

function limitDelayMs(
	{ limit }: AdmissionState,
	ahead: number,
	now: number,
): number {
	if (!limit) return 0
	const { intervalMs } = permitScheduleFor(limit.perSecond, SINGLE_SENDER)
	return Math.max(0, limit.pool.nextAt + ahead * intervalMs - now)
}
