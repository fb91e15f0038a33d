/**
 * Measures event-loop delays of this process. Callers, entries and servers of a test
 * share its thread, so a busy machine delays all of them, whatever an entry decides.
 */

const INTERVAL_MS = 5
/** Usual delay of timers on an idle machine, ms. */
const USUAL_DELAY_MS = 2

/** A timer that fired late. */
interface Delay {
	/** When it fired, ms. */
	readonly at: number
	readonly lateMs: number
}

const delays: Delay[] = []
let firedAt = performance.now()

const timer = setInterval(() => {
	const at = performance.now()
	const lateMs = at - firedAt - INTERVAL_MS
	firedAt = at
	if (lateMs > USUAL_DELAY_MS) delays.push({ at, lateMs })
}, INTERVAL_MS)
timer.unref()

/** Returns the sum of the event-loop delays between two times, ms. */
export function loopDelayBetween(from: number, to: number): number {
	return delays
		.filter(({ at }) => at > from && at <= to)
		.reduce((sum, { at, lateMs }) => sum + Math.min(lateMs, at - from), 0)
}
