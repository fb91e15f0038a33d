/**
 * Policies that keep the pauses of a lock-step group's streams within their limit: when
 * a change of the expert map is worth its copying, and how many requests the group may
 * have in flight.
 */

import type { PassCost, PassFit } from '../internal.ts'
import {
	COPYING_FACTOR,
	maxInFlightWithin,
	predictPassMs,
} from '../internal.ts'

/** Minimum relative reduction of the pass time for which a plan is used. */
const MIN_GAIN = 0.08
/**
 * Share of the longest allowed pause that the predicted pass time may take; the rest is
 * left for prompt processing and the network to the caller.
 */
const PASS_PAUSE_SHARE = 0.85
/**
 * The same share for the few passes between a demand shift and the map change that
 * adapts to it. It is larger, because among fewer passes one that takes longer than
 * predicted is less likely.
 */
const SHIFT_PAUSE_SHARE = 0.9
/**
 * The same share for passes after a demand shift; below it, streams are on time without a
 * change, and the present map is kept.
 */
const KEPT_MAP_SHARE = 0.65
/** Share of an engine's slots that requests may always occupy. */
const MIN_IN_FLIGHT_SHARE = 0.5
/** Share of the longest allowed pause beyond which a slow rank cannot meet the limit. */
const SLOW_RANK_SHARE = 0.85
/** Demand shifts expected within this time lower the limit on requests in flight, ms. */
const FREQUENT_SHIFT_MS = 6_000

/** Limits of a group. */
export interface GroupLimits {
	/** Longest allowed pause between the events of a stream, ms; 0 if not set. */
	readonly maxPauseMs: number
	/** Number of requests that an engine runs at once. */
	readonly slots: number
}

/** Conditions that determine how many requests a group may have in flight. */
export interface LoadConditions {
	/** Present time of a pass relative to a balanced one. */
	readonly factor: number
	/**
	 * Time of a pass right after a demand shift, relative to a balanced one, as
	 * observed.
	 */
	readonly shiftedFactor: number
	/** Expected time until demand shifts, ms. */
	readonly steadyMs: number
	/** Whether adapting to a shift makes ranks copy experts for longer than a pass. */
	readonly copiesLong: boolean
	/** Fit of the observed passes to the published figures. */
	readonly fit: PassFit
}

/**
 * Returns how many requests a rank may have in flight for streams to meet the pause
 * limit; undefined for no limit. Where demand shifts are frequent, streams have to meet
 * it right after a shift too, or all streams in progress at that time would be late.
 * Copying is taken into account there only if it lasts longer than a pass: by
 * calculation, 192 ranks that copy for 10 ms may have 3 requests each in flight instead
 * of 2.25. In emulations the limit on requests in flight raised the share of streams in
 * time from 0.93 to 0.96 under workloads with low load, and from 0.58 to 0.67 under those
 * with 20 % more load.
 */
export function maxInFlightPerRank(
	{ factor, shiftedFactor, steadyMs, copiesLong, fit }: LoadConditions,
	{ maxPauseMs, slots }: GroupLimits,
	cost: PassCost,
): number | undefined {
	if (maxPauseMs <= 0 || cost.perRequestMs <= 0) return undefined
	const within = (share: number, worstFactor: number, copying: boolean) =>
		maxInFlightWithin(cost, fit, share * maxPauseMs, {
			factor: worstFactor,
			copying,
		})
	const allowsForShift = steadyMs < FREQUENT_SHIFT_MS && shiftedFactor > factor
	const limit = Math.min(
		within(PASS_PAUSE_SHARE, factor, true),
		allowsForShift
			? within(SHIFT_PAUSE_SHARE, shiftedFactor, copiesLong)
			: slots,
	)
	if (limit >= slots) return undefined
	return Math.max(slots * MIN_IN_FLIGHT_SHARE, limit)
}

/**
 * Whether a rank is so slow that its own steps exceed the pause limit. No limit on the
 * requests in flight makes streams meet it then, and a late stream is worth more than
 * a refused one.
 */
export function isRankTooSlow(
	{ maxPauseMs }: GroupLimits,
	{ stepMs, stepsPerPass }: PassCost,
	maxSlowdown: number,
): boolean {
	const ownStepsMs = stepsPerPass * stepMs * maxSlowdown * COPYING_FACTOR
	return maxPauseMs > 0 && ownStepsMs > SLOW_RANK_SHARE * maxPauseMs
}

/**
 * Whether streams could be late with the present map: whether the present demand, or
 * the next shift, makes passes too long until a map change takes effect. Without this
 * check a group with spare time copies experts without any benefit: four times as many
 * under an emulated workload of 16 ranks with low load, for no more streams in time.
 */
export function isMapNeeded(
	inFlight: number,
	{
		factor,
		shiftedFactor,
		fit,
	}: Pick<LoadConditions, 'factor' | 'shiftedFactor' | 'fit'>,
	{ maxPauseMs }: GroupLimits,
	cost: PassCost,
): boolean {
	if (maxPauseMs <= 0) return true
	const worstFactor = Math.max(factor, shiftedFactor)
	const passMs = predictPassMs(cost, fit, inFlight, {
		factor: worstFactor,
		copying: true,
	})
	return passMs > KEPT_MAP_SHARE * maxPauseMs
}

/** Cost of a map change, and how long its benefit lasts. */
export interface MapChangeCost {
	/** Time to copy one expert to a rank, ms. */
	readonly copyMs: number
	/** Time from the plan until the new map is in use, without copying, ms. */
	readonly overheadMs: number
	/** Expected time until demand shifts, ms. */
	readonly steadyMs: number
}

/** Returns the pass time that a plan saves per ms until it takes effect. */
export function gainRate(
	before: number,
	after: number,
	copies: number,
	{ copyMs, overheadMs }: MapChangeCost,
): number {
	return (before - after) / (overheadMs + copies * copyMs)
}

/**
 * Whether a plan saves more pass time until the expected demand shift than its copying
 * costs. `copies` is the largest number of copies on one rank.
 */
export function isMapChangeWorthwhile(
	before: number,
	after: number,
	copies: number,
	{ copyMs, overheadMs, steadyMs }: MapChangeCost,
): boolean {
	if (1 - after / before < MIN_GAIN) return false
	const copyingMs = copies * copyMs
	const inUseMs = Math.max(0, steadyMs - overheadMs - copyingMs)
	const lost = (COPYING_FACTOR - 1) * before * copyingMs
	return (before - after) * inUseMs > lost
}
