/**
 * Requests that wait at an agent: how long a new one would, which can no longer start
 * in time, and which are started next.
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

/** How long a void order and a finished attempt are remembered, in ms. */
export const ATTEMPT_RETENTION_MS = 120_000
/** One string for a try, as a table key. */
export function attemptKey(name: AttemptName): string {
	return `${name.reqId}/${name.attempt}`
}

/** The name alone of what has more. */
export function attemptNameOf(name: AttemptName): AttemptName {
	return { reqId: name.reqId, attempt: name.attempt }
}

/** How long a new request of this priority would wait, in ms. */
export function estimateWait(state: AdmissionState, priority: number): number {
	if (state.running < state.slots) return 0
	const waiting = state.queue.waiting
	let ahead = 0
	while (ahead < waiting.length && waiting[ahead]!.priority <= priority) ahead++
	return ((ahead + 1) / state.slots) * state.serviceMs
}

/** Gives up, at once, what can no longer start in time. */
export function shedUnstartable(
	state: AdmissionState,
	at: Moment,
): AdmissionEffect[] {
	const effects: AdmissionEffect[] = []
	let ahead = 0
	for (const row of [...state.queue.waiting]) {
		const full = state.running + ahead >= state.slots
		const turnMs = full ? ((ahead + 1) / state.slots) * state.serviceMs : 0
		const held = findStartDelay(state, ahead, at.now)
		const wait = Math.max(turnMs, held.forMs)
		const late = at.now >= row.startBy
		const hopeless = at.now + wait > row.startBy
		const goesElsewhere = held.forMs > 0 && !row.mayWait
		if (!late && !hopeless && !goesElsewhere) {
			ahead++
			continue
		}
		const waitKind = held.forMs > turnMs ? held.kind : 'overloaded'
		const kind = late ? 'startBudget' : waitKind
		effects.push(refuseWaiting(state, row, kind, at, Math.ceil(wait)))
	}
	return effects
}

/** Starts as many as there are slots for, and the limit allows. */
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

/** Refuses one that waits. */
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
	// It never started, so its key is free for another try.
	if (row.claim) state.keys.delete(row.claim.key)
	const outcome = notRun(kind, retryAfterMs)
	return { do: 'refuse', name: attemptNameOf(row), outcome }
}
