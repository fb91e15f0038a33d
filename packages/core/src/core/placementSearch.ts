/** The placement of one set of experts while a search changes it. */

import type { ExpertLayout } from '../types/traffic.ts'

/** No expert in a place. */
export const FREE_PLACE = -1

/** A set's experts by rank. */
export type SetPlacement = readonly (readonly number[])[]

/** New experts of all sets together that one change may give each rank. */
export interface CopyBudget {
	maxPerRank: number
	/** Given so far, by rank. */
	readonly usedByRank: Int16Array
}

/** Makes a budget of which nothing is used. */
export function createBudget(ranks: number, most: number): CopyBudget {
	return { maxPerRank: most, usedByRank: new Int16Array(ranks) }
}

/** A placement of one set that a search changes, with its loads. */
export interface PlacementSearch {
	readonly ranks: number
	readonly places: number
	readonly maxNew: number
	/** Shared by the sets of a group. */
	readonly budget: CopyBudget
	readonly share: Float64Array
	/** Expert in each place, rank by rank. */
	readonly slots: Int16Array
	/** 1 where the rank had the expert before. */
	readonly hadBefore: Uint8Array
	/** 1 where the rank has the expert now. */
	readonly hasNow: Uint8Array
	readonly copies: Int16Array
	/** Ranks that have each expert now. */
	readonly holders: number[][]
	/** New experts on each rank. */
	readonly newCopies: Int16Array
	/** Time that each rank takes; the mean is 1 when none is slow. */
	readonly loads: Float64Array
	/** Time that a rank takes for an even share of the demand. */
	readonly loadScale: Float64Array
	/** What the changes that are being weighed add to each rank's load. */
	readonly loadDeltas: Float64Array
	/** Ranks with an entry in `added`; their number is `touched`. */
	readonly changedRanks: Int16Array
	changedCount: number
}

/** Makes the state of a search from the present placement. */
export function createSearch(
	placement: SetPlacement,
	share: Float64Array,
	layout: ExpertLayout,
	paces: readonly number[],
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
		slots: new Int16Array(ranks * places).fill(FREE_PLACE),
		hadBefore: new Uint8Array(ranks * experts),
		hasNow: new Uint8Array(ranks * experts),
		copies: new Int16Array(experts),
		holders: Array.from({ length: experts }, () => []),
		newCopies: new Int16Array(ranks),
		loads: new Float64Array(ranks),
		loadScale: new Float64Array(ranks).map((_, at) => ranks * (paces[at] ?? 1)),
		loadDeltas: new Float64Array(ranks),
		// A change touches its rank and all holders of two experts at most.
		changedRanks: new Int16Array(2 * ranks + 4),
		changedCount: 0,
	}
	for (const [rank, own] of placement.entries())
		for (const [slot, expert] of own.entries()) {
			search.slots[rank * places + slot] = expert
			search.hadBefore[rank * experts + expert] = 1
			search.hasNow[rank * experts + expert] = 1
			search.copies[expert]!++
			search.holders[expert]!.push(rank)
		}
	for (let rank = 0; rank < ranks; rank++) refreshLoad(search, rank)
	return search
}

/** Computes the load of a rank anew. */
export function refreshLoad(search: PlacementSearch, rank: number): void {
	const { places, slots, share, copies, loads, loadScale: slowness } = search
	let load = 0
	for (let at = rank * places; at < (rank + 1) * places; at++) {
		const expert = slots[at]!
		if (expert !== FREE_PLACE) load += share[expert]! / copies[expert]!
	}
	loads[rank] = load * slowness[rank]!
}

/** Whether a rank has an expert. */
export function hasExpert(
	search: PlacementSearch,
	rank: number,
	expert: number,
): boolean {
	return search.hasNow[rank * search.share.length + expert] === 1
}

/** Whether a rank would have to copy an expert. */
export function isNew(
	search: PlacementSearch,
	rank: number,
	expert: number,
): boolean {
	return search.hadBefore[rank * search.share.length + expert] === 0
}

/** Whether a rank may still take an expert in this change. */
export function canTake(
	search: PlacementSearch,
	rank: number,
	expert: number,
): boolean {
	if (!isNew(search, rank, expert)) return true
	const { newCopies: fresh, maxNew, budget } = search
	return fresh[rank]! < maxNew && budget.usedByRank[rank]! < budget.maxPerRank
}

/** Puts an expert, or none, in a place. */
export function setPlace(
	search: PlacementSearch,
	at: number,
	expert: number,
): void {
	const { slots, hasNow: has, copies, holders, places, share } = search
	const rank = Math.floor(at / places)
	const old = slots[at]!
	if (old !== FREE_PLACE) {
		has[rank * share.length + old] = 0
		copies[old]!--
		holders[old] = holders[old]!.filter(holder => holder !== rank)
		if (isNew(search, rank, old)) countNew(search, rank, -1)
	}
	slots[at] = expert
	if (expert === FREE_PLACE) return
	has[rank * share.length + expert] = 1
	copies[expert]!++
	holders[expert]!.push(rank)
	if (isNew(search, rank, expert)) countNew(search, rank, 1)
}

function countNew(search: PlacementSearch, rank: number, change: 1 | -1): void {
	search.newCopies[rank]! += change
	search.budget.usedByRank[rank]! += change
}

/** Load of the most loaded rank. */
export function maxOf(loads: Float64Array): number {
	let most = 0
	for (const load of loads) most = Math.max(most, load)
	return most
}

/** The placement as lists of experts by rank. */
export function readPlacement(search: PlacementSearch): number[][] {
	const { ranks, places, slots } = search
	// In order, so that two maps with the same content are alike.
	return Array.from({ length: ranks }, (_, rank) =>
		[...slots.subarray(rank * places, (rank + 1) * places)]
			.filter(expert => expert !== FREE_PLACE)
			.sort((a, b) => a - b),
	)
}
