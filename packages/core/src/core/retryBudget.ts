/**
 * Retry budget: retries are limited to a fraction of first attempts, so that the failure
 * of many servers does not multiply the load on the others.
 */

/** Retries allowed per first attempt. */
export const RETRY_RATIO = 0.1
const MAX_BALANCE = 50

/** Balance of retries that are allowed. */
export interface RetryBudget {
	balance: number
}

/** Creates a budget that allows a few retries from the start. */
export function createRetryBudget(): RetryBudget {
	return { balance: 5 }
}

/** Records a first attempt. */
export function recordFirstAttempt(budget: RetryBudget): void {
	budget.balance = Math.min(MAX_BALANCE, budget.balance + RETRY_RATIO)
}

/** Whether the budget allows a retry; the caller calls {@link spendRetry} for it. */
export function mayRetry(budget: RetryBudget): boolean {
	return budget.balance >= 1
}

/** Deducts one retry. */
export function spendRetry(budget: RetryBudget): void {
	budget.balance -= 1
}
