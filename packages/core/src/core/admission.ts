/**
 * The agent's decisions on requests. It alone hands work to its backend server,
 * so it alone can prove that a request did not run.
 *
 * One transition function over plain state: `stepAdmission(state, event)`
 * changes the state and returns effects for the daemon to carry out. Times are
 * monotonic milliseconds unless a name says `wall` (Unix milliseconds).
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

/** What one process lets pass before it treats itself as paused, in ms. */
export const PAUSE_THRESHOLD_MS = 1_000
/** After a pause, offers that may have waited in a socket are refused, in ms. */
export const PAUSE_GRACE_MS = 100
/** Most requests that wait at an agent. */
export const MAX_WAITING = 4_096
const SERVICE_TIME_DECAY = 0.1

/** Makes the state of an agent that has just started. */
export function createAdmission(at: Moment, slots: number): AdmissionState {
	return {
		startedWall: at.wall,
		slots,
		mode: 'serving',
		lastSeen: at,
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

/** Lets `event` happen. */
export function stepAdmission(
	state: AdmissionState,
	event: AdmissionEvent,
	at: Moment,
): AdmissionEffect[] {
	const effects = noticePause(state, at)
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
			// One from before the rest was under way then.
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
			beginLife(state)
			break
		case 'tick':
			forget(state, at)
			break
		default:
			event satisfies never
	}
	effects.push(...shedUnstartable(state, at))
	effects.push(...startNext(state, at))
	return effects
}

/** What a void order is answered with; ask after the event was let happen. */
export function answerVoid(
	state: AdmissionState,
	name: AttemptName,
): VoidAnswer {
	return state.voided.has(attemptKey(name)) ? 'void' : 'started'
}

/**
 * Work that waited across a pause of this process may have been given up by its
 * entry; it is refused, never started late.
 */
function noticePause(state: AdmissionState, at: Moment): AdmissionEffect[] {
	const { lastSeen } = state
	state.lastSeen = at
	// A suspended VM's steady clock stands still; a time of day set ahead looks alike.
	const gap = Math.max(at.now - lastSeen.now, at.wall - lastSeen.wall)
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
	return waiting.map(row => refuseWaiting(state, row, kind, at))
}

/** What the former life of the backend server said ends with it. */
function beginLife(state: AdmissionState): void {
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
	// A doubled message: the first copy has its effect already.
	if (state.attempts.has(id)) return []
	const known = offer.claim && state.keys.get(offer.claim.key)
	if (known) return [attach(state, offer, known)]
	const outcome = findRefusal(state, offer, at)
	if (outcome) return [{ do: 'refuse', name: attemptNameOf(offer), outcome }]
	const row: AttemptRecord = {
		...offer,
		phase: 'waiting',
		startBy: at.now + offer.startBudgetMs,
		startedAt: 0,
		evictAt: Number.POSITIVE_INFINITY,
		virtualStart: 0,
		order: 0,
	}
	state.attempts.set(id, row)
	if (offer.claim) recordKey(state, offer, offer.claim)
	enqueue(state.queue, row)
	return []
}

/** The key ran, or runs, before: its first outcome is the only one. */
function attach(
	state: AdmissionState,
	offer: Offer,
	known: KeyRecord,
): AdmissionEffect {
	const name = attemptNameOf(offer)
	const phase = state.attempts.get(attemptKey(known.first))?.phase
	switch (phase) {
		case 'waiting':
		case 'running':
		case 'whole':
			return { do: 'attach', name, first: known.first }
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
	// First: a key that may have run before is never said not to have run.
	const forgotten = offer.claim && checkKeyAge(state, offer.claim, at)
	if (forgotten) return forgotten
	if (state.voided.has(attemptKey(offer))) return notRun('voided')
	if (state.mode === 'leaving' || state.serverLeaves) return notRun('leaving')
	if (state.mode === 'suspect') return notRun('groupSplit')
	if (at.now - state.pauseEndedAt < PAUSE_GRACE_MS) return notRun('paused')
	if (state.queue.waiting.length >= MAX_WAITING) return notRun('overloaded')
	const claimed = offer.claim && checkKeyClaim(state, offer.claim, at)
	if (claimed) return claimed
	const held = findStartDelay(state, state.queue.waiting.length, at.now)
	const patienceMs = offer.mayWait ? offer.startBudgetMs : 0
	if (held.forMs > patienceMs) return notRun(held.kind, Math.ceil(held.forMs))
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
	const row = state.attempts.get(id)
	if (row && row.phase !== 'waiting' && row.phase !== 'refused') return []
	state.voided.set(id, at.now + ATTEMPT_RETENTION_MS)
	if (row?.phase !== 'waiting') return []
	return [refuseWaiting(state, row, 'voided', at)]
}

function cancel(
	state: AdmissionState,
	name: AttemptName,
	at: Moment,
): AdmissionEffect[] {
	const row = state.attempts.get(attemptKey(name))
	if (row?.phase === 'waiting')
		return [refuseWaiting(state, row, 'callerGone', at)]
	// Work that may not be repeated goes on: its caller may ask again by key.
	if (row?.phase !== 'running' || row.claim) return []
	return [{ do: 'cancel', name: attemptNameOf(row) }]
}

function finish(
	state: AdmissionState,
	name: AttemptName,
	how: CompletionKind,
	at: Moment,
): void {
	const row = state.attempts.get(attemptKey(name))
	if (row?.phase !== 'running') return
	state.running--
	row.evictAt = at.now + ATTEMPT_RETENTION_MS
	row.phase = how === 'unstarted' ? 'refused' : how
	if (how === 'unstarted') {
		if (row.claim) state.keys.delete(row.claim.key)
		return
	}
	const held = at.now - row.startedAt
	const first = state.serviceMs === 0
	const decay = first ? 1 : SERVICE_TIME_DECAY
	state.serviceMs += decay * (held - state.serviceMs)
}

function forget(state: AdmissionState, at: Moment): void {
	for (const [id, until] of state.voided)
		if (until <= at.now) state.voided.delete(id)
	for (const [key, row] of state.keys)
		if (row.evictWall <= at.wall) state.keys.delete(key)
	for (const [id, row] of state.attempts) {
		const kept = row.claim && state.keys.has(row.claim.key)
		if (row.evictAt <= at.now && !kept) state.attempts.delete(id)
	}
}
