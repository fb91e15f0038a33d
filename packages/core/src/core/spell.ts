/**
 * Tracks outages, periods in which a service or group accepts no requests, and estimates
 * the remaining duration of the current one from the typical duration.
 */

/** Outages of one service or group. */
export interface Spell {
	/** Start of the current outage, ms; undefined while there is none. */
	since: number | undefined
	/** Smoothed duration of past outages, ms. */
	usualMs: number
}

/** Weight of the latest outage in the smoothed duration. */
const SMOOTHING_FACTOR = 0.4

/** Creates a tracker without outages; `usualMs` is the initial typical duration, ms. */
export function createSpell(usualMs: number): Spell {
	return { since: undefined, usualMs }
}

/** Marks the start of an outage, unless one is already in progress. */
export function beginSpell(tracker: Spell, now: number): void {
	tracker.since ??= now
}

/** Marks the end of the current outage, if any. */
export function endSpell(tracker: Spell, now: number): void {
	if (tracker.since === undefined) return
	tracker.usualMs += SMOOTHING_FACTOR * (now - tracker.since - tracker.usualMs)
	tracker.since = undefined
}

/**
 * Estimates the remaining duration of the current outage, ms; 0 while there is none.
 * An outage is expected to last at least half as long again as it has lasted so far.
 */
export function expectSpellEnd({ since, usualMs }: Spell, now: number): number {
	if (since === undefined) return 0
	const elapsedMs = now - since
	return Math.max(usualMs - elapsedMs, elapsedMs / 2)
}
