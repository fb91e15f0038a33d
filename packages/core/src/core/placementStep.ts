/**
 * One step of a search for a better placement: all small changes that take load
 * off the most loaded rank are weighed, and the best for each copy is taken.
 */

import type { PlacementSearch } from './placementSearch.ts'
import {
	canTake,
	FREE_PLACE,
	hasExpert,
	isNew,
	refreshLoad,
	setPlace,
} from './placementSearch.ts'

/** A step of the search must lower the sum by this share. */
const MIN_PROGRESS = 0.002
/** Least loaded ranks that are looked at in a step. */
const MAX_TARGETS = 16

/**
 * A change of one place, or an exchange between two. Numbers in one object that
 * is used again, since a plan weighs a hundred thousand of them.
 */
export interface PlaceChange {
	at: number
	expert: number
	/** Place that gets what `at` had; -1 for a change of one place. */
	backAt: number
	/** By how much it lowers the sum of powers, for each expert copied. */
	worth: number
}

/** The change that takes most off the loaded ranks for each expert copied. */
export function findBestChange(
	search: PlacementSearch,
): PlaceChange | undefined {
	const hot = findHottest(search.loads)
	const targets = listCoolest(search.loads, hot)
	const least = sumOfPowers(search) * MIN_PROGRESS
	const best: PlaceChange = {
		at: -1,
		expert: FREE_PLACE,
		backAt: -1,
		worth: least,
	}
	const weigh = (at: number, expert: number, backAt = -1) => {
		const copies = copiesOf(search, at, expert, backAt)
		const worth = gainOf(search, at, expert, backAt) / Math.max(1, copies)
		if (worth <= best.worth) return
		best.at = at
		best.expert = expert
		best.backAt = backAt
		best.worth = worth
	}
	const { places } = search
	for (let from = hot * places; from < (hot + 1) * places; from++) {
		const expert = search.slots[from]!
		if (expert === FREE_PLACE) continue
		for (const rank of targets) weighTarget(search, from, rank, weigh)
		if (search.copies[expert]! >= 2) weighDrop(search, from, targets, weigh)
	}
	return best.at < 0 ? undefined : best
}

function findHottest(loads: Float64Array): number {
	let hot = 0
	for (let rank = 1; rank < loads.length; rank++)
		if (loads[rank]! > loads[hot]!) hot = rank
	return hot
}

/** The least loaded ranks but `hot`, least first; a sort of all takes longer. */
function listCoolest(loads: Float64Array, hot: number): number[] {
	const coolest: number[] = []
	for (let rank = 0; rank < loads.length; rank++) {
		const load = loads[rank]!
		const isFull = coolest.length === MAX_TARGETS
		if (rank === hot || (isFull && load >= loads[coolest.at(-1)!]!)) continue
		if (isFull) coolest.pop()
		let at = coolest.length
		while (at > 0 && loads[coolest[at - 1]!]! > load) at--
		coolest.splice(at, 0, rank)
	}
	return coolest
}

type Weigh = (at: number, expert: number, backAt?: number) => void

/** Gives the expert at `from` a copy on `rank`, or exchanges it. */
function weighTarget(
	search: PlacementSearch,
	from: number,
	rank: number,
	weigh: Weigh,
): void {
	const { places, slots, copies } = search
	const expert = slots[from]!
	if (hasExpert(search, rank, expert)) return
	const hot = Math.floor(from / places)
	const room = canTake(search, rank, expert)
	for (let at = rank * places; at < (rank + 1) * places; at++) {
		const other = slots[at]!
		const replaced = other !== FREE_PLACE && isNew(search, rank, other)
		if (!room && !replaced) continue
		if (other === FREE_PLACE || copies[other]! >= 2) weigh(at, expert)
		if (other === FREE_PLACE || hasExpert(search, hot, other)) continue
		const back = canTake(search, hot, other) || isNew(search, hot, expert)
		if (back) weigh(at, expert, from)
	}
}

/** Replaces one of several copies at `from` by a light expert of another rank. */
function weighDrop(
	search: PlacementSearch,
	from: number,
	targets: readonly number[],
	weigh: Weigh,
): void {
	const { places, slots } = search
	const hot = Math.floor(from / places)
	const dropped = slots[from]!
	weigh(from, FREE_PLACE)
	for (const rank of targets)
		for (let at = rank * places; at < (rank + 1) * places; at++) {
			const expert = slots[at]!
			if (expert === FREE_PLACE || hasExpert(search, hot, expert)) continue
			if (!canTake(search, hot, expert) && !isNew(search, hot, dropped))
				continue
			weigh(from, expert)
		}
}

