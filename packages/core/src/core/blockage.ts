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
	/** Smoothed deviation of past blockages from the typical duration, ms. */
	deviationMs: number
}

/** Weight of the latest blockage in the smoothed duration. */
const SMOOTHING_FACTOR = 0.4
/** Deviation before any blockage was observed, as a share of the typical duration. */
const INITIAL_DEVIATION = 0.2
/** Deviations by which a blockage rarely exceeds its typical duration. */
const CAUTIOUS_DEVIATIONS = 1.5

/** Creates a tracker without blockages; `typicalMs` is the initial typical duration, ms. */
export function createBlockageTracker(typicalMs: number): BlockageTracker {
	const deviationMs = INITIAL_DEVIATION * typicalMs
	return { since: undefined, typicalMs, deviationMs }
}

/** Marks the start of a blockage, unless one is already in progress. */
export function markBlocked(tracker: BlockageTracker, now: number): void {
	tracker.since ??= now
}

/** Marks the end of the current blockage, if any. */
export function markUnblocked(tracker: BlockageTracker, now: number): void {
	if (tracker.since === undefined) return
	const differenceMs = now - tracker.since - tracker.typicalMs
	tracker.typicalMs += SMOOTHING_FACTOR * differenceMs
	tracker.deviationMs +=
		SMOOTHING_FACTOR * (Math.abs(differenceMs) - tracker.deviationMs)
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

/** When a blockage is expected to end and when it has almost certainly ended, ms from now. */
export interface BlockageRange {
	readonly expectedMs: number
	readonly latestMs: number
}

/**
 * Estimates the remaining duration of the current blockage for callers that come back only
 * once, by how much past blockages differed.
 */
export function estimateBlockageRange(
	{ since, typicalMs, deviationMs }: BlockageTracker,
	now: number,
): BlockageRange {
	const estimate = (deviations: number) => {
		const endMs = typicalMs + deviations * deviationMs
		return estimateBlockageMs({ since, typicalMs: endMs, deviationMs }, now)
	}
	return {
		expectedMs: estimate(0),
		latestMs: estimate(CAUTIOUS_DEVIATIONS),
	}
}
