/** Placement of one set of experts during a search. */

import type { ExpertLayout } from '../types/traffic.ts'

/** Marks a place without an expert. */
export const FREE_PLACE = -1

/** Experts of a set by rank. */
export type SetPlacement = readonly (readonly number[])[]

/** Limit on the new copies that one map change may place on each rank, over all sets. */
export interface CopyBudget {
	/** Maximum number of new copies on one rank. */
	maxPerRank: number
	/** Number of new copies used so far, by rank. */
	readonly usedByRank: Int16Array
}

/** Creates an unused budget. */
export function createBudget(ranks: number, maxPerRank: number): CopyBudget {
	return { maxPerRank, usedByRank: new Int16Array(ranks) }
}

/** State of a search for a better placement of one set. */
export interface PlacementSearch {
	readonly ranks: number
	/** Number of places per rank. */
	readonly places: number
	/** Maximum number of new copies of this set on one rank. */
	readonly maxNew: number
	/** Shared by the sets of a group. */
	readonly budget: CopyBudget
	/** Share of each expert in the demand of the set. */
	readonly share: Float64Array
	/** Expert in each place, rank by rank. */
	readonly expertByPlace: Int16Array
	/** 1 if the rank held the expert before the search, `rank * experts + expert`. */
	readonly hadBefore: Uint8Array
	/** 1 if the rank holds the expert now, `rank * experts + expert`. */
	readonly hasNow: Uint8Array
	/** Number of copies of each expert. */
	readonly copies: Int16Array
	/** Ranks that hold each expert now. */
	readonly holders: number[][]
	/** Number of new copies on each rank. */
	readonly newCopies: Int16Array
	/** Relative time that each rank takes; the mean is 1 when no rank is slow. */
	readonly loads: Float64Array
	/** Factor from a rank's share of the demand to its load, with its slowdown. */
	readonly loadScale: Float64Array
	/** Change of each rank's load by the candidate under evaluation. */
	readonly loadDeltas: Float64Array
	/** Ranks with an entry in `loadDeltas`, in the first `changedCount` elements. */
	readonly changedRanks: Int16Array
	changedCount: number
}

/** Creates a search from the present placement. */
export function createSearch(
	placement: SetPlacement,
	share: Float64Array,
	layout: ExpertLayout,
	slowdowns: readonly number[],
	budget = createBudget(placement.length, Number.POSITIVE_INFINITY),
): PlacementSearch {
	const ranks = placement.length
	const { places, experts, maxNew } = layout
	const search: PlacementSearch = {
		ranks,
		places,
		maxNew,
		budget,
		share,
		expertByPlace: new Int16Array(ranks * places).fill(FREE_PLACE),
		hadBefore: new Uint8Array(ranks * experts),
		hasNow: new Uint8Array(ranks * experts),
		copies: new Int16Array(experts),
		holders: Array.from({ length: experts }, () => []),
		newCopies: new Int16Array(ranks),
		loads: new Float64Array(ranks),
		loadScale: new Float64Array(ranks).map(
			(_, rank) => ranks * (slowdowns[rank] ?? 1),
		),
		loadDeltas: new Float64Array(ranks),
		// A change affects at most its ranks and all holders of two experts.
		changedRanks: new Int16Array(2 * ranks + 4),
		changedCount: 0,
	}
	for (const [rank, own] of placement.entries())
		for (const [place, expert] of own.entries()) {
			search.expertByPlace[rank * places + place] = expert
			search.hadBefore[rank * experts + expert] = 1
			search.hasNow[rank * experts + expert] = 1
			search.copies[expert]!++
			search.holders[expert]!.push(rank)
		}
	for (let rank = 0; rank < ranks; rank++) refreshLoad(search, rank)
	return search
}

/** Recomputes the load of a rank. */
export function refreshLoad(search: PlacementSearch, rank: number): void {
	const { places, expertByPlace, share, copies, loads, loadScale } = search
	let load = 0
	for (let at = rank * places; at < (rank + 1) * places; at++) {
		const expert = expertByPlace[at]!
		if (expert !== FREE_PLACE) load += share[expert]! / copies[expert]!
	}
	loads[rank] = load * loadScale[rank]!
}

/** Whether a rank holds an expert. */
export function hasExpert(
	search: PlacementSearch,
	rank: number,
	expert: number,
): boolean {
	return search.hasNow[rank * search.share.length + expert] === 1
}

/** Whether an expert is or would be a new copy on a rank that did not hold it before. */
export function isNewCopy(
	search: PlacementSearch,
	rank: number,
	expert: number,
): boolean {
	return search.hadBefore[rank * search.share.length + expert] === 0
}

/** Whether a rank may hold an expert within the limits on new copies. */
export function canHold(
	search: PlacementSearch,
	rank: number,
	expert: number,
): boolean {
	if (!isNewCopy(search, rank, expert)) return true
	const { newCopies, maxNew, budget } = search
	return (
		newCopies[rank]! < maxNew && budget.usedByRank[rank]! < budget.maxPerRank
	)
}

/** Sets the expert of a place; {@link FREE_PLACE} empties it. */
export function setPlace(
	search: PlacementSearch,
	at: number,
	expert: number,
): void {
	const { expertByPlace, hasNow, copies, holders, places, share } = search
	const rank = Math.floor(at / places)
	const previous = expertByPlace[at]!
	if (previous !== FREE_PLACE) {
		hasNow[rank * share.length + previous] = 0
		copies[previous]!--
		holders[previous] = holders[previous]!.filter(holder => holder !== rank)
		if (isNewCopy(search, rank, previous)) adjustNewCopies(search, rank, -1)
	}
	expertByPlace[at] = expert
	if (expert === FREE_PLACE) return
	hasNow[rank * share.length + expert] = 1
	copies[expert]!++
	holders[expert]!.push(rank)
	if (isNewCopy(search, rank, expert)) adjustNewCopies(search, rank, 1)
}

function adjustNewCopies(
	search: PlacementSearch,
	rank: number,
	change: 1 | -1,
): void {
	search.newCopies[rank]! += change
	search.budget.usedByRank[rank]! += change
}

/** Returns the load of the most loaded rank. */
export function maxOf(loads: Float64Array): number {
	let max = 0
	for (const load of loads) max = Math.max(max, load)
	return max
}

/** Returns the placement as lists of experts by rank. */
export function readPlacement(search: PlacementSearch): number[][] {
	const { ranks, places, expertByPlace } = search
	// Sorted, so that maps with the same content are equal.
	return Array.from({ length: ranks }, (_, rank) =>
		[...expertByPlace.subarray(rank * places, (rank + 1) * places)]
			.filter(expert => expert !== FREE_PLACE)
			.sort((a, b) => a - b),
	)
}
