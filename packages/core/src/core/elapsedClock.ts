/**
 * Time that also passes while a VM is suspended, from its two clocks: the steady one
 * stands still then, the time of day goes on. Ages, leases and deadlines go by it.
 *
 * The time of day may also be set. Set ahead it looks like a suspension: what is
 * believed counts as older than it is, and is learnt anew. Set back it is passed over.
 */

import type { Moment } from '../types/admission.ts'

/**
 * Between two looks, the time of day that is ahead by less is slewed or read late, ms:
 * clocks are slewed by half a ms a second.
 */
const LEAST_JUMP_MS = 250

/** Both clocks when they were last looked at, and what they have shown. */
export interface ElapsedClock {
	last: Moment
	/** How long the VM seems to have been suspended in all, ms. */
	suspendedMs: number
	/** How often the clocks have parted, either way. */
	jumps: number
}

/** Makes a clock that has seen no suspension. */
export function createElapsedClock(at: Moment): ElapsedClock {
	return { last: at, suspendedMs: 0, jumps: 0 }
}

/** Time that has elapsed, ms, on a scale of its own; it never goes back. */
export function updateElapsedClock(clock: ElapsedClock, at: Moment): number {
	const { last } = clock
	const aheadMs = at.wall - last.wall - (at.now - last.now)
	clock.last = at
	if (Math.abs(aheadMs) >= LEAST_JUMP_MS) {
		clock.jumps++
		clock.suspendedMs += Math.max(0, aheadMs)
	}
	return at.now + clock.suspendedMs
}
