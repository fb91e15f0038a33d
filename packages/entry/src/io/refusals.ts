/** Refusals that an entry makes by itself, before any try. */

import type { ErrorKind, NotRun } from '@juniperhook/core'
import { ERRORS, notRun, unknown } from '@juniperhook/core'
import type { CallerAnswer } from './caller.ts'
import { failAnswer } from './caller.ts'
import type { EntryContext } from './entryContext.ts'
import { isCallerKey } from './entryContext.ts'
import type { Intake } from './intake.ts'

/** Refuses a request that could not be read or taken. */
export function refuseRequest(
	ctx: EntryContext,
	answer: CallerAnswer,
	kind: ErrorKind,
	detail = '',
): void {
	ctx.metrics.refusals.inc({ kind })
	ctx.metrics.outcomes.inc({ outcome: 'notRun' })
	failAnswer(answer, notRun(kind, ERRORS[kind].retryAfterMs), detail)
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
