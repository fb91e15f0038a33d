/**
 * Stalls of the soak's own event loop. Callers, fake servers and clock share one
 * thread, so an apparent fault of the product may be caused by a stall of the soak.
 */

const SAMPLE_INTERVAL_MS = 20

/** A running measurement of stalls. */
export interface StallWatch {
	/** Stops measuring; returns the longest delay of a sample, ms. */
	stop(): number
}

/** Starts to measure stalls of the event loop. */
export function watchStalls(): StallWatch {
	let longestMs = 0
	let sampledAt = performance.now()
	const sample = () => {
		const now = performance.now()
		longestMs = Math.max(longestMs, now - sampledAt - SAMPLE_INTERVAL_MS)
		sampledAt = now
	}
	const timer = setInterval(sample, SAMPLE_INTERVAL_MS)
	return {
		stop() {
			sample()
			clearInterval(timer)
			return Math.max(0, Math.round(longestMs))
		},
	}
}
