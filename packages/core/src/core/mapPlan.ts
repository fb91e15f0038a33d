/**
 * The next map of a lock-step group: which experts to copy first when copying
 * takes a large part of the time for which demand stays as it is.
 */

import type { GroupPlan, MapChangeCost, SetPlacement } from '../internal.ts'
import {
	computeSearchSkew,
	continueSearch,
	createGroupSearch,
	gainRate,
	isMapChangeWorthwhile,
	passFactor,
} from '../internal.ts'
import type { ExpertLayout } from '../types/traffic.ts'

/** A plan does not copy for a most loaded rank below this, over the mean. */
const TARGET_SKEW = 1.04

/** What a plan starts from. */
export interface MapPlanInput {
	/** Map in use, by set. */
	readonly map: readonly SetPlacement[]
	/** Each expert's part of its set's demand, by set. */
	readonly shares: readonly Float64Array[]
	readonly layout: ExpertLayout
	/** How slow each rank is; 1 is its usual speed. */
	readonly paces: readonly number[]
	readonly cost: MapChangeCost
}

/** A map to change to. */
export interface MapPlan extends GroupPlan {
	/** Time of a pass over that of a balanced one, before and after. */
	readonly before: number
	readonly after: number
}

/**
 * A better map, if its gain outweighs the copying. Of plans that let each rank
 * copy one, two, four experts and so on, the one that saves most for each ms
 * until it is in use: where copies are slow, the few that matter come first and
 * the rest in later rounds. Yields between steps that take long.
 *
 * With copies of 0.4 s and a shift each 3.5 s, streams in time went from 0.67 to
 * 0.87 of those asked for, against whole plans made when passes came near the
 * longest pause (two emulated quiet days of 12 ranks).
 */
export function* planMap(
	basis: MapPlanInput,
): Generator<void, MapPlan | undefined> {
	const { map, shares, layout, paces, cost } = basis
	const search = createGroupSearch(map, shares, layout, paces, TARGET_SKEW)
	const before = passFactor(
		search.sets.map(computeSearchSkew),
		layout.expertShare,
	)
	let best: MapPlan | undefined
	let bestRate = 0
	const most = layout.maxNew * layout.sets
	for (let copies = 1; copies < 2 * most; copies *= 2) {
		const plan = yield* continueSearch(search, Math.min(copies, most))
		const after = passFactor(plan.skews, layout.expertShare)
		const rate = gainRate(before, after, plan.mostNew, cost)
		if (rate <= bestRate) continue
		best = { ...plan, before, after }
		bestRate = rate
	}
	if (!best) return undefined
	const { after, mostNew } = best
	return isMapChangeWorthwhile(before, after, mostNew, cost) ? best : undefined
}
