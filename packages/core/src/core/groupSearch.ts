/**
 * Searches for a better map of all sets of a group, under a limit on the copies that
 * one rank makes for it.
 */

import type { ExpertLayout } from '../types/traffic.ts'
import { STEPS_PER_RANK } from './groupPlan.ts'
import type {
	CopyBudget,
	PlacementSearch,
	SetPlacement,
} from './placementSearch.ts'
import {
	createBudget,
	createSearch,
	maxOf,
	readPlacement,
} from './placementSearch.ts'
import type { PlaceChange } from './placementStep.ts'
import { applyChange, findBestChange } from './placementStep.ts'

/** A planned placement of all sets of a group. */
export interface GroupPlan {
	readonly placements: readonly SetPlacement[]
	/** Maximum number of new copies on one rank, over all sets. */
	readonly mostNew: number
	/** Number of new copies on all ranks. */
	readonly copies: number
	/** Skew (load of the most loaded rank over the mean) of each set. */
	readonly skews: readonly number[]
}

/** State of a search over all sets of a group, which can be continued. */
export interface GroupSearch {
	readonly sets: readonly PlacementSearch[]
	readonly budget: CopyBudget
	/** Cached best change of each set; `unknown` if it must be determined. */
	readonly best: (PlaceChange | undefined | 'unknown')[]
	/** Skew below which a set is not changed. */
	readonly target: number
	stepsLeft: number
}

/** Creates a search from the present map; `shares` holds the demand of each set. */
export function createGroupSearch(
	map: readonly SetPlacement[],
	shares: readonly Float64Array[],
	layout: ExpertLayout,
	slowdowns: readonly number[],
	target: number,
): GroupSearch {
	const ranks = map[0]!.length
	const budget = createBudget(ranks, 0)
	return {
		sets: map.map((placement, set) =>
			createSearch(placement, shares[set]!, layout, slowdowns, budget),
		),
		budget,
		best: map.map(() => 'unknown'),
		target,
		stepsLeft: ranks * STEPS_PER_RANK * map.length,
	}
}

/** Returns the load of a set's most loaded rank over the mean. */
export function computeSearchSkew(search: PlacementSearch): number {
	return maxOf(search.loads)
}

/**
 * Continues a search until no further change is worthwhile with at most
 * `maxCopiesPerRank` new copies on each rank. All sets share that limit: a rank copies
 * one expert after another, so its total determines when a map change takes effect.
 * Yields between long steps, so that the caller can run other tasks.
 */
export function* continueSearch(
	search: GroupSearch,
	maxCopiesPerRank: number,
): Generator<void, GroupPlan> {
	search.budget.maxPerRank = maxCopiesPerRank
	search.best.fill('unknown')
	for (; search.stepsLeft > 0; search.stepsLeft--) {
		const set = yield* findBestSet(search)
		if (set === undefined) break
		applyChange(search.sets[set]!, search.best[set] as PlaceChange)
		search.best[set] = 'unknown'
	}
	return toGroupPlan(search)
}

/** Returns the index of the set with the best change; undefined if there is none. */
function* findBestSet(
	search: GroupSearch,
): Generator<void, number | undefined> {
	const { sets, best, target } = search
	let bestSet: number | undefined
	for (const [set, setSearch] of sets.entries()) {
		let change = best[set]
		if (
			change === 'unknown' ||
			(change && !isWithinBudget(setSearch, change))
		) {
			change =
				maxOf(setSearch.loads) > target ? findBestChange(setSearch) : undefined
			best[set] = change
			yield
		}
		if (!change) continue
		const bestSoFar =
			bestSet === undefined ? undefined : (best[bestSet] as PlaceChange)
		if (!bestSoFar || change.worth > bestSoFar.worth) bestSet = set
	}
	return bestSet
}

/** Whether other sets have left enough of the copy budget for a change. */
function isWithinBudget(search: PlacementSearch, change: PlaceChange): boolean {
	const { budget, places } = search
	const ranks = [change.at, change.backAt]
		.filter(at => at >= 0)
		.map(at => Math.floor(at / places))
	return ranks.every(rank => budget.usedByRank[rank]! < budget.maxPerRank)
}

function toGroupPlan({ sets, budget }: GroupSearch): GroupPlan {
	return {
		placements: sets.map(readPlacement),
		mostNew: Math.max(...budget.usedByRank),
		copies: budget.usedByRank.reduce((sum, used) => sum + used, 0),
		skews: sets.map(search => maxOf(search.loads)),
	}
}
