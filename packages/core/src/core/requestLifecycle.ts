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
	 * same key: the entry created the key, or the key home has checked it.
	 */
	notRunProvable: boolean
}

/** An event of a request. Events of an attempt carry its number. */
export type LifecycleEvent =
	| { readonly type: 'routed' }
	| { readonly type: 'noRoute'; readonly kind: ErrorKind }
	/** The connection failed before a byte of the request was sent. */
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
	/** Choose a server and offer the request under `lifecycle.attempt`. */
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
	lifecycle: RequestLifecycle,
	event: LifecycleEvent,
	mayRetry: boolean,
): LifecycleEffect[] {
	if (lifecycle.state.at === 'settled') return [{ do: 'drop' }]
	if ('attempt' in event && event.attempt !== lifecycle.attempt)
		return [{ do: 'drop' }]
	switch (event.type) {
		case 'routed':
			lifecycle.attempt++
			lifecycle.state = { at: 'offered' }
			return []
		case 'noRoute':
			return settleUnstarted(lifecycle, event.kind, 0)
		case 'notSent':
			if (lifecycle.state.at === 'answering') return resume(lifecycle, mayRetry)
			return retryOrSettle(lifecycle, 'unreachable', 0, mayRetry)
		case 'refused':
			return onRefused(lifecycle, event.outcome, mayRetry)
		case 'admitted':
			return onAdmitted(lifecycle)
		case 'chunk':
			return onChunk(lifecycle, event.n, mayRetry)
		case 'end':
			return onEnd(lifecycle, event.n, mayRetry)
		case 'linkLost':
			return onLinkLost(lifecycle, mayRetry)
		case 'backendFailed':
			return abandonAttempt(lifecycle, 'backendFailed', mayRetry)
		case 'silent':
			if (lifecycle.state.at !== 'offered') return []
			lifecycle.state = { at: 'voiding', why: 'noAnswer' }
			return [{ do: 'sendVoid', attempt: lifecycle.attempt }]
		case 'voidAnswer':
			return onVoidAnswer(lifecycle, event.answer, mayRetry)
		case 'deadline':
			return onDeadline(lifecycle)
		case 'callerGone':
			return [cancelOf(lifecycle), ...settleStarted(lifecycle, 'callerGone')]
		default:
			return event satisfies never
	}
}

function onRefused(
	lifecycle: RequestLifecycle,
	outcome: Outcome,
	mayRetry: boolean,
): LifecycleEffect[] {
	if (outcome.outcome === 'answered') return [{ do: 'drop' }]
	const { kind, retryAfterMs } = outcome
	// A key home that refuses has checked the key; any other server has not.
	if (outcome.outcome === 'notRun' && kind !== 'notHome')
		lifecycle.notRunProvable = true
	// An attempt that is refused after its admission was shed from the queue.
	if (outcome.outcome === 'notRun' && !lifecycle.answerStarted)
		return retryOrSettle(lifecycle, kind, retryAfterMs, mayRetry)
	lifecycle.mayHaveRun = true
	return settle(lifecycle, unknown(kind, retryAfterMs))
}

function onAdmitted(lifecycle: RequestLifecycle): LifecycleEffect[] {
	if (lifecycle.state.at === 'answering') return []
	lifecycle.state = { at: 'answering', next: 0 }
	return []
}

function onChunk(
	lifecycle: RequestLifecycle,
	n: number,
	mayRetry: boolean,
): LifecycleEffect[] {
	const next = lifecycle.state.at === 'answering' ? lifecycle.state.next : 0
	// A duplicate chunk after a resume.
	if (n < next) return [{ do: 'drop' }]
	if (n > next) return resume(lifecycle, mayRetry)
	lifecycle.state = { at: 'answering', next: n + 1 }
	return [{ do: 'forward' }]
}

function onEnd(
	lifecycle: RequestLifecycle,
	n: number,
	mayRetry: boolean,
): LifecycleEffect[] {
	const next = lifecycle.state.at === 'answering' ? lifecycle.state.next : 0
	if (n !== next) return resume(lifecycle, mayRetry)
	return settle(lifecycle, ANSWERED)
}

