/**
 * The retry budget: retries are a share of first tries, so that a failure of
 * many servers never multiplies the load on the rest.
 */

/** Retries allowed for each first try. */
export const RETRY_RATIO = 0.1
const MAX_SAVED = 50

/** Saved-up permission to retry. */
export interface RetryBudget {
	balance: number
}

/** Makes a budget that allows a few retries from the start. */
export function createRetryBudget(): RetryBudget {
	return { balance: 5 }
}

/** Notes a first try. */
export function recordFirstAttempt(budget: RetryBudget): void {
	budget.balance = Math.min(MAX_SAVED, budget.balance + RETRY_RATIO)
}

/** Whether a retry may be made; {@link spendRetry} when it is. */
export function mayRetry(budget: RetryBudget): boolean {
	return budget.balance >= 1
}

/** Spends one retry. */
export function spendRetry(budget: RetryBudget): void {
	budget.balance -= 1
}
