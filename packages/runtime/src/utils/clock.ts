/**
 * Clocks of a process, in milliseconds. Measurements and timers use the monotonic clock.
 * Ages, leases and deadlines use elapsed time, which also advances while the VM is
 * suspended.
 */

import type { Moment } from '@juniperhook/core'
import { createElapsedClock, updateElapsedClock } from '@juniperhook/core'

/** Sources of the two clocks; tests replace them. */
export const clocks = {
	now: () => performance.now(),
	wall: () => Date.now(),
}

/**
 * Maximum time between two readings that count as simultaneous, ms: at most one turn of
 * the event loop.
 */
const MAX_READ_GAP_MS = 20
const MAX_READ_ATTEMPTS = 3

const elapsed = createElapsedClock(readConsistentMoment() ?? readMoment())

/** Returns the monotonic time; it has no meaning outside this process. */
export function readNow(): number {
	return clocks.now()
}

/** Reads both clocks. */
export function readMoment(): Moment {
	return { now: clocks.now(), wall: clocks.wall() }
}

/** Returns time that also advances while the VM is suspended; it never goes back. */
export function readElapsed(): number {
	const at = readConsistentMoment()
	return at
		? updateElapsedClock(elapsed, at)
		: clocks.now() + elapsed.suspendedMs
}

/**
 * Reads both clocks without a delay in between. If the process lost the processor
 * between the two readings, the difference would look like a suspension of the VM.
 * Returns undefined if every attempt was delayed.
 */
function readConsistentMoment(): Moment | undefined {
	for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
		const before = clocks.now()
		const wall = clocks.wall()
		const now = clocks.now()
		if (now - before <= MAX_READ_GAP_MS) return { now, wall }
	}
	return undefined
}

/**
 * Returns how often the clocks have diverged because the VM was suspended or the wall
 * clock was set. Measurements that span a jump are invalid.
 */
export function countClockJumps(): number {
	readElapsed()
	return elapsed.jumps
}

/** Returns the total time that the VM appears to have been suspended, ms. */
export function readSuspendedMs(): number {
	readElapsed()
	return elapsed.suspendedMs
}

/** Waits `ms` without keeping the process alive. */
export function sleep(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms).unref())
}
