/**
 * One step of a search for a better placement: evaluates all small changes that reduce
 * the load of the most loaded rank, and selects the one with the largest gain per copy.
 */

import type { PlacementSearch } from './placementSearch.ts'
import {
	canHold,
	FREE_PLACE,
	hasExpert,
	isNewCopy,
	refreshLoad,
	setPlace,
} from './placementSearch.ts'

/** Minimum relative decrease of the sum of powers for which a change is made. */
const MIN_PROGRESS = 0.002
/** Number of least loaded ranks evaluated as targets in a step. */
const MAX_TARGETS = 16

/**
 * A change of one place, or an exchange between two. Candidates are compared as plain
 * numbers and stored in one reused object, because a plan evaluates about a hundred
 * thousand of them.
 */
export interface PlaceChange {
	/** Index of the place. */
	at: number
	/** New expert of the place. */
	expert: number
	/** Place that receives the previous expert of `at`; -1 for a change of one place. */
	backAt: number
	/** Decrease of the sum of powers per expert copied. */
	worth: number
}

/** Returns the change with the largest gain per copy; undefined if none is useful. */
export function findBestChange(
	search: PlacementSearch,
): PlaceChange | undefined {
	const mostLoaded = findMostLoaded(search.loads)
	const targets = listLeastLoaded(search.loads, mostLoaded)
	const minWorth = sumOfPowers(search) * MIN_PROGRESS
	const best: PlaceChange = {
		at: -1,
		expert: FREE_PLACE,
		backAt: -1,
		worth: minWorth,
	}
	const evaluate = (at: number, expert: number, backAt = -1) => {
		const copies = countCopies(search, at, expert, backAt)
		const worth = computeGain(search, at, expert, backAt) / Math.max(1, copies)
		if (worth <= best.worth) return
		best.at = at
		best.expert = expert
		best.backAt = backAt
		best.worth = worth
	}
	const { places } = search
	for (
		let from = mostLoaded * places;
		from < (mostLoaded + 1) * places;
		from++
	) {
		const expert = search.expertByPlace[from]!
		if (expert === FREE_PLACE) continue
		for (const rank of targets) evaluateTarget(search, from, rank, evaluate)
		if (search.copies[expert]! >= 2)
			evaluateDrop(search, from, targets, evaluate)
	}
	return best.at < 0 ? undefined : best
}

function findMostLoaded(loads: Float64Array): number {
	let mostLoaded = 0
	for (let rank = 1; rank < loads.length; rank++)
		if (loads[rank]! > loads[mostLoaded]!) mostLoaded = rank
	return mostLoaded
}

/**
 * Lists the least loaded ranks except `mostLoaded` in ascending order of load. An insertion
 * into a short list is faster than sorting all ranks.
 */
function listLeastLoaded(loads: Float64Array, mostLoaded: number): number[] {
	const leastLoaded: number[] = []
	for (let rank = 0; rank < loads.length; rank++) {
		const load = loads[rank]!
		const isFull = leastLoaded.length === MAX_TARGETS
		if (rank === mostLoaded || (isFull && load >= loads[leastLoaded.at(-1)!]!))
			continue
		if (isFull) leastLoaded.pop()
		let at = leastLoaded.length
		while (at > 0 && loads[leastLoaded[at - 1]!]! > load) at--
		leastLoaded.splice(at, 0, rank)
	}
	return leastLoaded
}

type Evaluate = (at: number, expert: number, backAt?: number) => void

/** Evaluates copies of the expert at `from` on `rank`, and exchanges with its experts. */
function evaluateTarget(
	search: PlacementSearch,
	from: number,
	rank: number,
	evaluate: Evaluate,
): void {
	const { places, expertByPlace, copies } = search
	const expert = expertByPlace[from]!
	if (hasExpert(search, rank, expert)) return
	const mostLoaded = Math.floor(from / places)
	const canCopy = canHold(search, rank, expert)
	for (let at = rank * places; at < (rank + 1) * places; at++) {
		const other = expertByPlace[at]!
		const replacesNewCopy =
			other !== FREE_PLACE && isNewCopy(search, rank, other)
		if (!canCopy && !replacesNewCopy) continue
		if (other === FREE_PLACE || copies[other]! >= 2) evaluate(at, expert)
		if (other === FREE_PLACE || hasExpert(search, mostLoaded, other)) continue
		const canExchange =
			canHold(search, mostLoaded, other) ||
			isNewCopy(search, mostLoaded, expert)
		if (canExchange) evaluate(at, expert, from)
	}
}

/**
 * Evaluates dropping the copy at `from` of a replicated expert, or replacing it by an
 * expert of a target rank.
 */
function evaluateDrop(
	search: PlacementSearch,
	from: number,
	targets: readonly number[],
	evaluate: Evaluate,
): void {
	const { places, expertByPlace } = search
	const mostLoaded = Math.floor(from / places)
	const dropped = expertByPlace[from]!
	evaluate(from, FREE_PLACE)
	for (const rank of targets)
		for (let at = rank * places; at < (rank + 1) * places; at++) {
			const expert = expertByPlace[at]!
			if (expert === FREE_PLACE || hasExpert(search, mostLoaded, expert))
				continue
			if (
				!canHold(search, mostLoaded, expert) &&
				!isNewCopy(search, mostLoaded, dropped)
			)
				continue
			evaluate(from, expert)
		}
}

