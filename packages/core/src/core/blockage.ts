/**
 * Tracks outages, periods in which a service or group accepts no requests, and estimates
 * the remaining duration of the current one from the typical duration.
 */

/** Outages of one service or group. */
export interface BlockageTracker {
	/** Start of the current outage, ms; undefined while there is none. */
	since: number | undefined
	/** Smoothed duration of past outages, ms. */
	typicalMs: number
}

/** Weight of the latest outage in the smoothed duration. */
const SMOOTHING_FACTOR = 0.4

/** Creates a tracker without outages; `usualMs` is the initial typical duration, ms. */
export function createBlockageTracker(usualMs: number): BlockageTracker {
	return { since: undefined, typicalMs: usualMs }
}

/** Marks the start of an outage, unless one is already in progress. */
export function markBlocked(tracker: BlockageTracker, now: number): void {
	tracker.since ??= now
}

/** Marks the end of the current outage, if any. */
export function markUnblocked(tracker: BlockageTracker, now: number): void {
	if (tracker.since === undefined) return
	tracker.typicalMs +=
		SMOOTHING_FACTOR * (now - tracker.since - tracker.typicalMs)
	tracker.since = undefined
}

/**
 * Estimates the remaining duration of the current outage, ms; 0 while there is none.
 * An outage is expected to last at least half as long again as it has lasted so far.
 */
export function estimateBlockageMs(
	{ since, typicalMs: usualMs }: BlockageTracker,
	now: number,
): number {
	if (since === undefined) return 0
	const elapsedMs = now - since
	return Math.max(usualMs - elapsedMs, elapsedMs / 2)
}
