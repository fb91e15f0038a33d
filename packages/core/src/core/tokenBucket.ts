/** A token bucket: tokens are added at a fixed rate up to a few seconds' worth. */

/** Capacity of a bucket, in seconds of its rate. */
export const BURST_SECONDS = 2
const MS = 1000

/** State of a token bucket. */
export interface TokenBucket {
	level: number
	/** When it was last refilled, ms. */
	refilledAt: number
}

/** Creates a full bucket; `rate` is in tokens per second. */
export function createTokenBucket(rate: number, now: number): TokenBucket {
	return { level: capacityOf(rate), refilledAt: now }
}

/** Refills the bucket as of `now` and returns the time until `amount` may be taken, ms. */
export function refillAndGetWaitMs(
	bucket: TokenBucket,
	rate: number,
	amount: number,
	now: number,
): number {
	const capacity = capacityOf(rate)
	const gained = ((now - bucket.refilledAt) / MS) * rate
	bucket.level = Math.min(capacity, bucket.level + gained)
	bucket.refilledAt = now
	// An amount larger than the capacity may be taken when the bucket is full.
	const needed = Math.min(amount, capacity)
	if (bucket.level >= needed) return 0
	return ((needed - bucket.level) / rate) * MS
}

/** Takes an amount; the level may become negative. */
export function takeTokens(bucket: TokenBucket, amount: number): void {
	bucket.level -= amount
}

function capacityOf(rate: number): number {
	return Math.max(1, rate * BURST_SECONDS)
}
