/**
 * Admission of requests at the agent. Only the agent sends requests to its backend
 * server, so only the agent can prove that a request did not run.
 *
 * A single transition function over plain state: `stepAdmission(state, event, at)`
 * updates the state and returns the effects that the daemon has to carry out. Times
 * are monotonic milliseconds; names containing `wall` are Unix milliseconds.
 */

import type {
	AdmissionEffect,
	AdmissionEvent,
	AdmissionState,
	AttemptName,
	AttemptRecord,
	CompletionKind,
	ErrorKind,
	KeyRecord,
	Moment,
	NotRun,
	Offer,
	Unknown,
	VoidAnswer,
} from '../internal.ts'
import {
	ATTEMPT_RETENTION_MS,
	applyBackoff,
	applyStartLimit,
	attemptKey,
	attemptNameOf,
	checkKeyAge,
	checkKeyClaim,
	createFairQueue,
	enqueue,
	estimateWait,
	findStartDelay,
	notRun,
	recordKey,
	refuseWaiting,
	shedUnstartable,
	startNext,
	unknown,
} from '../internal.ts'

/** Gap between two events after which the process counts as having been paused, ms. */
export const PAUSE_THRESHOLD_MS = 1_000
/**
 * Time after a pause during which offers are refused, ms: they may have been waiting
 * in a socket buffer during the pause.
 */
export const PAUSE_GRACE_MS = 100
/** Maximum number of requests in an agent's queue. */
export const MAX_WAITING = 4_096
/** Smoothing factor of the moving average of service times. */
const SERVICE_TIME_DECAY = 0.1

/** Creates the state of an agent that has just started. */
export function createAdmission(at: Moment, slots: number): AdmissionState {
	return {
		startedWall: at.wall,
		slots,
		mode: 'serving',
		lastEventAt: at,
		pauseEndedAt: Number.NEGATIVE_INFINITY,
		backoffUntil: Number.NEGATIVE_INFINITY,
		nextProbeAt: undefined,
		limit: undefined,
		serverLeaves: false,
		running: 0,
		serviceMs: 0,
		attempts: new Map(),
		voided: new Map(),
		keys: new Map(),
		queue: createFairQueue(),
	}
}

/** Applies `event` to the state and returns the resulting effects. */
export function stepAdmission(
	state: AdmissionState,
	event: AdmissionEvent,
	at: Moment,
): AdmissionEffect[] {
	const effects = detectPause(state, at)
	switch (event.type) {
		case 'offer':
			effects.push(...admit(state, event.offer, at))
			break
		case 'void':
			effects.push(...voidAttempt(state, event.name, at))
			break
		case 'cancel':
			effects.push(...cancel(state, event.name, at))
			break
		case 'finish':
			finish(state, event.name, event.how, at)
			break
		case 'leave':
			state.mode = 'leaving'
			break
		case 'suspect':
			if (state.mode === 'serving') state.mode = 'suspect'
			break
		case 'rest':
			applyBackoff(state, event.forMs, at.now)
			break
		case 'taken':
			// A request that was started before the backoff does not show that it is over.
			if (event.startedAt >= state.backoffUntil) state.nextProbeAt = undefined
			break
		case 'limit':
			applyStartLimit(state, event.perSecond, event.startedAt, at.now)
			break
		case 'serverLeaves':
			state.serverLeaves = true
			effects.push(...refuseAll(state, 'leaving', at))
			break
		case 'serverStarts':
			resetServerSignals(state)
			break
		case 'tick':
			evictExpired(state, at)
			break
		default:
			event satisfies never
	}
	effects.push(...shedUnstartable(state, at))
	effects.push(...startNext(state, at))
	return effects
}

/** Returns the answer to a void request; call it after the `void` event was applied. */
export function answerVoid(
	state: AdmissionState,
	name: AttemptName,
): VoidAnswer {
	return state.voided.has(attemptKey(name)) ? 'void' : 'started'
}

/**
 * Detects a pause of this process and refuses all queued requests: their entries may
 * have abandoned them in the meantime, so they must not be started late.
 */
function detectPause(state: AdmissionState, at: Moment): AdmissionEffect[] {
	const { lastEventAt } = state
	state.lastEventAt = at
	// The monotonic clock stops while the VM is suspended, so the wall clock is compared
	// too. A wall clock that is set ahead cannot be distinguished from a suspension.
	const gap = Math.max(at.now - lastEventAt.now, at.wall - lastEventAt.wall)
	if (gap <= PAUSE_THRESHOLD_MS) return []
	state.pauseEndedAt = at.now
	return refuseAll(state, 'paused', at)
}

function refuseAll(
	state: AdmissionState,
	kind: ErrorKind,
	at: Moment,
): AdmissionEffect[] {
	const waiting = [...state.queue.waiting]
	return waiting.map(record => refuseWaiting(state, record, kind, at))
}

/** Discards the signals of the previous incarnation of the backend server. */
function resetServerSignals(state: AdmissionState): void {
	state.serverLeaves = false
	state.limit = undefined
	state.backoffUntil = Number.NEGATIVE_INFINITY
	state.nextProbeAt = undefined
}

