/**
 * What is known of a request's fate. Only these three exist; every answer to a
 * caller is made from one of them.
 */

import type { ErrorKind } from '../internal.ts'

/** The backend server's whole answer was seen. */
export interface Answered {
	readonly outcome: 'answered'
}

/** Proved: no backend server started the request and none ever will. */
export interface NotRun {
	readonly outcome: 'notRun'
	readonly kind: ErrorKind
	/** When the caller should come back, in milliseconds. */
	readonly retryAfterMs: number
}

/** The request may have run, wholly or in part. */
export interface Unknown {
	readonly outcome: 'unknown'
	readonly kind: ErrorKind
	/** When the caller should come back, in milliseconds. */
	readonly retryAfterMs: number
}

/** A request's fate, as told to its caller. */
export type Outcome = Answered | NotRun | Unknown

/** The single value of {@link Answered}. */
export const ANSWERED: Answered = { outcome: 'answered' }

/** Makes a proved "not run". The caller of this function holds the proof. */
export function notRun(kind: ErrorKind, retryAfterMs = 0): NotRun {
	return { outcome: 'notRun', kind, retryAfterMs }
}

/** Makes an "unknown" outcome. */
export function unknown(kind: ErrorKind, retryAfterMs = 0): Unknown {
	return { outcome: 'unknown', kind, retryAfterMs }
}
