/**
 * The lifecycle of one request at its entry, from the first attempt to the final
 * outcome. A request ends only by the `settle` effect, which is produced exactly once.
 */

import type { ErrorKind, Outcome } from '../internal.ts'
import { ANSWERED, ERRORS, notRun, unknown } from '../internal.ts'

/** Maximum number of attempts of one request. */
export const MAX_ATTEMPTS = 4
/** Maximum number of times that an interrupted answer is resumed. */
export const MAX_RESUMES = 8

/** Current state of a request. */
export type LifecycleState =
	/** Waiting for a server to be chosen. */
	| { readonly at: 'routing' }
	/** Offered to an agent that has not answered yet. */
	| { readonly at: 'offered' }
	/** A void request has been sent; `why` is the failure that caused it. */
	| { readonly at: 'voiding'; readonly why: ErrorKind }
	/** Admitted or answering; `next` is the number of the next chunk. */
	| { readonly at: 'answering'; readonly next: number }
	| { readonly at: 'settled'; readonly outcome: Outcome }

/** State of a request's lifecycle. */
export interface RequestLifecycle {
	/** Whether the request may be attempted again after an earlier attempt may have run. */
	readonly repeatable: boolean
	state: LifecycleState
	/** Number of the current attempt, from 1; 0 before the first. */
	attempt: number
	resumes: number
	/** Whether part of the answer has been sent to the caller; set by the daemon. */
	answerStarted: boolean
	/** Whether an earlier, abandoned attempt may have run. */
	mayHaveRun: boolean
	/**
	 * Whether `notRun` would hold for all requests that the caller may have sent with the
	 * same key: the entry created the key, or the key's home has checked it.
	 */
	notRunProvable: boolean
}

/** An event of a request. Events of an attempt carry its number. */
export type LifecycleEvent =
	| { readonly type: 'routed' }
	| { readonly type: 'noRoute'; readonly kind: ErrorKind }
	/** The connection failed before a byte of the request left. */
	| { readonly type: 'notSent'; readonly attempt: number }
	| {
			readonly type: 'refused'
			readonly attempt: number
			readonly outcome: Outcome
	  }
	| { readonly type: 'admitted'; readonly attempt: number }
	| { readonly type: 'chunk'; readonly attempt: number; readonly n: number }
	| { readonly type: 'end'; readonly attempt: number; readonly n: number }
	| { readonly type: 'linkLost'; readonly attempt: number }
	| { readonly type: 'backendFailed'; readonly attempt: number }
	/** The agent did not answer within the start budget. */
	| { readonly type: 'silent'; readonly attempt: number }
	| {
			readonly type: 'voidAnswer'
			readonly attempt: number
			readonly answer: 'void' | 'started' | 'unknown'
	  }
	| { readonly type: 'deadline' }
	| { readonly type: 'callerGone' }

/** An effect that the daemon has to carry out. */
export type LifecycleEffect =
	/** Choose a server and offer the request under `fate.attempt`. */
	| { readonly do: 'route'; readonly why?: ErrorKind }
	| { readonly do: 'sendVoid'; readonly attempt: number }
	/** Resume the answer from chunk `from`. */
	| { readonly do: 'resume'; readonly attempt: number; readonly from: number }
	/** Forward the chunk of this event to the caller. */
	| { readonly do: 'forward' }
	/** Notify the agent that the caller no longer waits. */
	| { readonly do: 'cancel'; readonly attempt: number }
	/** The event does not belong to the current attempt; count it. */
	| { readonly do: 'drop' }
	| { readonly do: 'settle'; readonly outcome: Outcome }

/**
 * Creates the lifecycle of a request that has just been received; `callerKey` is true if
 * the request has a key that its caller may have used before.
 */
export function createLifecycle(
	repeatable: boolean,
	callerKey = false,
): RequestLifecycle {
	return {
		repeatable,
		state: { at: 'routing' },
		attempt: 0,
		resumes: 0,
		answerStarted: false,
		mayHaveRun: false,
		notRunProvable: !callerKey,
	}
}

/** Applies `event`; `mayRetry` is whether the retry budget allows another attempt. */
export function stepLifecycle(
	fate: RequestLifecycle,
	event: LifecycleEvent,
	mayRetry: boolean,
): LifecycleEffect[] {
	if (fate.state.at === 'settled') return [{ do: 'drop' }]
	if ('attempt' in event && event.attempt !== fate.attempt)
		return [{ do: 'drop' }]
	switch (event.type) {
		case 'routed':
			fate.attempt++
			fate.state = { at: 'offered' }
			return []
		case 'noRoute':
			return settleUnstarted(fate, event.kind, 0)
		case 'notSent':
			if (fate.state.at === 'answering') return resume(fate, mayRetry)
			return tryAgain(fate, 'unreachable', 0, mayRetry)
		case 'refused':
			return onRefused(fate, event.outcome, mayRetry)
		case 'admitted':
			return onAdmitted(fate)
		case 'chunk':
			return onChunk(fate, event.n, mayRetry)
		case 'end':
			return onEnd(fate, event.n, mayRetry)
		case 'linkLost':
			return onLinkLost(fate, mayRetry)
		case 'backendFailed':
			return giveUpStarted(fate, 'backendFailed', mayRetry)
		case 'silent':
			if (fate.state.at !== 'offered') return []
			fate.state = { at: 'voiding', why: 'noAnswer' }
			return [{ do: 'sendVoid', attempt: fate.attempt }]
		case 'voidAnswer':
			return onVoidAnswer(fate, event.answer, mayRetry)
		case 'deadline':
			return onDeadline(fate)
		case 'callerGone':
			return [cancelOf(fate), ...settleStarted(fate, 'callerGone')]
		default:
			return event satisfies never
	}
}

