/**
 * Decides what a process that stops still takes. What it takes has to end before the
 * process does; what it refuses at once can be served by another process in time.
 */

/** When a process stops, ms of elapsed time. */
export interface ShutdownTimes {
	/** From then on the load balancer sends no new connections. */
	readonly drainedAt: number
	/** When the requests that are still open are ended. */
	readonly endAt: number
}

/** A request that a stopping process may take, or continue with. */
export interface ShutdownCandidate {
	/** When it was read completely, ms of elapsed time. */
	readonly takenAt: number
	/** When it is ended if it has no answer, ms of elapsed time. */
	readonly timeoutAt: number
	/** How long requests of its kind usually take, ms; undefined if none has ended yet. */
	readonly usualMs: number | undefined
}

/**
 * Returns whether a request can end before the process does. Until the load balancer knows
 * of the stop, callers cannot avoid the process, so a request that usually ends in time is
 * served. Later only callers with open connections come, and a request is taken only if it
 * is certain to end in time.
 */
export function canEndInTime(
	{ drainedAt, endAt }: ShutdownTimes,
	{ takenAt, timeoutAt, usualMs }: ShutdownCandidate,
	now: number,
): boolean {
	if (timeoutAt <= endAt) return true
	if (takenAt > drainedAt || usualMs === undefined) return false
	return now + usualMs <= endAt
}