function admit(
	state: AdmissionState,
	offer: Offer,
	at: Moment,
): AdmissionEffect[] {
	const id = attemptKey(offer)
	// A duplicate message: the first copy has already been applied.
	if (state.attempts.has(id)) return []
	const earlier = offer.claim && state.keys.get(offer.claim.key)
	if (earlier) return [attach(state, offer, earlier)]
	const outcome = findRefusal(state, offer, at)
	if (outcome) return [{ do: 'refuse', name: attemptNameOf(offer), outcome }]
	const record: AttemptRecord = {
		...offer,
		phase: 'waiting',
		startBy: at.now + offer.startBudgetMs,
		startedAt: 0,
		evictAt: Number.POSITIVE_INFINITY,
		virtualStart: 0,
		order: 0,
	}
	state.attempts.set(id, record)
	if (offer.claim) recordKey(state, offer, offer.claim)
	enqueue(state.queue, record)
	return []
}

/** Attaches the offer to the earlier attempt with the same key, whose outcome is final. */
function attach(
	state: AdmissionState,
	offer: Offer,
	earlier: KeyRecord,
): AdmissionEffect {
	const name = attemptNameOf(offer)
	const phase = state.attempts.get(attemptKey(earlier.first))?.phase
	switch (phase) {
		case 'waiting':
		case 'running':
		case 'whole':
			return { do: 'attach', name, first: earlier.first }
		case 'broken':
		case 'refused':
		case undefined:
			return { do: 'refuse', name, outcome: unknown('keyForgotten') }
		default:
			return phase satisfies never
	}
}

function findRefusal(
	state: AdmissionState,
	offer: Offer,
	at: Moment,
): NotRun | Unknown | undefined {
	// Must come first: a key that may have run before must never be reported as `notRun`.
	const evicted = offer.claim && checkKeyAge(state, offer.claim, at)
	if (evicted) return evicted
	if (state.voided.has(attemptKey(offer))) return notRun('voided')
	if (state.mode === 'leaving' || state.serverLeaves) return notRun('leaving')
	if (state.mode === 'suspect') return notRun('groupSplit')
	if (at.now - state.pauseEndedAt < PAUSE_GRACE_MS) return notRun('paused')
	if (state.queue.waiting.length >= MAX_WAITING) return notRun('overloaded')
	const rejected = offer.claim && checkKeyClaim(state, offer.claim, at)
	if (rejected) return rejected
	const delay = findStartDelay(state, state.queue.waiting.length, at.now)
	const maxDelayMs = offer.mayWait ? offer.startBudgetMs : 0
	if (delay.forMs > maxDelayMs)
		return notRun(delay.kind, Math.ceil(delay.forMs))
	const wait = estimateWait(state, offer.priority)
	if (wait <= offer.startBudgetMs) return undefined
	return notRun('overloaded', Math.ceil(wait))
}

function voidAttempt(
	state: AdmissionState,
	name: AttemptName,
	at: Moment,
): AdmissionEffect[] {
	const id = attemptKey(name)
	const record = state.attempts.get(id)
	if (record && record.phase !== 'waiting' && record.phase !== 'refused')
		return []
	state.voided.set(id, at.now + ATTEMPT_RETENTION_MS)
	if (record?.phase !== 'waiting') return []
	return [refuseWaiting(state, record, 'voided', at)]
}

function cancel(
	state: AdmissionState,
	name: AttemptName,
	at: Moment,
): AdmissionEffect[] {
	const record = state.attempts.get(attemptKey(name))
	if (record?.phase === 'waiting')
		return [refuseWaiting(state, record, 'callerGone', at)]
	// A request that must not be repeated continues: its caller may fetch the answer
	// later with the same key.
	if (record?.phase !== 'running' || record.claim) return []
	return [{ do: 'cancel', name: attemptNameOf(record) }]
}

function finish(
	state: AdmissionState,
	name: AttemptName,
	completion: CompletionKind,
	at: Moment,
): void {
	const record = state.attempts.get(attemptKey(name))
	if (record?.phase !== 'running') return
	state.running--
	record.evictAt = at.now + ATTEMPT_RETENTION_MS
	record.phase = completion === 'unstarted' ? 'refused' : completion
	if (completion === 'unstarted') {
		if (record.claim) state.keys.delete(record.claim.key)
		return
	}
	const serviceMs = at.now - record.startedAt
	const first = state.serviceMs === 0
	const decay = first ? 1 : SERVICE_TIME_DECAY
	state.serviceMs += decay * (serviceMs - state.serviceMs)
}

function evictExpired(state: AdmissionState, at: Moment): void {
	for (const [id, until] of state.voided)
		if (until <= at.now) state.voided.delete(id)
	for (const [key, record] of state.keys)
		if (record.evictWall <= at.wall) state.keys.delete(key)
	for (const [id, record] of state.attempts) {
		const isKeyRetained = record.claim && state.keys.has(record.claim.key)
		if (record.evictAt <= at.now && !isKeyRetained) state.attempts.delete(id)
	}
}
