/**
 * When a refused caller should come back: once the service is expected to take
 * requests again, and after those who were sent away before.
 */

import type { Random } from '../internal.ts'

/** The shortest time told, ms: a way there and back. */
const MIN_MS = 50
/** Callers of one moment come back spread over this part of a gap. */
const SPREAD = 0.5

/** Callers that were told to come back to a service. */
export interface RetryAfterSchedule {
	/** When the last of them is due, ms. */
	lastDueAt: number
}

/** Makes a record of nobody. */
export function createRetryAfterSchedule(): RetryAfterSchedule {
	return { lastDueAt: 0 }
}

/** What the time told to a caller follows from. */
export interface RetryAfterForecast {
	/** When the service is expected to take requests again, from now, ms. */
	readonly availableInMs: number
	/** Surely none before, ms. */
	readonly notBeforeMs: number
	/** Between two places that come free, ms. */
	readonly gapMs: number
	/** The caller comes back when told to only within this time, ms. */
	readonly maxHonoredMs: number
}

/** Books the next place for a caller, and gives the time to tell it, ms. */
export function scheduleRetryAfter(
	returns: RetryAfterSchedule,
	{
		availableInMs: openInMs,
		notBeforeMs,
		gapMs,
		maxHonoredMs: heededMs,
	}: RetryAfterForecast,
	now: number,
	random: Random,
): number {
	// A time that surely can't come true is not told, whether it is heeded or not.
	const isBeyond = notBeforeMs + gapMs > heededMs
	const latestMs = isBeyond ? notBeforeMs + heededMs : heededMs
	const openAt = now + Math.max(openInMs, notBeforeMs)
	const afterOthers = Math.max(openAt, returns.lastDueAt) + gapMs
	const dueAt = Math.min(afterOthers, now + latestMs)
	returns.lastDueAt = Math.max(returns.lastDueAt, dueAt)
	const spreadMs = SPREAD * gapMs * (random() - 0.5)
	return Math.max(MIN_MS, Math.min(dueAt - now + spreadMs, latestMs))
}
