/** Refusals that an entry makes by itself, before any try. */

import type { ErrorKind, NotRun } from '@juniperhook/core'
import { ERRORS, notRun, unknown } from '@juniperhook/core'
import type { CallerAnswer } from './caller.ts'
import { failAnswer } from './caller.ts'
import type { EntryContext } from './entryContext.ts'
import { isCallerKey } from './entryContext.ts'
import type { Intake } from './callerRequest.ts'

/**
 * Refuses a request that could not be read or taken. One that its caller should
 * send again may have run before if it carries the caller's own key.
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

/** Refuses a request that is over a limit of its team. */
export function refuseLimited(
	ctx: EntryContext,
	answer: CallerAnswer,
	intake: Intake,
	refusal: NotRun,
): void {
	const { kind, retryAfterMs } = refusal
	ctx.metrics.refusals.inc({ kind })
	// An earlier try by the caller's own key may have run.
	const outcome = isCallerKey(intake) ? unknown(kind, retryAfterMs) : refusal
	ctx.metrics.outcomes.inc({ outcome: outcome.outcome })
	failAnswer(answer, outcome)
}