/** Returns how many experts a change copies. */
function countCopies(
	search: PlacementSearch,
	at: number,
	expert: number,
	backAt: number,
): number {
	const there = countCopiesAt(search, at, expert)
	return backAt < 0
		? there
		: there + countCopiesAt(search, backAt, search.expertByPlace[at]!)
}

function countCopiesAt(
	search: PlacementSearch,
	at: number,
	expert: number,
): number {
	const rank = Math.floor(at / search.places)
	return expert !== FREE_PLACE && isNewCopy(search, rank, expert) ? 1 : 0
}

/** Returns by how much a change decreases the sum of powers. */
function computeGain(
	search: PlacementSearch,
	at: number,
	expert: number,
	backAt: number,
): number {
	const { loads, loadDeltas, changedRanks } = search
	if (backAt < 0) {
		addRemoval(search, at)
		addCopy(search, at, expert)
	} else {
		// In an exchange both experts keep their number of copies.
		addReplacement(search, at, expert)
		addReplacement(search, backAt, search.expertByPlace[at]!)
	}
	let gain = 0
	for (let index = 0; index < search.changedCount; index++) {
		const rank = changedRanks[index]!
		const load = loads[rank]!
		gain +=
			eighthPower(load) - eighthPower(Math.max(0, load + loadDeltas[rank]!))
		loadDeltas[rank] = 0
	}
	search.changedCount = 0
	return gain
}

/** Adds the load changes of removing a place's expert; its other holders take over. */
function addRemoval(search: PlacementSearch, at: number): void {
	const { places, expertByPlace, share, copies, loadScale } = search
	const expert = expertByPlace[at]!
	if (expert === FREE_PLACE) return
	const rank = Math.floor(at / places)
	const count = copies[expert]!
	addDelta(search, rank, (-share[expert]! / count) * loadScale[rank]!)
	addOtherHolders(search, expert, rank, count, count - 1)
}

/** Adds the load changes of a new copy at a place, also for the expert's other holders. */
function addCopy(search: PlacementSearch, at: number, expert: number): void {
	const { places, share, copies, loadScale } = search
	if (expert === FREE_PLACE) return
	const rank = Math.floor(at / places)
	const count = copies[expert]!
	addDelta(search, rank, (share[expert]! / (count + 1)) * loadScale[rank]!)
	addOtherHolders(search, expert, rank, count, count + 1)
}

/** Adds the load change of replacing the expert of a place in an exchange. */
function addReplacement(
	search: PlacementSearch,
	at: number,
	expert: number,
): void {
	const { places, expertByPlace, share, copies, loadScale } = search
	const old = expertByPlace[at]!
	const rank = Math.floor(at / places)
	const change = share[expert]! / copies[expert]! - share[old]! / copies[old]!
	addDelta(search, rank, change * loadScale[rank]!)
}

/** Returns the eighth power; a sum of these is dominated by the most loaded ranks. */
function eighthPower(load: number): number {
	const square = load * load
	const fourth = square * square
	return fourth * fourth
}

function addDelta(search: PlacementSearch, rank: number, change: number): void {
	const { loadDeltas, changedRanks } = search
	// A rank whose sum returned to zero is listed twice, which is harmless: its second
	// entry adds nothing.
	if (loadDeltas[rank] === 0) changedRanks[search.changedCount++] = rank
	loadDeltas[rank]! += change
}

/** Adds the load changes of the holders other than `rank` when the copy count changes. */
function addOtherHolders(
	search: PlacementSearch,
	expert: number,
	rank: number,
	before: number,
	after: number,
): void {
	if (after <= 0 || before <= 0) return
	const { holders, share, loadScale } = search
	const change = share[expert]! * (1 / after - 1 / before)
	for (const other of holders[expert]!)
		if (other !== rank) addDelta(search, other, change * loadScale[other]!)
}

/** Applies a change to the placement and updates the loads. */
export function applyChange(
	search: PlacementSearch,
	{ at, expert, backAt }: PlaceChange,
): void {
	const old = search.expertByPlace[at]!
	const affectedRanks = new Set<number>()
	addHolders(search, at, affectedRanks)
	setPlace(search, at, expert)
	if (backAt >= 0) {
		addHolders(search, backAt, affectedRanks)
		setPlace(search, backAt, old)
		addHolders(search, backAt, affectedRanks)
	}
	addHolders(search, at, affectedRanks)
	for (const rank of affectedRanks) refreshLoad(search, rank)
}

/** Adds the rank of a place and all ranks that hold the expert there. */
function addHolders(
	{ expertByPlace, places, holders }: PlacementSearch,
	at: number,
	affectedRanks: Set<number>,
): void {
	affectedRanks.add(Math.floor(at / places))
	const expert = expertByPlace[at]!
	if (expert === FREE_PLACE) return
	for (const rank of holders[expert]!) affectedRanks.add(rank)
}

function sumOfPowers(search: PlacementSearch): number {
	let sum = 0
	for (const load of search.loads) sum += eighthPower(load)
	return sum
}
