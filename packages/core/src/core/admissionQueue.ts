/**
 * The queue of requests at an agent: estimates the wait of a new request, sheds those
 * that can no longer start in time, and starts the next ones.
 */

import type {
	AdmissionEffect,
	AdmissionState,
	AttemptName,
	AttemptRecord,
	ErrorKind,
	Moment,
} from '../internal.ts'
import {
	dequeue,
	findStartDelay,
	notRun,
	removeQueued,
	tryAcquireStart,
} from '../internal.ts'

/** Retention time of void requests and finished attempts, ms. */
export const ATTEMPT_RETENTION_MS = 120_000

/** Returns a string that identifies an attempt, used as a map key. */
export function attemptKey(name: AttemptName): string {
	return `${name.reqId}/${name.attempt}`
}

/** Returns only the name of an attempt. */
export function attemptNameOf(name: AttemptName): AttemptName {
	return { reqId: name.reqId, attempt: name.attempt }
}

/** Estimates how long a new request of this priority would wait, ms. */
export function estimateWait(state: AdmissionState, priority: number): number {
	if (state.running < state.slots) return 0
	const waiting = state.queue.waiting
	let ahead = 0
	while (ahead < waiting.length && waiting[ahead]!.priority <= priority) ahead++
	return ((ahead + 1) / state.slots) * state.serviceMs
}

/** Refuses queued requests as soon as they can no longer start in time. */
export function shedUnstartable(
	state: AdmissionState,
	at: Moment,
): AdmissionEffect[] {
	const effects: AdmissionEffect[] = []
	let ahead = 0
	for (const row of [...state.queue.waiting]) {
		const full = state.running + ahead >= state.slots
		const queueMs = full ? ((ahead + 1) / state.slots) * state.serviceMs : 0
		const delay = findStartDelay(state, ahead, at.now)
		const wait = Math.max(queueMs, delay.forMs)
		const expired = at.now >= row.startBy
		const willExpire = at.now + wait > row.startBy
		const goesElsewhere = delay.forMs > 0 && !row.mayWait
		if (!expired && !willExpire && !goesElsewhere) {
			ahead++
			continue
		}
		const waitKind = delay.forMs > queueMs ? delay.kind : 'overloaded'
		const kind = expired ? 'startBudget' : waitKind
		effects.push(refuseWaiting(state, row, kind, at, Math.ceil(wait)))
	}
	return effects
}

/** Starts queued requests while there are free slots and the start limit allows it. */
export function startNext(
	state: AdmissionState,
	at: Moment,
): AdmissionEffect[] {
	const effects: AdmissionEffect[] = []
	while (state.running < state.slots && state.queue.waiting.length > 0) {
		if (!tryAcquireStart(state, at.now)) break
		const row = dequeue(state.queue)
		if (!row) break
		row.phase = 'running'
		row.startedAt = at.now
		state.running++
		effects.push({ do: 'start', name: attemptNameOf(row) })
	}
	return effects
}

/** Removes a request from the queue and refuses it. */
export function refuseWaiting(
	state: AdmissionState,
	row: AttemptRecord,
	kind: ErrorKind,
	at: Moment,
	retryAfterMs = 0,
): AdmissionEffect {
	removeQueued(state.queue, row)
	row.phase = 'refused'
	row.evictAt = at.now + ATTEMPT_RETENTION_MS
	// It never started, so its key may be used by another attempt.
	if (row.claim) state.keys.delete(row.claim.key)
	const outcome = notRun(kind, retryAfterMs)
	return { do: 'refuse', name: attemptNameOf(row), outcome }
}
