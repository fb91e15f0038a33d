/**
 * When a lock-step group needs another expert map, and how good a one: not for
 * balance's sake, but so that pauses stay in time and slots stay free.
 */

/** A plan must make passes shorter by this part. */
const MIN_GAIN = 0.05
/** Part of the longest pause in time that a pass may take. */
const PAUSE_SHARE = 0.65
/** Part of an engine's slots that requests may hold. */
const SLOTS_SHARE = 0.8
/** Imbalance that is always or never accepted, over a balanced pass. */
const MIN_FACTOR = 1.12
const MAX_FACTOR = 2
/** A plan aims at this part of the imbalance that is allowed. */
const TARGET_SHARE = 0.4
/** Part of the longest pause in time beyond which fewer requests are let in. */
const FULL_PAUSE_SHARE = 0.85
/** How much longer passes are while experts are copied, by the platform's page. */
const COPYING_FACTOR = 1.15
/** Part of an engine's slots that requests may always hold. */
const MIN_HELD_SHARE = 0.5
/** Part of an engine's slots that a limit gives back in a second. */
const EASED_SHARE = 0.08
const SECOND_MS = 1_000
/** Requests held that count as none. */
const FEW_HELD = 0.1

/** How busy a group is. */
export interface GroupBusy {
	/** Time of a pass over that of a balanced one. */
	readonly factor: number
	readonly passMs: number
	/** Requests that a rank holds, in the mean. */
	readonly held: number
}

/** What must not be passed. */
export interface GroupLimits {
	/** Longest pause between events that is in time, ms; 0 if unstated. */
	readonly maxPauseMs: number
	/** Requests that an engine runs at once. */
	readonly slots: number
}

/**
 * How much longer than balanced a pass may be. Requests stay longer when passes
 * do, so what a balanced group would hold follows from what this one holds.
 */
export function allowedFactor(busy: GroupBusy, limits: GroupLimits): number {
	const balancedMs = busy.passMs / busy.factor
	const balancedHeld = Math.max(FEW_HELD, busy.held / busy.factor)
	const byPause =
		limits.maxPauseMs > 0
			? (PAUSE_SHARE * limits.maxPauseMs) / balancedMs
			: MAX_FACTOR
	const bySlots = (SLOTS_SHARE * limits.slots) / balancedHeld
	return Math.max(MIN_FACTOR, Math.min(byPause, bySlots, MAX_FACTOR))
}

/** How a pass grows with the requests of its ranks. */
export interface PassCost {
	/** A token step without requests, ms. */
	readonly stepMs: number
	/** What each request adds to it, ms. */
	readonly perRequestMs: number
	/** Token steps in a pass. */
	readonly stepsPerPass: number
}

/**
 * Requests that a rank may hold while passes are too long for streams to be in
 * time; undefined while they are not. Without it a group whose passes are long
 * fills up, since requests stay longer, and passes grow with what it holds.
 */
export function allowedHeld(
	busy: GroupBusy,
	limits: GroupLimits,
	{ stepMs, perRequestMs }: PassCost,
): number | undefined {
	const mostMs = FULL_PAUSE_SHARE * limits.maxPauseMs
	if (mostMs <= 0 || perRequestMs <= 0 || busy.passMs <= mostMs)
		return undefined
	const stepNow = stepMs + busy.held * perRequestMs
	const stepThen = stepNow * (mostMs / busy.passMs)
	const held = Math.floor((stepThen - stepMs) / perRequestMs)
	const least = Math.ceil(limits.slots * MIN_HELD_SHARE)
	return Math.min(limits.slots, Math.max(least, held))
}

/**
 * Whether a rank is so slow that its own steps take longer than a stream may
 * pause. No limit brings streams back in time then, and those that are served
 * late are worth more than those that are refused.
 */
export function isBeyondLimits(
	{ maxPauseMs }: GroupLimits,
	{ stepMs, stepsPerPass }: PassCost,
	slowestPace: number,
): boolean {
	const ownMs = stepsPerPass * stepMs * slowestPace * COPYING_FACTOR
	return maxPauseMs > 0 && ownMs > FULL_PAUSE_SHARE * maxPauseMs
}

/**
 * The limit to set next: at once when it must go down, but given back slowly.
 * Those who were refused come back together; let in at once, they would fill the
 * group again while its streams still are late.
 */
export function easeLimit(
	before: number | undefined,
	wanted: number | undefined,
	slots: number,
	elapsedMs: number,
): number | undefined {
	if (before === undefined) return wanted
	const eased = before + (EASED_SHARE * slots * elapsedMs) / SECOND_MS
	if (wanted !== undefined) return Math.min(wanted, eased)
	return eased < slots ? eased : undefined
}

/** What a plan aims at when a pass may take `allowed` times a balanced one. */
export function targetFactor(allowed: number): number {
	return 1 + (allowed - 1) * TARGET_SHARE
}

/** Whether a plan shortens passes by enough to be carried out. */
export function isWorthwhile(before: number, after: number): boolean {
	return 1 - after / before >= MIN_GAIN
}
