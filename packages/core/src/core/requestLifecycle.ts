/**
 * An entry's decisions on one request: from its first try to the one final
 * outcome. Nothing but `settle` ends a request, and it does so once.
 */

import type { ErrorKind, Outcome } from '../internal.ts'
import { ANSWERED, ERRORS, notRun, unknown } from '../internal.ts'

/** Most tries of one request. */
export const MAX_ATTEMPTS = 4
/** Most times that a broken answer is taken up again. */
export const MAX_RESUMES = 8

/** Where a request stands. */
export type LifecycleState =
	/** Waits for a server to be chosen. */
	| { readonly at: 'routing' }
	/** Offered; nothing heard yet. */
	| { readonly at: 'offered' }
	/** A void order is on its way; `why` is what made it necessary. */
	| { readonly at: 'voiding'; readonly why: ErrorKind }
	/** Admitted or answering; `next` is the number of the next chunk. */
	| { readonly at: 'answering'; readonly next: number }
	| { readonly at: 'settled'; readonly outcome: Outcome }

/** All that an entry decides a request's fate from. */
export interface RequestLifecycle {
	/** Whether another try may be made although an earlier one may have run. */
	readonly repeatable: boolean
	state: LifecycleState
	/** Number of the open try, from 1; 0 before the first. */
	attempt: number
	resumes: number
	/** Whether the caller has been sent a part of the answer; the daemon sets it. */
	answerStarted: boolean
	/** Whether an earlier, given-up try may have run. */
	mayHaveRun: boolean
	/**
	 * Whether "not run" can be said of all that the caller may have asked before
	 * by the same key: the entry made the key, or the key's home has spoken.
	 */
	notRunProvable: boolean
}

/** What happens to a request. Events of a try carry its number. */
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
	/** Nothing was heard within the start budget. */
	| { readonly type: 'silent'; readonly attempt: number }
	| {
			readonly type: 'voidAnswer'
			readonly attempt: number
			readonly answer: 'void' | 'started' | 'unknown'
	  }
	| { readonly type: 'deadline' }
	| { readonly type: 'callerGone' }

/** What the daemon is to do. */
export type LifecycleEffect =
	/** Choose a server and offer the request under `fate.attempt`. */
	| { readonly do: 'route'; readonly why?: ErrorKind }
	| { readonly do: 'sendVoid'; readonly attempt: number }
	/** Take the answer up again from chunk `from`. */
	| { readonly do: 'resume'; readonly attempt: number; readonly from: number }
	/** Pass the chunk of this event on to the caller. */
	| { readonly do: 'forward' }
	/** Tell the agent that nobody waits any more. */
	| { readonly do: 'cancel'; readonly attempt: number }
	/** The event belongs to no open try; count it. */
	| { readonly do: 'drop' }
	| { readonly do: 'settle'; readonly outcome: Outcome }

/**
 * Makes the fate of a request that has just been read; `callerKey` when it has
 * a key that its caller may have used before.
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

/** Lets `event` happen; `mayRetry` is the retry budget's word. */
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
	// A home that refuses has looked the key up; another server knows nothing.
	if (outcome.outcome === 'notRun' && kind !== 'notHome')
		fate.notRunProvable = true
	// An admitted try that is refused later was shed while it waited.
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
	// A doubled chunk after a resume.
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

/** The open try is proved not to have run. */
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

/** The open try may have run. */
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
