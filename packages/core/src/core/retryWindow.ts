/**
 * A share of a retry budget that all entries draw on without talking: retries
 * in a sliding window stay below a ratio of this entry's requests plus its part
 * of the slack.
 */

/** Slots into which a window is cut. */
const WINDOW_SLOTS = 20
/**
 * Part of the allowance that is used: another entry may restart within a window
 * and forget what it has spent.
 */
const USED_SHARE = 0.5

/** What an operator allows. */
export interface RetryAllowance {
	/** Retries for each request. */
	readonly ratio: number
	/** Retries besides, by all entries together in a window. */
	readonly slack: number
	readonly windowMs: number
}

/** Requests and retries of one entry to one service. */
export interface RetryWindow {
	readonly requests: Float64Array
	readonly retries: Float64Array
	/** Number of the newest slot since time 0. */
	newest: number
}

/** Makes an empty window. */
export function createRetryWindow(): RetryWindow {
	return {
		requests: new Float64Array(WINDOW_SLOTS),
		retries: new Float64Array(WINDOW_SLOTS),
		newest: 0,
	}
}

/** Notes a request's first send. */
export function recordRequest(
	window: RetryWindow,
	allowance: RetryAllowance,
	now: number,
): void {
	const at = advance(window, allowance, now)
	window.requests[at]!++
}

/** Takes permission for one retry, if there is any. */
export function takeRetry(
	window: RetryWindow,
	allowance: RetryAllowance,
	entries: number,
	now: number,
): boolean {
	const at = advance(window, allowance, now)
	const requests = sum(window.requests)
	const own = allowance.slack / Math.max(1, entries)
	const most = USED_SHARE * (allowance.ratio * requests + own)
	if (sum(window.retries) + 1 > most) return false
	window.retries[at]!++
	return true
}

function advance(
	window: RetryWindow,
	allowance: RetryAllowance,
	now: number,
): number {
	const slot = Math.floor(now / (allowance.windowMs / WINDOW_SLOTS))
	const gone = Math.min(slot - window.newest, WINDOW_SLOTS)
	for (let step = 1; step <= gone; step++) {
		const at = (window.newest + step) % WINDOW_SLOTS
		window.requests[at] = 0
		window.retries[at] = 0
	}
	if (gone > 0) window.newest = slot
	const at = slot % WINDOW_SLOTS
	if (gone === WINDOW_SLOTS) {
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
