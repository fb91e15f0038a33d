/**
 * How late this process itself was: callers, entries and servers of a test share its
 * thread, so a busy machine delays all of them, whatever an entry decides.
 */

const LOOK_MS = 5
/** Timers are this late on an idle machine, ms. */
const USUAL_MS = 2

/** A look that came late. */
interface Delay {
	/** When it came, ms. */
	readonly at: number
	readonly lateMs: number
}

const delays: Delay[] = []
let lookedAt = performance.now()

const timer = setInterval(() => {
	const at = performance.now()
	const lateMs = at - lookedAt - LOOK_MS
	lookedAt = at
	if (lateMs > USUAL_MS) delays.push({ at, lateMs })
}, LOOK_MS)
timer.unref()

/** Time by which this process was late between two moments, ms. */
export function loopDelayBetween(from: number, to: number): number {
	return delays
		.filter(({ at }) => at > from && at <= to)
		.reduce((sum, { at, lateMs }) => sum + Math.min(lateMs, at - from), 0)
}
