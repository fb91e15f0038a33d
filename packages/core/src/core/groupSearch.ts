/**
 * A search for a better map of all sets of a group, under a limit on what one
 * rank copies for it.
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

/** A plan for all sets of a group, under a limit on what one rank copies. */
export interface GroupPlan {
	readonly placements: readonly SetPlacement[]
	/** Most new experts on one rank, all sets together. */
	readonly mostNew: number
	/** New experts on all ranks. */
	readonly copies: number
	/** Load of the most loaded rank over the mean, by set. */
	readonly skews: readonly number[]
}

/** A search over all sets of a group, to be taken further step by step. */
export interface GroupSearch {
	readonly sets: readonly PlacementSearch[]
	readonly budget: CopyBudget
	/** Best change of each set, until something makes it void. */
	readonly best: (PlaceChange | undefined | 'unknown')[]
	readonly target: number
	stepsLeft: number
}

/** Begins a search from the present map; `shares` holds each set's demand. */
export function createGroupSearch(
	map: readonly SetPlacement[],
	shares: readonly Float64Array[],
	layout: ExpertLayout,
	paces: readonly number[],
	target: number,
): GroupSearch {
	const ranks = map[0]!.length
	const budget = createBudget(ranks, 0)
	return {
		sets: map.map((placement, set) =>
			createSearch(placement, shares[set]!, layout, paces, budget),
		),
		budget,
		best: map.map(() => 'unknown'),
		target,
		stepsLeft: ranks * STEPS_PER_RANK * map.length,
	}
}

/** Load of a set's most loaded rank over the mean. */
export function computeSearchSkew(search: PlacementSearch): number {
	return maxOf(search.loads)
}

/**
 * Goes on until no change is worth while when each rank copies `most` experts.
 * All sets draw on that number: a rank copies one expert after the other, so its
 * sum is what a change of the map waits for. Yields between steps that take
 * long, so that a caller can let others run.
 */
export function* continueSearch(
	search: GroupSearch,
	most: number,
): Generator<void, GroupPlan> {
	search.budget.maxPerRank = most
	search.best.fill('unknown')
	for (; search.stepsLeft > 0; search.stepsLeft--) {
		const set = yield* findBestSet(search)
		if (set === undefined) break
		applyChange(search.sets[set]!, search.best[set] as PlaceChange)
		search.best[set] = 'unknown'
	}
	return readPlan(search)
}

/** The set with the best change; undefined when no set has one. */
function* findBestSet(
	search: GroupSearch,
): Generator<void, number | undefined> {
	const { sets, best, target } = search
	let found: number | undefined
	for (const [set, one] of sets.entries()) {
		let change = best[set]
		if (change === 'unknown' || (change && !isStillAllowed(one, change))) {
			change = maxOf(one.loads) > target ? findBestChange(one) : undefined
			best[set] = change
			yield
		}
		if (!change) continue
		const leader =
			found === undefined ? undefined : (best[found] as PlaceChange)
		if (!leader || change.worth > leader.worth) found = set
	}
	return found
}

/** Another set may have used what a change was to use of the budget. */
function isStillAllowed(search: PlacementSearch, change: PlaceChange): boolean {
	const { budget, places } = search
	const ranks = [change.at, change.backAt]
		.filter(at => at >= 0)
		.map(at => Math.floor(at / places))
	return ranks.every(rank => budget.usedByRank[rank]! < budget.maxPerRank)
}

function readPlan({ sets, budget }: GroupSearch): GroupPlan {
	return {
		placements: sets.map(readPlacement),
		mostNew: Math.max(...budget.usedByRank),
		copies: budget.usedByRank.reduce((sum, used) => sum + used, 0),
		skews: sets.map(search => maxOf(search.loads)),
	}
}