function onLinkLost(
	lifecycle: RequestLifecycle,
	mayRetry: boolean,
): LifecycleEffect[] {
	switch (lifecycle.state.at) {
		case 'offered':
			lifecycle.state = { at: 'voiding', why: 'linkLost' }
			return [{ do: 'sendVoid', attempt: lifecycle.attempt }]
		case 'answering':
			if (!canRepeat(lifecycle, mayRetry)) return resume(lifecycle, mayRetry)
			return [
				cancelOf(lifecycle),
				...abandonAttempt(lifecycle, 'linkLost', mayRetry),
			]
		case 'routing':
		case 'voiding':
		case 'settled':
			return []
		default:
			return lifecycle.state satisfies never
	}
}

function onVoidAnswer(
	lifecycle: RequestLifecycle,
	answer: 'void' | 'started' | 'unknown',
	mayRetry: boolean,
): LifecycleEffect[] {
	if (lifecycle.state.at !== 'voiding') return [{ do: 'drop' }]
	const why = lifecycle.state.why
	switch (answer) {
		case 'void':
			return retryOrSettle(lifecycle, why, 0, mayRetry)
		case 'started':
			lifecycle.state = { at: 'answering', next: 0 }
			return resume(lifecycle, mayRetry)
		case 'unknown':
			return abandonAttempt(lifecycle, why, mayRetry)
		default:
			return answer satisfies never
	}
}

function onDeadline(lifecycle: RequestLifecycle): LifecycleEffect[] {
	const unstarted = lifecycle.state.at === 'routing'
	if (unstarted) return settleUnstarted(lifecycle, 'startBudget', 0)
	return [cancelOf(lifecycle), ...settleStarted(lifecycle, 'noAnswer')]
}

function resume(
	lifecycle: RequestLifecycle,
	mayRetry: boolean,
): LifecycleEffect[] {
	const from = lifecycle.state.at === 'answering' ? lifecycle.state.next : 0
	lifecycle.state = { at: 'answering', next: from }
	if (lifecycle.resumes >= MAX_RESUMES)
		return abandonAttempt(lifecycle, 'truncated', mayRetry)
	lifecycle.resumes++
	return [{ do: 'resume', attempt: lifecycle.attempt, from }]
}

/**
 * Starts another attempt, or settles the request if none is allowed. The current attempt
 * is proved not to have run.
 */
function retryOrSettle(
	lifecycle: RequestLifecycle,
	why: ErrorKind,
	retryAfterMs: number,
	mayRetry: boolean,
): LifecycleEffect[] {
	if (!mayRetry || lifecycle.attempt >= MAX_ATTEMPTS)
		return settleUnstarted(lifecycle, why, retryAfterMs)
	lifecycle.state = { at: 'routing' }
	return [{ do: 'route', why }]
}

/**
 * Abandons the current attempt, which may have run. Starts another if the request may be
 * repeated; otherwise settles the request.
 */
function abandonAttempt(
	lifecycle: RequestLifecycle,
	why: ErrorKind,
	mayRetry: boolean,
): LifecycleEffect[] {
	lifecycle.mayHaveRun = true
	if (!canRepeat(lifecycle, mayRetry)) return settleStarted(lifecycle, why)
	lifecycle.state = { at: 'routing' }
	return [{ do: 'route', why }]
}

function canRepeat(lifecycle: RequestLifecycle, mayRetry: boolean): boolean {
	const allowed = lifecycle.repeatable && !lifecycle.answerStarted && mayRetry
	return allowed && lifecycle.attempt < MAX_ATTEMPTS
}

function settleUnstarted(
	lifecycle: RequestLifecycle,
	kind: ErrorKind,
	retryAfterMs: number,
): LifecycleEffect[] {
	if (lifecycle.mayHaveRun || !lifecycle.notRunProvable)
		return settle(lifecycle, unknown(kind, retryAfterMs))
	const after = retryAfterMs || ERRORS[kind].retryAfterMs
	return settle(lifecycle, notRun(kind, after))
}

function settleStarted(
	lifecycle: RequestLifecycle,
	kind: ErrorKind,
): LifecycleEffect[] {
	if (lifecycle.attempt === 0) return settleUnstarted(lifecycle, kind, 0)
	return settle(lifecycle, unknown(kind, ERRORS[kind].retryAfterMs))
}

function settle(
	lifecycle: RequestLifecycle,
	outcome: Outcome,
): LifecycleEffect[] {
	lifecycle.state = { at: 'settled', outcome }
	return [{ do: 'settle', outcome }]
}

function cancelOf(lifecycle: RequestLifecycle): LifecycleEffect {
	return { do: 'cancel', attempt: lifecycle.attempt }
}
