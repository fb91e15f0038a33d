/**
 * Tracks the rate at which waiting requests of a service are dispatched, and predicts
 * the waiting time of a request from its position in the queue.
 */

/** Smoothed rate of recent dispatches. */
export interface DispatchRate {
	/** Time of the last dispatch, ms. */
	lastAt: number
	/** Smoothed interval between two dispatches, ms. */
	intervalMs: number
}

/** Weight of a new interval in the smoothed one. */
const INTERVAL_WEIGHT = 0.15
/** Interval before any dispatch is observed, ms. */
const INITIAL_INTERVAL_MS = 100
/** Upper bound of an interval: a longer one means no requests, not a slow service, ms. */
const MAX_INTERVAL_MS = 1_000

/** Creates a rate without observations. */
export function createDispatchRate(): DispatchRate {
	return { lastAt: Number.NEGATIVE_INFINITY, intervalMs: INITIAL_INTERVAL_MS }
}

/** Records that a waiting request was dispatched. */
export function recordDispatch(rate: DispatchRate, now: number): void {
	const newIntervalMs = Math.min(now - rate.lastAt, MAX_INTERVAL_MS)
	rate.intervalMs += INTERVAL_WEIGHT * (newIntervalMs - rate.intervalMs)
	rate.lastAt = now
}

/** Returns the smoothed interval, or the time since the last dispatch if longer, ms. */
export function currentIntervalMs(
	{ lastAt, intervalMs }: DispatchRate,
	now: number,
): number {
	return Math.max(intervalMs, Math.min(now - lastAt, MAX_INTERVAL_MS))
}

/** Returns the predicted waiting time of a request with `ahead` others before it, ms. */
export function predictWaitMs(
	rate: DispatchRate,
	ahead: number,
	now: number,
): number {
	return (ahead + 1) * currentIntervalMs(rate, now)
}
