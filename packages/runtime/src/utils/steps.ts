/**
 * Periodic work in steps that do not need each other: a step that throws, even each time,
 * keeps none of the others from running.
 */

import { readNow } from './clock.ts'
import { describeFault, faults } from './faultGuard.ts'

/**
 * Interval at which a step that goes on failing is reported, ms: often enough to be seen,
 * while its stack does not crowd out other lines of the log.
 */
const REPORT_INTERVAL_MS = 10_000

/** A part of periodic work. */
export interface Step {
	readonly name: string
	run(): void
}

/** Report of a step that fails. */
export interface StepFault {
	readonly step: string
	/** Failures since the last report. */
	readonly failures: number
	/** The last one's stack. */
	readonly detail: string
}

/** Steps and what is known of those that fail. */
export interface Steps {
	readonly list: readonly Step[]
	/** Since when each run of a step has failed, by name, ms. */
	readonly failingSince: Map<string, number>
	/** When a step was last reported, by name, ms. */
	readonly reportedAt: Map<string, number>
	/** Failures since then, by name. */
	readonly unreported: Map<string, number>
	readonly report: (fault: StepFault) => void
}

/** Creates steps that run in their order; `report` is told which fail. */
export function createSteps(
	list: readonly Step[],
	report: Steps['report'],
): Steps {
	return {
		list,
		failingSince: new Map(),
		reportedAt: new Map(),
		unreported: new Map(),
		report,
	}
}

/** Runs each step once. */
export function runSteps(steps: Steps, now = readNow()): void {
	for (const { name, run } of steps.list)
		try {
			run()
			steps.failingSince.delete(name)
		} catch (err) {
			recordFailure(steps, name, err, now)
		}
}

function recordFailure(
	{ failingSince, reportedAt, unreported, report }: Steps,
	step: string,
	err: unknown,
	now: number,
): void {
	faults.count++
	if (!failingSince.has(step)) failingSince.set(step, now)
	const failures = (unreported.get(step) ?? 0) + 1
	unreported.set(step, failures)
	const isDue =
		now - (reportedAt.get(step) ?? Number.NEGATIVE_INFINITY) >=
		REPORT_INTERVAL_MS
	if (!isDue) return
	reportedAt.set(step, now)
	unreported.set(step, 0)
	try {
		report({ step, failures, detail: describeFault(err) })
	} catch {
		// A log that fails must not keep the other steps from running.
	}
}

/** Time for which each run of a step has failed, ms; 0 if the last one did not. */
export function failingMs(
	{ failingSince }: Steps,
	step: string,
	now = readNow(),
): number {
	const since = failingSince.get(step)
	return since === undefined ? 0 : now - since
}

/** Acts on all items, also after one at which `act` throws; then throws the first error. */
export function actOnAll<T>(items: Iterable<T>, act: (item: T) => void): void {
	const errors: unknown[] = []
	for (const item of items)
		try {
			act(item)
		} catch (err) {
			errors.push(err)
		}
	if (errors.length > 0) throw errors[0]
}
