/**
 * How long this process itself stood still: its callers, its stand-ins and its
 * clock live in one thread, so what it did not see may not be the product's doing.
 */

const SAMPLE_INTERVAL_MS = 20

/** A watch under way. */
export interface StallWatch {
	/** Ends it; the longest time between two looks beyond what was asked, ms. */
	stop(): number
}

/** Watches this process's thread until it is told to end. */
export function watchStalls(): StallWatch {
	let longest = 0
	let lookedAt = performance.now()
	const look = () => {
		const now = performance.now()
		longest = Math.max(longest, now - lookedAt - SAMPLE_INTERVAL_MS)
		lookedAt = now
	}
	const timer = setInterval(look, SAMPLE_INTERVAL_MS)
	return {
		stop() {
			look()
			clearInterval(timer)
			return Math.max(0, Math.round(longest))
		},
	}
}
