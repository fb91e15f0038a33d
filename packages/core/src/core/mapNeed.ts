/**
 * What a lock-step group needs so that pauses stay in time: when another expert
 * map is worth its copying, and how many requests it may hold.
 */

import type { PassCost } from '../internal.ts'
import { COPYING_FACTOR, heldWithin } from '../internal.ts'

/** A plan must make passes shorter by this part. */
const MIN_GAIN = 0.05
/**
 * Part of the longest pause in time that a pass may be predicted to take: the
 * rest is for prompts that are read and for the way to the caller.
 */
const FULL_PAUSE_SHARE = 0.9
/** Part of an engine's slots that requests may always hold. */
const MIN_HELD_SHARE = 0.5
/** Shifts that come within this time are prepared for, ms. */
const SHIFTS_OFTEN_MS = 6_000

/** What must not be passed. */
export interface GroupLimits {
	/** Longest pause between events that is in time, ms; 0 if unstated. */
	readonly maxPauseMs: number
	/** Requests that an engine runs at once. */
	readonly slots: number
}

/** What a group may hold depends on. */
export interface LetInState {
	/** Time of a pass over that of a balanced one, now. */
	readonly factor: number
	/** The same right after demand shifts, as seen so far. */
	readonly shiftedFactor: number
	/** How long demand is expected to stay as it is, ms. */
	readonly steadyMs: number
}

/**
 * Requests that a rank may hold for streams to be in time: undefined for as many
 * as fit. A limit that a shift would break is too high where streams are likely
 * to see one: all that are under way when it comes would be late.
 */
export function allowedHeld(
	{ factor, shiftedFactor, steadyMs }: LetInState,
	{ maxPauseMs, slots }: GroupLimits,
	cost: PassCost,
): number | undefined {
	if (maxPauseMs <= 0 || cost.perRequestMs <= 0) return undefined
	const mostMs = FULL_PAUSE_SHARE * maxPauseMs
	const worst =
		steadyMs < SHIFTS_OFTEN_MS ? Math.max(factor, shiftedFactor) : factor
	const held = heldWithin(cost, mostMs, { factor: worst, copying: true })
	if (held >= slots) return undefined
	return Math.max(slots * MIN_HELD_SHARE, held)
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

/** What a change of the map costs and how long it lasts. */
export interface RoundCost {
	/** To copy one expert to a rank, ms. */
	readonly copyMs: number
	/** From the plan until the new map is in use, without copying, ms. */
	readonly overheadMs: number
	/** How long demand is expected to stay as it is, ms. */
	readonly steadyMs: number
}

/** How much of a pass a plan saves, for each ms until it does so. */
export function gainRate(
	before: number,
	after: number,
	copies: number,
	{ copyMs, overheadMs }: RoundCost,
): number {
	return (before - after) / (overheadMs + copies * copyMs)
}

/**
 * Whether a plan saves more than its copying costs, in passes until demand is
 * expected to shift. `copies` is the most that one rank copies.
 */
export function isWorthwhile(
	before: number,
	after: number,
	copies: number,
	{ copyMs, overheadMs, steadyMs }: RoundCost,
): boolean {
	if (1 - after / before < MIN_GAIN) return false
	const copyingMs = copies * copyMs
	const usedMs = Math.max(0, steadyMs - overheadMs - copyingMs)
	const lost = (COPYING_FACTOR - 1) * before * copyingMs
	return (before - after) * usedMs > lost
}
