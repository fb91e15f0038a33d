/**
 * What a lock-step group needs so that pauses stay in time: when another expert
 * map is worth its copying, and how many requests it may hold.
 */

import type { PassCost, PassFit } from '../internal.ts'
import {
	COPYING_FACTOR,
	maxInFlightWithin,
	predictPassMs,
} from '../internal.ts'

/** A plan must make passes shorter by this part. */
const MIN_GAIN = 0.08
/**
 * Part of the longest pause in time that a pass may be predicted to take: the
 * rest is for prompts that are read and for the way to the caller.
 */
const FULL_PAUSE_SHARE = 0.85
/**
 * The same for the few passes between a shift of demand and the map that cures
 * it: fewer passes are less likely to meet one that takes longer than predicted.
 */
const SHIFT_PAUSE_SHARE = 0.9
/** The same for passes after a shift with the present map, for it to be kept. */
const KEPT_MAP_SHARE = 0.65
/** Part of an engine's slots that requests may always hold. */
const MIN_HELD_SHARE = 0.5
/** Part of the longest pause beyond which a slow rank's own steps are hopeless. */
const HOPELESS_SHARE = 0.85
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
export interface LoadConditions {
	/** Time of a pass over that of a balanced one, now. */
	readonly factor: number
	/** The same right after demand shifts, as seen so far. */
	readonly shiftedFactor: number
	/** How long demand is expected to stay as it is, ms. */
	readonly steadyMs: number
	/** Whether ranks copy experts for longer than a pass to cure a shift. */
	readonly copiesLong: boolean
	/** How passes were seen to compare with the published figures. */
	readonly fit: PassFit
}

/**
 * Requests that a rank may hold for streams to be in time: undefined for as many
 * as fit. A limit that a shift would break is too high where streams are likely
 * to see one: all that are under way when it comes would be late. Copying counts
 * there only where it lasts: 192 ranks that copy for 10 ms may hold 3 requests each
 * in place of 2.25 (worked out). Limits took streams in time from 0.93 to 0.96 on
 * emulated quiet days, and from 0.58 to 0.67 on days with a fifth more load.
 */
export function maxInFlightPerRank(
	{ factor, shiftedFactor, steadyMs, copiesLong, fit }: LoadConditions,
	{ maxPauseMs, slots }: GroupLimits,
	cost: PassCost,
): number | undefined {
	if (maxPauseMs <= 0 || cost.perRequestMs <= 0) return undefined
	const within = (share: number, worst: number, copying: boolean) =>
		maxInFlightWithin(cost, fit, share * maxPauseMs, { factor: worst, copying })
	const isPrepared = steadyMs < SHIFTS_OFTEN_MS && shiftedFactor > factor
	const held = Math.min(
		within(FULL_PAUSE_SHARE, factor, true),
		isPrepared ? within(SHIFT_PAUSE_SHARE, shiftedFactor, copiesLong) : slots,
	)
	if (held >= slots) return undefined
	return Math.max(slots * MIN_HELD_SHARE, held)
}

/**
 * Whether a rank is so slow that its own steps take longer than a stream may
 * pause. No limit brings streams back in time then, and those that are served
 * late are worth more than those that are refused.
 */
export function isRankTooSlow(
	{ maxPauseMs }: GroupLimits,
	{ stepMs, stepsPerPass }: PassCost,
	slowestPace: number,
): boolean {
	const ownMs = stepsPerPass * stepMs * slowestPace * COPYING_FACTOR
	return maxPauseMs > 0 && ownMs > HOPELESS_SHARE * maxPauseMs
}

/**
 * Whether streams could be late with the present map: whether the next shift of
 * demand, or the present one, would make passes too long while it is cured.
 * Without it a group with time to spare copies experts for nobody: four times as
 * many on an emulated quiet day of 16 ranks, for no more streams in time.
 */
export function isMapNeeded(
	held: number,
	{
		factor,
		shiftedFactor,
		fit,
	}: Pick<LoadConditions, 'factor' | 'shiftedFactor' | 'fit'>,
	{ maxPauseMs }: GroupLimits,
	cost: PassCost,
): boolean {
	if (maxPauseMs <= 0) return true
	const worst = Math.max(factor, shiftedFactor)
	const passMs = predictPassMs(cost, fit, held, {
		factor: worst,
		copying: true,
	})
	return passMs > KEPT_MAP_SHARE * maxPauseMs
}

/** What a change of the map costs and how long it lasts. */
export interface MapChangeCost {
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
	{ copyMs, overheadMs }: MapChangeCost,
): number {
	return (before - after) / (overheadMs + copies * copyMs)
}

/**
 * Whether a plan saves more than its copying costs, in passes until demand is
 * expected to shift. `copies` is the most that one rank copies.
 */
export function isMapChangeWorthwhile(
	before: number,
	after: number,
	copies: number,
	{ copyMs, overheadMs, steadyMs }: MapChangeCost,
): boolean {
	if (1 - after / before < MIN_GAIN) return false
	const copyingMs = copies * copyMs
	const usedMs = Math.max(0, steadyMs - overheadMs - copyingMs)
	const lost = (COPYING_FACTOR - 1) * before * copyingMs
	return (before - after) * usedMs > lost
}
