/**
 * Tracks blockages, periods in which a service or group accepts no requests, and
 * estimates the remaining duration of the current one from the typical duration.
 */

/** Blockages of one service or group. */
export interface BlockageTracker {
	/** Start of the current blockage, ms; undefined while there is none. */
	since: number | undefined
	/** Smoothed duration of past blockages, ms. */
	typicalMs: number
}

/** Weight of the latest blockage in the smoothed duration. */
const SMOOTHING_FACTOR = 0.4

/** Creates a tracker without blockages; `typicalMs` is the initial typical duration, ms. */
export function createBlockageTracker(typicalMs: number): BlockageTracker {
	return { since: undefined, typicalMs }
}

/** Marks the start of a blockage, unless one is already in progress. */
export function markBlocked(tracker: BlockageTracker, now: number): void {
	tracker.since ??= now
}

/** Marks the end of the current blockage, if any. */
export function markUnblocked(tracker: BlockageTracker, now: number): void {
	if (tracker.since === undefined) return
	tracker.typicalMs +=
		SMOOTHING_FACTOR * (now - tracker.since - tracker.typicalMs)
	tracker.since = undefined
}

/**
 * Estimates the remaining duration of the current blockage, ms; 0 while there is none.
 * A blockage is expected to last for at least another half of the time it has lasted.
 */
export function estimateBlockageMs(
	{ since, typicalMs }: BlockageTracker,
	now: number,
): number {
	if (since === undefined) return 0
	const elapsedMs = now - since
	return Math.max(typicalMs - elapsedMs, elapsedMs / 2)
}
