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
	for (const record of [...state.queue.waiting]) {
		const full = state.running + ahead >= state.slots
		const queueMs = full ? ((ahead + 1) / state.slots) * state.serviceMs : 0
		const delay = findStartDelay(state, ahead, at.now)
		const wait = Math.max(queueMs, delay.forMs)
		const expired = at.now >= record.startBy
		const willExpire = at.now + wait > record.startBy
		const goesElsewhere = delay.forMs > 0 && !record.mayWait
		if (!expired && !willExpire && !goesElsewhere) {
			ahead++
			continue
		}
		const waitKind = delay.forMs > queueMs ? delay.kind : 'overloaded'
		const kind = expired ? 'startBudget' : waitKind
		effects.push(refuseWaiting(state, record, kind, at, Math.ceil(wait)))
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
		const record = dequeue(state.queue)
		if (!record) break
		record.phase = 'running'
		record.startedAt = at.now
		state.running++
		effects.push({ do: 'start', name: attemptNameOf(record) })
	}
	return effects
}

/** Removes a request from the queue and refuses it. */
export function refuseWaiting(
	state: AdmissionState,
	record: AttemptRecord,
	kind: ErrorKind,
	at: Moment,
	retryAfterMs = 0,
): AdmissionEffect {
	removeQueued(state.queue, record)
	record.phase = 'refused'
	record.evictAt = at.now + ATTEMPT_RETENTION_MS
	// It never started, so its key may be used by another attempt.
	if (record.claim) state.keys.delete(record.claim.key)
	const outcome = notRun(kind, retryAfterMs)
	return { do: 'refuse', name: attemptNameOf(record), outcome }
}
