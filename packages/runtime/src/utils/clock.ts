/**
 * The clocks of a process, in milliseconds. What is measured, and what waits, goes by
 * the steady one; ages, leases and deadlines go by elapsed time, which also counts
 * while the VM is suspended.
 */

import type { Moment } from '@juniperhook/core'
import { createElapsedClock, updateElapsedClock } from '@juniperhook/core'

/** Where the two clocks are read; tests step them apart. */
export const clocks = {
	now: () => performance.now(),
	wall: () => Date.now(),
}

/** Between the readings of two clocks that count as one moment, ms; a turn at most. */
const MAX_READ_GAP_MS = 20
const MAX_READ_ATTEMPTS = 3

const elapsed = createElapsedClock(readConsistentMoment() ?? readMoment())

/** Monotonic time; it has no meaning outside this process. */
export function readNow(): number {
	return clocks.now()
}

/** Both clocks at once. */
export function readMoment(): Moment {
	return { now: clocks.now(), wall: clocks.wall() }
}

/** Time that also counts while the VM is suspended; it never goes back. */
export function readElapsed(): number {
	const at = readConsistentMoment()
	return at
		? updateElapsedClock(elapsed, at)
		: clocks.now() + elapsed.suspendedMs
}

/**
 * Both clocks, read so close together that what they differ by is no accident: a
 * process that was kept from the processor in between would seem to wake from a
 * suspension. Undefined when that does not come off.
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
 * How often the clocks have parted: the VM was suspended, or the time of day set. What
 * was being measured then is worth nothing.
 */
export function countClockJumps(): number {
	readElapsed()
	return elapsed.jumps
}

/** For how long the VM seems to have been suspended in all, ms. */
export function readSuspendedMs(): number {
	readElapsed()
	return elapsed.suspendedMs
}

/** Waits `ms` without holding the process open. */
export function sleep(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms).unref())
}
