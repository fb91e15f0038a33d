/**
 * Computes the Retry-After of refused callers: the time at which the service is
 * expected to accept requests again, staggered behind the callers refused before.
 */

import type { Random } from '../internal.ts'

/** Minimum Retry-After, ms: one round trip. */
const MIN_RETRY_AFTER_MS = 50
/** Jitter of a Retry-After, as a share of the interval between two free slots. */
const JITTER_SHARE = 0.5

/** Retry times handed out to the refused callers of a service. */
export interface RetryAfterSchedule {
	/** Latest retry time handed out, ms. */
	lastDueAt: number
}

/** Creates an empty schedule. */
export function createRetryAfterSchedule(): RetryAfterSchedule {
	return { lastDueAt: 0 }
}

/** Inputs for the Retry-After of a caller. */
export interface RetryAfterForecast {
	/** Expected time until the service accepts requests again, ms. */
	readonly availableInMs: number
	/** Time before which the service certainly accepts none, ms. */
	readonly notBeforeMs: number
	/** Interval between two slots that become free, ms. */
	readonly slotIntervalMs: number
	/** Longest Retry-After that the caller honors, ms. */
	readonly maxHonoredMs: number
}

/** Reserves the next free slot for a caller and returns its Retry-After, ms. */
export function scheduleRetryAfter(
	schedule: RetryAfterSchedule,
	{
		availableInMs,
		notBeforeMs,
		slotIntervalMs,
		maxHonoredMs,
	}: RetryAfterForecast,
	now: number,
	random: Random,
): number {
	// Never returns a time at which the service certainly accepts nothing, even if the
	// caller does not honor a longer one.
	const isUnreachable = notBeforeMs + slotIntervalMs > maxHonoredMs
	const latestMs = isUnreachable ? notBeforeMs + maxHonoredMs : maxHonoredMs
	const availableAt = now + Math.max(availableInMs, notBeforeMs)
	const nextSlotAt = Math.max(availableAt, schedule.lastDueAt) + slotIntervalMs
	const dueAt = Math.min(nextSlotAt, now + latestMs)
	schedule.lastDueAt = Math.max(schedule.lastDueAt, dueAt)
	const jitterMs = JITTER_SHARE * slotIntervalMs * (random() - 0.5)
	return Math.max(
		MIN_RETRY_AFTER_MS,
		Math.min(dueAt - now + jitterMs, latestMs),
	)
}
