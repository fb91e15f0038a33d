/** Refusals by the entry itself, before any attempt. */

import type { ErrorKind, NotRun } from '@juniperhook/core'
import { ERRORS, notRun, unknown } from '@juniperhook/core'
import type { CallerAnswer } from './caller.ts'
import { failAnswer } from './caller.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { EntryContext } from './entryContext.ts'
import { hasCallerKey } from './entryContext.ts'

/**
 * Refuses a request that could not be read or accepted. With a key of its caller, a
 * request that may be retried may have run before; its outcome is then unknown.
 */
export function refuseRequest(
	ctx: EntryContext,
	answer: CallerAnswer,
	kind: ErrorKind,
	hasCallerKey: boolean,
	detail = '',
): void {
	const { retryAfterMs } = ERRORS[kind]
	const mayHaveRun = hasCallerKey && retryAfterMs > 0
	const outcome = mayHaveRun
		? unknown(kind, retryAfterMs)
		: notRun(kind, retryAfterMs)
	ctx.metrics.refusals.inc({ kind })
	ctx.metrics.outcomes.inc({ outcome: outcome.outcome })
	failAnswer(answer, outcome, detail)
}

/** Refuses a request that is quarantined or exceeds a limit of its team. */
export function refuseLimited(
	ctx: EntryContext,
	answer: CallerAnswer,
	request: CallerRequest,
	refusal: NotRun,
): void {
	const { kind, retryAfterMs } = refusal
	ctx.metrics.refusals.inc({ kind })
	// An earlier request with the caller's key may have run.
	const outcome = hasCallerKey(request) ? unknown(kind, retryAfterMs) : refusal
	ctx.metrics.outcomes.inc({ outcome: outcome.outcome })
	failAnswer(answer, outcome)
}
