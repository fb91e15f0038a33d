/**
 * The retry budget: retries are a share of first tries, so that a failure of
 * many servers never multiplies the load on the rest.
 */

/** Retries allowed for each first try. */
export const RETRY_SHARE = 0.1
const MAX_SAVED = 50

/** Saved-up permission to retry. */
export interface RetryBudget {
	saved: number
}

/** Makes a budget that allows a few retries from the start. */
export function createRetryBudget(): RetryBudget {
	return { saved: 5 }
}

/** Notes a first try. */
export function noteFirstTry(budget: RetryBudget): void {
	budget.saved = Math.min(MAX_SAVED, budget.saved + RETRY_SHARE)
}

/** Whether a retry may be made; {@link spendRetry} when it is. */
export function mayRetry(budget: RetryBudget): boolean {
	return budget.saved >= 1
}

/** Spends one retry. */
export function spendRetry(budget: RetryBudget): void {
	budget.saved -= 1
}