/** Experts that a change copies. */
function copiesOf(
	search: PlacementSearch,
	at: number,
	expert: number,
	backAt: number,
): number {
	const there = copiesAt(search, at, expert)
	return backAt < 0
		? there
		: there + copiesAt(search, backAt, search.slots[at]!)
}

function copiesAt(search: PlacementSearch, at: number, expert: number): number {
	const rank = Math.floor(at / search.places)
	return expert !== FREE_PLACE && isNew(search, rank, expert) ? 1 : 0
}

/** How much a change lowers the sum of powers. */
function gainOf(
	search: PlacementSearch,
	at: number,
	expert: number,
	backAt: number,
): number {
	const { loads, loadDeltas: added, changedRanks: touchedRanks } = search
	if (backAt < 0) {
		addDrop(search, at)
		addCopy(search, at, expert)
	} else {
		// In an exchange both experts keep their number of copies.
		addSwap(search, at, expert)
		addSwap(search, backAt, search.slots[at]!)
	}
	let gain = 0
	for (let index = 0; index < search.changedCount; index++) {
		const rank = touchedRanks[index]!
		const load = loads[rank]!
		gain += power(load) - power(Math.max(0, load + added[rank]!))
		added[rank] = 0
	}
	search.changedCount = 0
	return gain
}

/** The rank of a place loses the expert there; its other holders take over. */
function addDrop(search: PlacementSearch, at: number): void {
	const { places, slots, share, copies, loadScale: slowness } = search
	const expert = slots[at]!
	if (expert === FREE_PLACE) return
	const rank = Math.floor(at / places)
	const count = copies[expert]!
	add(search, rank, (-share[expert]! / count) * slowness[rank]!)
	spread(search, expert, rank, count, count - 1)
}

/** The rank of a place gets a copy; the expert's other holders have less. */
function addCopy(search: PlacementSearch, at: number, expert: number): void {
	const { places, share, copies, loadScale: slowness } = search
	if (expert === FREE_PLACE) return
	const rank = Math.floor(at / places)
	const count = copies[expert]!
	add(search, rank, (share[expert]! / (count + 1)) * slowness[rank]!)
	spread(search, expert, rank, count, count + 1)
}

/** The rank of a place has another expert instead of the one there. */
function addSwap(search: PlacementSearch, at: number, expert: number): void {
	const { places, slots, share, copies, loadScale: slowness } = search
	const old = slots[at]!
	const rank = Math.floor(at / places)
	const change = share[expert]! / copies[expert]! - share[old]! / copies[old]!
	add(search, rank, change * slowness[rank]!)
}

/** The eighth power: a sum of these looks at the most loaded ranks. */
function power(load: number): number {
	const square = load * load
	const fourth = square * square
	return fourth * fourth
}

function add(search: PlacementSearch, rank: number, change: number): void {
	const { loadDeltas: added, changedRanks: touchedRanks } = search
	// A sum that came back to nought is listed twice, which does no harm.
	if (added[rank] === 0) touchedRanks[search.changedCount++] = rank
	added[rank]! += change
}

/** What holders other than `rank` gain or lose when copies change. */
function spread(
	search: PlacementSearch,
	expert: number,
	rank: number,
	before: number,
	after: number,
): void {
	if (after <= 0 || before <= 0) return
	const { holders, share, loadScale: slowness } = search
	const change = share[expert]! * (1 / after - 1 / before)
	for (const other of holders[expert]!)
		if (other !== rank) add(search, other, change * slowness[other]!)
}

/** Carries a change out. */
export function applyChange(
	search: PlacementSearch,
	{ at, expert, backAt }: PlaceChange,
): void {
	const old = search.slots[at]!
	const changed = new Set<number>()
	recordHolders(search, at, changed)
	setPlace(search, at, expert)
	if (backAt >= 0) {
		recordHolders(search, backAt, changed)
		setPlace(search, backAt, old)
		recordHolders(search, backAt, changed)
	}
	recordHolders(search, at, changed)
	for (const rank of changed) refreshLoad(search, rank)
}

/** Adds the rank of a place and all that share the load of the expert there. */
function recordHolders(
	{ slots, places, holders }: PlacementSearch,
	at: number,
	changed: Set<number>,
): void {
	changed.add(Math.floor(at / places))
	const expert = slots[at]!
	if (expert === FREE_PLACE) return
	for (const rank of holders[expert]!) changed.add(rank)
}

function sumOfPowers(search: PlacementSearch): number {
	let sum = 0
	for (const load of search.loads) sum += power(load)
	return sum
}
