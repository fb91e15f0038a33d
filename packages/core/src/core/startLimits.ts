/**
 * What a backend server says of when it takes requests. Its agent alone hands it work, so
 * one pool of permits keeps a limit for all entries.
 */

import type { AdmissionState, StartLimit } from '../internal.ts'
import {
	BACKOFF_PROBE_INTERVAL_MS,
	createPermitPool,
	grantPermits,
	MAX_BACKOFF_MS,
	permitScheduleFor,
} from '../internal.ts'

/** An agent is the only one that sends: no other is to be heard or known. */
const ALONE = { reachable: 1, known: 1, index: 0 }
/** One permit, for use at once. */
const ONE_NOW = { count: 1, withinMs: 0 }

/** Takes it that the server wants nothing for a while; a shorter time ends no longer one. */
export function applyBackoff(
	state: AdmissionState,
	forMs: number,
	now: number,
): void {
	const until = now + Math.min(forMs, MAX_BACKOFF_MS)
	state.backoffUntil = Math.max(state.backoffUntil, until)
	state.nextProbeAt = state.backoffUntil
}

/** Takes what an answer to a request that was started at `startedAt` says of the limit. */
export function applyStartLimit(
	state: AdmissionState,
	perSecond: number | undefined,
	startedAt: number,
	now: number,
): void {
	const known = state.limit
	if (perSecond === known?.perSecond) return
	if (perSecond === undefined) {
		// An answer to a request from before the limit says nothing of its end.
		if (known && startedAt > known.since) state.limit = undefined
		return
	}
	const pool = known?.pool ?? createPermitPool()
	state.limit = { perSecond, since: now, pool }
}

/** Uses up the right to start a request now; false if there is none. */
export function tryAcquireStart(state: AdmissionState, now: number): boolean {
	const { limit, nextProbeAt: nextTryAt } = state
	if (nextTryAt !== undefined && now < nextTryAt) return false
	if (limit && !takeLimited(limit, now)) return false
	if (nextTryAt !== undefined) state.nextProbeAt = now + BACKOFF_PROBE_INTERVAL_MS
	return true
}

function takeLimited(limit: StartLimit, now: number): boolean {
	const pace = permitScheduleFor(limit.perSecond, ALONE)
	return grantPermits(limit.pool, pace, ONE_NOW, now).dueMs.length > 0
}

/** What keeps a request from the backend server, whatever its slots. */
export interface StartDelay {
	readonly kind: 'resting' | 'rateLimited'
	/** For how long, ms; 0 for not at all. */
	readonly forMs: number
}

/** What keeps a request that comes after `ahead` others that wait. */
export function findStartDelay(
	state: AdmissionState,
	ahead: number,
	now: number,
): StartDelay {
	const restMs = restWaitMs(state, ahead, now)
	const limitMs = limitWaitMs(state, ahead, now)
	return restMs >= limitMs
		? { kind: 'resting', forMs: restMs }
		: { kind: 'rateLimited', forMs: limitMs }
}

function restWaitMs(
	{ nextProbeAt: nextTryAt }: AdmissionState,
	ahead: number,
	now: number,
): number {
	if (nextTryAt === undefined) return 0
	return Math.max(0, nextTryAt + ahead * BACKOFF_PROBE_INTERVAL_MS - now)
}

function limitWaitMs(
	{ limit }: AdmissionState,
	ahead: number,
	now: number,
): number {
	if (!limit) return 0
	const { gapMs } = permitScheduleFor(limit.perSecond, ALONE)
	return Math.max(0, limit.pool.nextAt + ahead * gapMs - now)
}
