/**
 * Retry budget: retries are limited to a fraction of first attempts, so that the failure
 * of many servers does not multiply the load on the others.
 */

/** Retries allowed per first attempt. */
export const RETRY_SHARE = 0.1
const MAX_BALANCE = 50

/** Balance of retries that are allowed. */
export interface RetryBudget {
	saved: number
}

/** Creates a budget that allows a few retries from the start. */
export function createRetryBudget(): RetryBudget {
	return { saved: 5 }
}

/** Records a first attempt. */
export function noteFirstTry(budget: RetryBudget): void {
	budget.saved = Math.min(MAX_BALANCE, budget.saved + RETRY_SHARE)
}

/** Whether the budget allows a retry; the caller calls {@link spendRetry} for it. */
export function mayRetry(budget: RetryBudget): boolean {
	return budget.saved >= 1
}

/** Deducts one retry. */
export function spendRetry(budget: RetryBudget): void {
	budget.saved -= 1
}
