/**
 * Spells in which a service or a group takes no requests: how long this one has
 * lasted, how long they usually do, and so how long it is likely to go on.
 */

/** Spells of one service or group. */
export interface BlockageTracker {
	/** When the present one began, ms; undefined while there is none. */
	since: number | undefined
	/** Smoothed length, ms. */
	typicalMs: number
}

/** Weight of a new spell in the usual length. */
const SPELL_WEIGHT = 0.4

/** Makes a record that knows of no spell; `usualMs` is what is assumed first. */
export function createBlockageTracker(usualMs: number): BlockageTracker {
	return { since: undefined, typicalMs: usualMs }
}

/** Notes that nothing is taken, if that is new. */
export function markBlocked(spell: BlockageTracker, now: number): void {
	spell.since ??= now
}

/** Notes that requests are taken again, if they were not. */
export function markUnblocked(spell: BlockageTracker, now: number): void {
	if (spell.since === undefined) return
	spell.typicalMs += SPELL_WEIGHT * (now - spell.since - spell.typicalMs)
	spell.since = undefined
}

/**
 * How long the present spell is expected to go on, ms; 0 while there is none. One
 * that is longer than usual is expected to go on for half of its time.
 */
export function estimateBlockageMs(
	{ since, typicalMs: usualMs }: BlockageTracker,
	now: number,
): number {
	if (since === undefined) return 0
	const elapsedMs = now - since
	return Math.max(usualMs - elapsedMs, elapsedMs / 2)
}
