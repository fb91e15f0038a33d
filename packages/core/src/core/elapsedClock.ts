/**
 * A clock that also advances while the VM is suspended. It combines the monotonic clock,
 * which stops during a suspension, with the wall clock, which does not. Ages, leases and
 * deadlines are measured with it.
 *
 * The wall clock may also be adjusted. A step forward is treated as a suspension, so
 * cached state counts as older than it is and is fetched again. A step back is ignored.
 */

import type { Moment } from '../types/admission.ts'

/**
 * Smallest difference between the advances of the two clocks that counts as a jump, ms.
 * Smaller ones are due to slewing, at 0.5 ms per second, or to a delay between reading
 * the two clocks.
 */
const MIN_JUMP_MS = 250

/** The last readings of both clocks and the jumps detected so far. */
export interface ElapsedClock {
	last: Moment
	/** Total time that the VM appears to have been suspended, ms. */
	suspendedMs: number
	/** Number of jumps, in either direction. */
	jumps: number
}

/** Creates a clock that has seen no suspension. */
export function createElapsedClock(at: Moment): ElapsedClock {
	return { last: at, suspendedMs: 0, jumps: 0 }
}

/** Returns the elapsed time, ms; its origin is arbitrary and it never goes back. */
export function updateElapsedClock(clock: ElapsedClock, at: Moment): number {
	const { last } = clock
	const aheadMs = at.wall - last.wall - (at.now - last.now)
	clock.last = at
	if (Math.abs(aheadMs) >= MIN_JUMP_MS) {
		clock.jumps++
		clock.suspendedMs += Math.max(0, aheadMs)
	}
	return at.now + clock.suspendedMs
}
