/**
 * How fast places for waiting requests come free at a service, and so how long
 * one that has others before it will wait.
 */

/** Places that came free of late. */
export interface DispatchRate {
	/** When the last one came free, ms. */
	lastAt: number
	/** Smoothed time between two, ms. */
	intervalMs: number
}

/** Weight of a new gap. */
const GAP_WEIGHT = 0.15
/** Before any place was seen to come free, ms. */
const FIRST_GAP_MS = 100
/** A longer gap tells of a service without requests, not of a slow one, ms. */
const MAX_GAP_MS = 1_000

/** Makes a flow of which nothing was seen. */
export function createDispatchRate(): DispatchRate {
	return { lastAt: Number.NEGATIVE_INFINITY, intervalMs: FIRST_GAP_MS }
}

/** Notes that a place was given to a request. */
export function recordDispatch(flow: DispatchRate, now: number): void {
	const gap = Math.min(now - flow.lastAt, MAX_GAP_MS)
	flow.intervalMs += GAP_WEIGHT * (gap - flow.intervalMs)
	flow.lastAt = now
}

/** Time between two places, as far as can be told while none comes, ms. */
export function currentIntervalMs(
	{ lastAt, intervalMs: gapMs }: DispatchRate,
	now: number,
): number {
	return Math.max(gapMs, Math.min(now - lastAt, MAX_GAP_MS))
}

/** How long a request with `ahead` others before it will wait, ms. */
export function predictWaitMs(
	flow: DispatchRate,
	ahead: number,
	now: number,
): number {
	return (ahead + 1) * currentIntervalMs(flow, now)
}
