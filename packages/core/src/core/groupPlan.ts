/**
 * Plans the placement of a lock-step group's experts, for demand that changes within
 * seconds: a few changes of the present map that take load off the most loaded
 * ranks, within the limit on copies per change.
 */

import type { ExpertLayout } from '../types/traffic.ts'
import type { SetPlacement } from './placementSearch.ts'
import { createSearch, maxOf, readPlacement } from './placementSearch.ts'
import { applyChange, findBestChange } from './placementStep.ts'

export type { SetPlacement } from './placementSearch.ts'

/** Maximum number of search steps per rank of a set. */
export const STEPS_PER_RANK = 4

/** A planned placement of one set. */
export interface SetPlan {
	readonly placement: SetPlacement
	/** Skew (load of the most loaded rank over the mean) before and after. */
	readonly before: number
	readonly after: number
	/** Maximum number of new copies on one rank. */
	readonly mostNew: number
	/** Number of new copies on all ranks. */
	readonly copies: number
}

/**
 * Plans one set with as few copies as possible, until the load of the most loaded
 * rank is at most `target` times the mean. `share` holds each expert's share of the
 * demand, `slowdowns` the slowdown of each rank (1 is the usual speed).
 */
export function planSet(
	placement: SetPlacement,
	share: Float64Array,
	layout: ExpertLayout,
	slowdowns: readonly number[] = [],
	target = 1,
): SetPlan {
	const search = createSearch(placement, share, layout, slowdowns)
	const before = maxOf(search.loads)
	const maxSteps = search.ranks * STEPS_PER_RANK
	for (let step = 0; step < maxSteps; step++) {
		if (maxOf(search.loads) <= target) break
		const change = findBestChange(search)
		if (!change) break
		applyChange(search, change)
	}
	return {
		placement: readPlacement(search),
		before,
		after: maxOf(search.loads),
		mostNew: Math.max(...search.newCopies),
		copies: search.newCopies.reduce((sum, count) => sum + count, 0),
	}
}

/**
 * Returns the load of the most loaded rank over the mean. Called many times a second,
 * so it does not set up a search.
 */
export function computeSetSkew(
	placement: SetPlacement,
	share: Float64Array,
	layout: Pick<ExpertLayout, 'experts'>,
	slowdowns: readonly number[] = [],
): number {
	const copies = new Int16Array(layout.experts)
	for (const own of placement) for (const expert of own) copies[expert]!++
	let maxLoad = 0
	for (const [rank, own] of placement.entries()) {
		let load = 0
		for (const expert of own) load += share[expert]! / copies[expert]!
		maxLoad = Math.max(maxLoad, load * (slowdowns[rank] ?? 1))
	}
	return maxLoad * placement.length
}

/** Returns the time of a pass relative to one with balanced ranks. */
export function passFactor(
	skews: readonly number[],
	expertShare: number,
): number {
	const mean = skews.reduce((sum, skew) => sum + skew, 0) / skews.length
	return 1 - expertShare + expertShare * mean
}

/** Returns the map that a group forms with: experts assigned round robin. */
export function distributeRoundRobin(
	ranks: number,
	layout: Pick<ExpertLayout, 'experts'>,
): number[][] {
	const byRank: number[][] = Array.from({ length: ranks }, () => [])
	for (let expert = 0; expert < layout.experts; expert++)
		byRank[expert % ranks]!.push(expert)
	return byRank
}
