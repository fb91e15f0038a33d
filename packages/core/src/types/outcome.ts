/**
 * The three outcomes of a request, by what is known about its execution. Every response
 * to a caller is derived from one of them.
 */

import type { ErrorKind } from '../internal.ts'

/** The backend server's answer was received completely. */
export interface Answered {
	readonly outcome: 'answered'
}

/** It is proved that no backend server started the request and that none will. */
export interface NotRun {
	readonly outcome: 'notRun'
	readonly kind: ErrorKind
	/** Delay after which the caller should retry, ms. */
	readonly retryAfterMs: number
}

/** The request may have run, completely or in part. */
export interface Unknown {
	readonly outcome: 'unknown'
	readonly kind: ErrorKind
	/** Delay after which the caller should retry, ms. */
	readonly retryAfterMs: number
}

/** Outcome of a request, as reported to its caller. */
export type Outcome = Answered | NotRun | Unknown

/** The single value of {@link Answered}. */
export const ANSWERED: Answered = { outcome: 'answered' }

/** Creates a `notRun` outcome. The calling code must have the proof. */
export function notRun(kind: ErrorKind, retryAfterMs = 0): NotRun {
	return { outcome: 'notRun', kind, retryAfterMs }
}

/** Creates an `unknown` outcome. */
export function unknown(kind: ErrorKind, retryAfterMs = 0): Unknown {
	return { outcome: 'unknown', kind, retryAfterMs }
}
