/** A token bucket: what flows in at a rate is kept for some seconds. */

/** How much a bucket holds, in seconds of its rate. */
export const BURST_SECONDS = 2
const MS = 1000

/** A bucket's state. */
export interface TokenBucket {
	level: number
	/** When it was last filled up, ms. */
	refilledAt: number
}

/** Makes a full bucket of a rate a second. */
export function createTokenBucket(rate: number, now: number): TokenBucket {
	return { level: capacityOf(rate), refilledAt: now }
}

/** Fills the bucket up to `now`; gives the ms until `amount` may be taken. */
export function refillBucket(
	bucket: TokenBucket,
	rate: number,
	amount: number,
	now: number,
): number {
	const capacity = capacityOf(rate)
	const gained = ((now - bucket.refilledAt) / MS) * rate
	bucket.level = Math.min(capacity, bucket.level + gained)
	bucket.refilledAt = now
	// What is larger than the bucket may be taken when it is full.
	const needed = Math.min(amount, capacity)
	if (bucket.level >= needed) return 0
	return ((needed - bucket.level) / rate) * MS
}

/** Takes an amount, which may leave a debt. */
export function takeTokens(bucket: TokenBucket, amount: number): void {
	bucket.level -= amount
}

function capacityOf(rate: number): number {
	return Math.max(1, rate * BURST_SECONDS)
}
