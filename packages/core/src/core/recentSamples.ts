/**
 * Quantiles of the latest observations of a quantity. A window follows a change within
 * its length and bounds what a single absurd observation can shift.
 */

/** Observations kept: enough for a lower tenth that one outlier does not set. */
const CAPACITY = 64

/** The latest observations. */
export interface RecentSamples {
	readonly values: number[]
	/** Index that the next observation overwrites once the window is full. */
	next: number
	/** Ascending copy; undefined after a new observation until it is needed. */
	sorted: readonly number[] | undefined
}

/** Creates a window without observations. */
export function createRecentSamples(): RecentSamples {
	return { values: [], next: 0, sorted: undefined }
}

/** Adds an observation; it replaces the oldest one if the window is full. */
export function addSample(samples: RecentSamples, value: number): void {
	samples.values[samples.next] = value
	samples.next = (samples.next + 1) % CAPACITY
	samples.sorted = undefined
}

/** Returns the quantile for `share` from 0 to 1; undefined without observations. */
export function quantileOf(
	samples: RecentSamples,
	share: number,
): number | undefined {
	samples.sorted ??= [...samples.values].sort((a, b) => a - b)
	const { sorted } = samples
	return sorted[Math.floor(share * (sorted.length - 1))]
}
