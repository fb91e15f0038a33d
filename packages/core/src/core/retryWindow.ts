/**
 * An entry's share of a retry budget that all entries use without coordination: its
 * retries in a sliding window stay below a ratio of its requests plus its share of the
 * slack.
 */

/** Time slices per window. */
const WINDOW_SLICES = 20
/**
 * Share of the allowance that is used: an entry may restart within a window and lose the
 * count of its retries.
 */
const SAFETY_FACTOR = 0.5

/** Retries that the operator allows. */
export interface RetryAllowance {
	/** Retries per request. */
	readonly ratio: number
	/** Additional retries of all entries together in a window. */
	readonly slack: number
	readonly windowMs: number
}

/** Requests and retries of one entry to one service, per time slice. */
export interface RetryWindow {
	readonly requests: Float64Array
	readonly retries: Float64Array
	/** Number of the newest slice, counted from time 0. */
	newest: number
}

/** Creates an empty window. */
export function createRetryWindow(): RetryWindow {
	return {
		requests: new Float64Array(WINDOW_SLICES),
		retries: new Float64Array(WINDOW_SLICES),
		newest: 0,
	}
}

/** Records the first attempt of a request. */
export function recordRequest(
	window: RetryWindow,
	allowance: RetryAllowance,
	now: number,
): void {
	const at = advance(window, allowance, now)
	window.requests[at]!++
}

/** Takes one retry from the budget; returns false if it is exhausted. */
export function takeRetry(
	window: RetryWindow,
	allowance: RetryAllowance,
	entries: number,
	now: number,
): boolean {
	const at = advance(window, allowance, now)
	const requests = sum(window.requests)
	const ownSlack = allowance.slack / Math.max(1, entries)
	const maxRetries = SAFETY_FACTOR * (allowance.ratio * requests + ownSlack)
	if (sum(window.retries) + 1 > maxRetries) return false
	window.retries[at]!++
	return true
}

function advance(
	window: RetryWindow,
	allowance: RetryAllowance,
	now: number,
): number {
	const slice = Math.floor(now / (allowance.windowMs / WINDOW_SLICES))
	const elapsed = Math.min(slice - window.newest, WINDOW_SLICES)
	for (let step = 1; step <= elapsed; step++) {
		const at = (window.newest + step) % WINDOW_SLICES
		window.requests[at] = 0
		window.retries[at] = 0
	}
	if (elapsed > 0) window.newest = slice
	const at = slice % WINDOW_SLICES
	if (elapsed === WINDOW_SLICES) {
		window.requests.fill(0)
		window.retries.fill(0)
	}
	return at
}

function sum(values: Float64Array): number {
	let total = 0
	for (const value of values) total += value
	return total
}
