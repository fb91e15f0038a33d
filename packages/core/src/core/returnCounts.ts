/**
 * Counts of refused callers by the quarter second in which they are due back: what the
 * entries tell each other so that none gives a place away that another has promised.
 */

import { FORECAST_QUARTERS, QUARTER_MS } from '../internal.ts'

/** As {@link countByQuarter}, without the quarter seconds after the last caller. */
export function countReturns(
	dueAt: readonly number[],
	now: number,
): readonly number[] {
	const counts = countByQuarter(dueAt, now)
	return counts.slice(0, counts.findLastIndex(count => count > 0) + 1)
}

/** Counts callers by the quarter second from now on in which they are due. */
export function countByQuarter(
	dueAt: readonly number[],
	now: number,
): number[] {
	const counts = Array.from({ length: FORECAST_QUARTERS }, () => 0)
	for (const time of dueAt) {
		const at = Math.floor((time - now) / QUARTER_MS)
		if (at >= 0 && at < FORECAST_QUARTERS) counts[at]!++
	}
	return counts
}

/** Shifts counts by quarter second that were reported `ageMs` ago to now. */
export function ageReturns(
	counts: readonly number[],
	ageMs: number,
): readonly number[] {
	const age = Math.max(0, ageMs) / QUARTER_MS
	const whole = Math.floor(age)
	const part = age - whole
	return counts
		.slice(whole)
		.map((count, at, left) => count * (1 - part) + (left[at + 1] ?? 0) * part)
}

/** Returns how many of the counted callers are due within a time, ms. */
export function countDueWithin(
	counts: readonly number[],
	withinMs: number,
): number {
	const quarters = withinMs / QUARTER_MS
	return counts.reduce(
		(sum, count, at) => sum + count * Math.min(1, Math.max(0, quarters - at)),
		0,
	)
}