function onRefused(
	fate: RequestLifecycle,
	outcome: Outcome,
	mayRetry: boolean,
): LifecycleEffect[] {
	if (outcome.outcome === 'answered') return [{ do: 'drop' }]
	const { kind, retryAfterMs } = outcome
	// A home that refuses has checked the key; any other server has not.
	if (outcome.outcome === 'notRun' && kind !== 'notHome')
		fate.notRunProvable = true
	// An attempt that is refused after its admission was shed from the queue.
	if (outcome.outcome === 'notRun' && !fate.answerStarted)
		return tryAgain(fate, kind, retryAfterMs, mayRetry)
	fate.mayHaveRun = true
	return settle(fate, unknown(kind, retryAfterMs))
}

function onAdmitted(fate: RequestLifecycle): LifecycleEffect[] {
	if (fate.state.at === 'answering') return []
	fate.state = { at: 'answering', next: 0 }
	return []
}

function onChunk(
	fate: RequestLifecycle,
	n: number,
	mayRetry: boolean,
): LifecycleEffect[] {
	const next = fate.state.at === 'answering' ? fate.state.next : 0
	// A duplicate chunk after a resume.
	if (n < next) return [{ do: 'drop' }]
	if (n > next) return resume(fate, mayRetry)
	fate.state = { at: 'answering', next: n + 1 }
	return [{ do: 'forward' }]
}

function onEnd(
	fate: RequestLifecycle,
	n: number,
	mayRetry: boolean,
): LifecycleEffect[] {
	const next = fate.state.at === 'answering' ? fate.state.next : 0
	if (n !== next) return resume(fate, mayRetry)
	return settle(fate, ANSWERED)
}

function onLinkLost(
	fate: RequestLifecycle,
	mayRetry: boolean,
): LifecycleEffect[] {
	switch (fate.state.at) {
		case 'offered':
			fate.state = { at: 'voiding', why: 'linkLost' }
			return [{ do: 'sendVoid', attempt: fate.attempt }]
		case 'answering':
			if (!canRepeat(fate, mayRetry)) return resume(fate, mayRetry)
			return [cancelOf(fate), ...giveUpStarted(fate, 'linkLost', mayRetry)]
		case 'routing':
		case 'voiding':
		case 'settled':
			return []
		default:
			return fate.state satisfies never
	}
}

function onVoidAnswer(
	fate: RequestLifecycle,
	answer: 'void' | 'started' | 'unknown',
	mayRetry: boolean,
): LifecycleEffect[] {
	if (fate.state.at !== 'voiding') return [{ do: 'drop' }]
	const why = fate.state.why
	switch (answer) {
		case 'void':
			return tryAgain(fate, why, 0, mayRetry)
		case 'started':
			fate.state = { at: 'answering', next: 0 }
			return resume(fate, mayRetry)
		case 'unknown':
			return giveUpStarted(fate, why, mayRetry)
		default:
			return answer satisfies never
	}
}

function onDeadline(fate: RequestLifecycle): LifecycleEffect[] {
	const unstarted = fate.state.at === 'routing'
	if (unstarted) return settleUnstarted(fate, 'startBudget', 0)
	return [cancelOf(fate), ...settleStarted(fate, 'noAnswer')]
}

function resume(fate: RequestLifecycle, mayRetry: boolean): LifecycleEffect[] {
	const from = fate.state.at === 'answering' ? fate.state.next : 0
	fate.state = { at: 'answering', next: from }
	if (fate.resumes >= MAX_RESUMES)
		return giveUpStarted(fate, 'truncated', mayRetry)
	fate.resumes++
	return [{ do: 'resume', attempt: fate.attempt, from }]
}

/** Starts another attempt; the current one is proved not to have run. */
function tryAgain(
	fate: RequestLifecycle,
	why: ErrorKind,
	retryAfterMs: number,
	mayRetry: boolean,
): LifecycleEffect[] {
	if (!mayRetry || fate.attempt >= MAX_ATTEMPTS)
		return settleUnstarted(fate, why, retryAfterMs)
	fate.state = { at: 'routing' }
	return [{ do: 'route', why }]
}

/** Abandons the current attempt, which may have run. */
function giveUpStarted(
	fate: RequestLifecycle,
	why: ErrorKind,
	mayRetry: boolean,
): LifecycleEffect[] {
	fate.mayHaveRun = true
	if (!canRepeat(fate, mayRetry)) return settleStarted(fate, why)
	fate.state = { at: 'routing' }
	return [{ do: 'route', why }]
}

function canRepeat(fate: RequestLifecycle, mayRetry: boolean): boolean {
	const allowed = fate.repeatable && !fate.answerStarted && mayRetry
	return allowed && fate.attempt < MAX_ATTEMPTS
}

function settleUnstarted(
	fate: RequestLifecycle,
	kind: ErrorKind,
	retryAfterMs: number,
): LifecycleEffect[] {
	if (fate.mayHaveRun || !fate.notRunProvable)
		return settle(fate, unknown(kind, retryAfterMs))
	const after = retryAfterMs || ERRORS[kind].retryAfterMs
	return settle(fate, notRun(kind, after))
}

function settleStarted(
	fate: RequestLifecycle,
	kind: ErrorKind,
): LifecycleEffect[] {
	if (fate.attempt === 0) return settleUnstarted(fate, kind, 0)
	return settle(fate, unknown(kind, ERRORS[kind].retryAfterMs))
}

function settle(fate: RequestLifecycle, outcome: Outcome): LifecycleEffect[] {
	fate.state = { at: 'settled', outcome }
	return [{ do: 'settle', outcome }]
}

function cancelOf(fate: RequestLifecycle): LifecycleEffect {
	return { do: 'cancel', attempt: fate.attempt }
}
