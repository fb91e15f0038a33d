/** The two clocks of a process, in milliseconds. */

import type { Moment } from '@juniperhook/core'

/** Monotonic time; it has no meaning outside this process. */
export function readNow(): number {
	return performance.now()
}

/** Both clocks at once. */
export function readMoment(): Moment {
	return { now: performance.now(), wall: Date.now() }
}

/** Waits `ms` without holding the process open. */
export function sleep(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms).unref())
}
