/** Placement of one set of experts during a search. */

import type { ExpertLayout } from '../types/traffic.ts'

/** Marks a place without an expert. */
export const FREE = -1

/** Experts of a set by rank. */
export type SetPlacement = readonly (readonly number[])[]

/** Limit on the new copies that one map change may place on each rank, over all sets. */
export interface CopyBudget {
	/** Maximum number of new copies on one rank. */
	most: number
	/** Number of new copies used so far, by rank. */
	readonly used: Int16Array
}

/** Creates an unused budget. */
export function createBudget(ranks: number, most: number): CopyBudget {
	return { most, used: new Int16Array(ranks) }
}

/** State of a search for a better placement of one set. */
export interface Search {
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
	readonly slots: Int16Array
	/** 1 if the rank held the expert before the search, `rank * experts + expert`. */
	readonly had: Uint8Array
	/** 1 if the rank holds the expert now, `rank * experts + expert`. */
	readonly has: Uint8Array
	/** Number of copies of each expert. */
	readonly copies: Int16Array
	/** Ranks that hold each expert now. */
	readonly holders: number[][]
	/** Number of new copies on each rank. */
	readonly fresh: Int16Array
	/** Relative time that each rank takes; the mean is 1 when no rank is slow. */
	readonly loads: Float64Array
	/** Factor from a rank's share of the demand to its load, with its slowdown. */
	readonly slowness: Float64Array
	/** Change of each rank's load by the candidate under evaluation. */
	readonly added: Float64Array
	/** Ranks with an entry in `added`; only the first `touched` elements are valid. */
	readonly touchedRanks: Int16Array
	touched: number
}

/** Creates a search from the present placement. */
export function createSearch(
	placement: SetPlacement,
	share: Float64Array,
	layout: ExpertLayout,
	paces: readonly number[],
	budget = createBudget(placement.length, Number.POSITIVE_INFINITY),
): Search {
	const ranks = placement.length
	const { places, experts, maxNew } = layout
	const search: Search = {
		ranks,
		places,
		maxNew,
		budget,
		share,
		slots: new Int16Array(ranks * places).fill(FREE),
		had: new Uint8Array(ranks * experts),
		has: new Uint8Array(ranks * experts),
		copies: new Int16Array(experts),
		holders: Array.from({ length: experts }, () => []),
		fresh: new Int16Array(ranks),
		loads: new Float64Array(ranks),
		slowness: new Float64Array(ranks).map(
			(_, rank) => ranks * (paces[rank] ?? 1),
		),
		added: new Float64Array(ranks),
		// A change affects at most its ranks and all holders of two experts.
		touchedRanks: new Int16Array(2 * ranks + 4),
		touched: 0,
	}
	for (const [rank, own] of placement.entries())
		for (const [slot, expert] of own.entries()) {
			search.slots[rank * places + slot] = expert
			search.had[rank * experts + expert] = 1
			search.has[rank * experts + expert] = 1
			search.copies[expert]!++
			search.holders[expert]!.push(rank)
		}
	for (let rank = 0; rank < ranks; rank++) refreshLoad(search, rank)
	return search
}

/** Recomputes the load of a rank. */
export function refreshLoad(search: Search, rank: number): void {
	const { places, slots, share, copies, loads, slowness } = search
	let load = 0
	for (let at = rank * places; at < (rank + 1) * places; at++) {
		const expert = slots[at]!
		if (expert !== FREE) load += share[expert]! / copies[expert]!
	}
	loads[rank] = load * slowness[rank]!
}

/** Whether a rank holds an expert. */
export function hasExpert(
	search: Search,
	rank: number,
	expert: number,
): boolean {
	return search.has[rank * search.share.length + expert] === 1
}

/** Whether a rank would have to copy an expert. */
export function isNew(search: Search, rank: number, expert: number): boolean {
	return search.had[rank * search.share.length + expert] === 0
}

/** Whether a rank may hold an expert within the limits on new copies. */
export function canTake(search: Search, rank: number, expert: number): boolean {
	if (!isNew(search, rank, expert)) return true
	const { fresh, maxNew, budget } = search
	return fresh[rank]! < maxNew && budget.used[rank]! < budget.most
}

/** Sets the expert of a place; {@link FREE} empties it. */
export function place(search: Search, at: number, expert: number): void {
	const { slots, has, copies, holders, places, share } = search
	const rank = Math.floor(at / places)
	const previous = slots[at]!
	if (previous !== FREE) {
		has[rank * share.length + previous] = 0
		copies[previous]!--
		holders[previous] = holders[previous]!.filter(holder => holder !== rank)
		if (isNew(search, rank, previous)) countNew(search, rank, -1)
	}
	slots[at] = expert
	if (expert === FREE) return
	has[rank * share.length + expert] = 1
	copies[expert]!++
	holders[expert]!.push(rank)
	if (isNew(search, rank, expert)) countNew(search, rank, 1)
}

function countNew(search: Search, rank: number, change: 1 | -1): void {
	search.fresh[rank]! += change
	search.budget.used[rank]! += change
}

/** Returns the load of the most loaded rank. */
export function maxOf(loads: Float64Array): number {
	let max = 0
	for (const load of loads) max = Math.max(max, load)
	return max
}

/** Returns the placement as lists of experts by rank. */
export function readPlacement(search: Search): number[][] {
	const { ranks, places, slots } = search
	// Sorted, so that maps with the same content are equal.
	return Array.from({ length: ranks }, (_, rank) =>
		[...slots.subarray(rank * places, (rank + 1) * places)]
			.filter(expert => expert !== FREE)
			.sort((a, b) => a - b),
	)
}
