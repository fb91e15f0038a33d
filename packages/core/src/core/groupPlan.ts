/**
 * Where the experts of a lock-step group should lie, for demand that turns
 * within seconds: a few changes of the present map that take load off the most
 * loaded ranks, within what one change may copy.
 */

import type { ExpertLayout } from '../types/traffic.ts'

/** No expert in a place. */
const FREE = -1
/** A step of the search must lower the sum by this share. */
const MIN_PROGRESS = 0.002
/** Least loaded ranks that are looked at in a step. */
const MAX_TARGETS = 16
/** Steps of the search for each rank. */
const STEPS_PER_RANK = 4

/** A set's experts by rank. */
export type SetPlacement = readonly (readonly number[])[]

/** What planning a set gives. */
export interface SetPlan {
	readonly placement: SetPlacement
	/** Load of the most loaded rank over the mean, before and after. */
	readonly before: number
	readonly after: number
	/** Most new experts on one rank. */
	readonly mostNew: number
	/** New experts on all ranks. */
	readonly copies: number
}

/** The search's state. */
interface Search {
	readonly ranks: number
	readonly places: number
	readonly maxNew: number
	readonly share: Float64Array
	/** Expert in each place, rank by rank. */
	readonly slots: Int16Array
	/** 1 where the rank had the expert before. */
	readonly had: Uint8Array
	/** 1 where the rank has the expert now. */
	readonly has: Uint8Array
	readonly copies: Int16Array
	/** Ranks that have each expert now. */
	readonly holders: number[][]
	/** New experts on each rank. */
	readonly fresh: Int16Array
	/** Time that each rank takes; the mean is 1 when none is slow. */
	readonly loads: Float64Array
	/** Time that a rank takes for an even share of the demand. */
	readonly slowness: Float64Array
	/** What the changes that are being weighed add to each rank's load. */
	readonly added: Float64Array
	/** Ranks with an entry in `added`; their number is `touched`. */
	readonly touchedRanks: Int16Array
	touched: number
}

/**
 * A change of one place, or an exchange between two. Numbers in one object that
 * is used again, since a plan weighs a hundred thousand of them.
 */
interface Change {
	at: number
	expert: number
	/** Place that gets what `at` had; -1 for a change of one place. */
	backAt: number
}

/**
 * Plans one set, with as few copies as bring the most loaded rank down to
 * `target` times the mean. `share` holds each expert's part of the demand,
 * `paces` how slow each rank is.
 */
export function planSet(
	placement: SetPlacement,
	share: Float64Array,
	layout: ExpertLayout,
	paces: readonly number[] = [],
	target = 1,
): SetPlan {
	const search = createSearch(placement, share, layout, paces)
	const before = maxOf(search.loads)
	const most = search.ranks * STEPS_PER_RANK
	for (let step = 0; step < most; step++) {
		if (maxOf(search.loads) <= target) break
		const change = findBest(search)
		if (!change) break
		applyChange(search, change)
	}
	return {
		placement: readPlacement(search),
		before,
		after: maxOf(search.loads),
		mostNew: Math.max(...search.fresh),
		copies: search.fresh.reduce((sum, fresh) => sum + fresh, 0),
	}
}

/** Load of the most loaded rank over the mean. */
export function skewOfSet(
	placement: SetPlacement,
	share: Float64Array,
	layout: ExpertLayout,
	paces: readonly number[] = [],
): number {
	return maxOf(createSearch(placement, share, layout, paces).loads)
}

/** Time of a pass over that of one with balanced ranks. */
export function passFactor(
	skews: readonly number[],
	expertShare: number,
): number {
	const mean = skews.reduce((sum, skew) => sum + skew, 0) / skews.length
	return 1 - expertShare + expertShare * mean
}

/** The map that a group forms with: experts dealt in turn. */
export function dealExperts(
	ranks: number,
	layout: Pick<ExpertLayout, 'experts'>,
): number[][] {
	const byRank: number[][] = Array.from({ length: ranks }, () => [])
	for (let expert = 0; expert < layout.experts; expert++)
		byRank[expert % ranks]!.push(expert)
	return byRank
}

function createSearch(
	placement: SetPlacement,
	share: Float64Array,
	layout: ExpertLayout,
	paces: readonly number[],
): Search {
	const ranks = placement.length
	const { places, experts, maxNew } = layout
	const search: Search = {
		ranks,
		places,
		maxNew,
		share,
		slots: new Int16Array(ranks * places).fill(FREE),
		had: new Uint8Array(ranks * experts),
		has: new Uint8Array(ranks * experts),
		copies: new Int16Array(experts),
		holders: Array.from({ length: experts }, () => []),
		fresh: new Int16Array(ranks),
		loads: new Float64Array(ranks),
		slowness: new Float64Array(ranks).map((_, at) => ranks * (paces[at] ?? 1)),
		added: new Float64Array(ranks),
		// A change touches its rank and all holders of two experts at most.
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
	refreshLoads(search)
	return search
}

function refreshLoads(search: Search): void {
	const { ranks, places, slots, share, copies, loads, slowness } = search
	for (let rank = 0; rank < ranks; rank++) {
		let load = 0
		for (let at = rank * places; at < (rank + 1) * places; at++) {
			const expert = slots[at]!
			if (expert !== FREE) load += share[expert]! / copies[expert]!
		}
		loads[rank] = load * slowness[rank]!
	}
}

/** The change that takes most off the loaded ranks for each expert copied. */
function findBest(search: Search): Change | undefined {
	const order = [...search.loads.keys()].sort(
		(a, b) => search.loads[a]! - search.loads[b]!,
	)
	const hot = order.at(-1)!
	const targets = order.slice(0, MAX_TARGETS).filter(rank => rank !== hot)
	const best: Change = { at: -1, expert: FREE, backAt: -1 }
	let bestWorth = sumOfPowers(search) * MIN_PROGRESS
	const weigh = (at: number, expert: number, backAt = -1) => {
		const copies = copiesOf(search, at, expert, backAt)
		const worth = gainOf(search, at, expert, backAt) / Math.max(1, copies)
		if (worth <= bestWorth) return
		best.at = at
		best.expert = expert
		best.backAt = backAt
		bestWorth = worth
	}
	const { places } = search
	for (let from = hot * places; from < (hot + 1) * places; from++) {
		const expert = search.slots[from]!
		if (expert === FREE) continue
		for (const rank of targets) weighTarget(search, from, rank, weigh)
		if (search.copies[expert]! >= 2) weighDrop(search, from, targets, weigh)
	}
	return best.at < 0 ? undefined : best
}

type Weigh = (at: number, expert: number, backAt?: number) => void

/** Gives the expert at `from` a copy on `rank`, or exchanges it. */
function weighTarget(
	search: Search,
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
		const replaced = other !== FREE && isNew(search, rank, other)
		if (!room && !replaced) continue
		if (other === FREE || copies[other]! >= 2) weigh(at, expert)
		if (other === FREE || hasExpert(search, hot, other)) continue
		const back = canTake(search, hot, other) || isNew(search, hot, expert)
		if (back) weigh(at, expert, from)
	}
}

/** Replaces one of several copies at `from` by a light expert of another rank. */
function weighDrop(
	search: Search,
	from: number,
	targets: readonly number[],
	weigh: Weigh,
): void {
	const { places, slots } = search
	const hot = Math.floor(from / places)
	const dropped = slots[from]!
	weigh(from, FREE)
	for (const rank of targets)
		for (let at = rank * places; at < (rank + 1) * places; at++) {
			const expert = slots[at]!
			if (expert === FREE || hasExpert(search, hot, expert)) continue
			if (!canTake(search, hot, expert) && !isNew(search, hot, dropped))
				continue
			weigh(from, expert)
		}
}

/** Experts that a change copies. */
function copiesOf(
	search: Search,
	at: number,
	expert: number,
	backAt: number,
): number {
	const there = copiesAt(search, at, expert)
	return backAt < 0
		? there
		: there + copiesAt(search, backAt, search.slots[at]!)
}

function copiesAt(search: Search, at: number, expert: number): number {
	const rank = Math.floor(at / search.places)
	return expert !== FREE && isNew(search, rank, expert) ? 1 : 0
}

function hasExpert(search: Search, rank: number, expert: number): boolean {
	return search.has[rank * search.share.length + expert] === 1
}

function isNew(search: Search, rank: number, expert: number): boolean {
	return search.had[rank * search.share.length + expert] === 0
}

function canTake(search: Search, rank: number, expert: number): boolean {
	return !isNew(search, rank, expert) || search.fresh[rank]! < search.maxNew
}

/** How much a change lowers the sum of powers. */
function gainOf(
	search: Search,
	at: number,
	expert: number,
	backAt: number,
): number {
	const { loads, added, touchedRanks } = search
	if (backAt < 0) {
		addDrop(search, at)
		addCopy(search, at, expert)
	} else {
		// In an exchange both experts keep their number of copies.
		addSwap(search, at, expert)
		addSwap(search, backAt, search.slots[at]!)
	}
	let gain = 0
	for (let index = 0; index < search.touched; index++) {
		const rank = touchedRanks[index]!
		const load = loads[rank]!
		gain += power(load) - power(Math.max(0, load + added[rank]!))
		added[rank] = 0
	}
	search.touched = 0
	return gain
}

/** The rank of a place loses the expert there; its other holders take over. */
function addDrop(search: Search, at: number): void {
	const { places, slots, share, copies, slowness } = search
	const expert = slots[at]!
	if (expert === FREE) return
	const rank = Math.floor(at / places)
	const count = copies[expert]!
	add(search, rank, (-share[expert]! / count) * slowness[rank]!)
	spread(search, expert, rank, count, count - 1)
}

/** The rank of a place gets a copy; the expert's other holders have less. */
function addCopy(search: Search, at: number, expert: number): void {
	const { places, share, copies, slowness } = search
	if (expert === FREE) return
	const rank = Math.floor(at / places)
	const count = copies[expert]!
	add(search, rank, (share[expert]! / (count + 1)) * slowness[rank]!)
	spread(search, expert, rank, count, count + 1)
}

/** The rank of a place has another expert instead of the one there. */
function addSwap(search: Search, at: number, expert: number): void {
	const { places, slots, share, copies, slowness } = search
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

function add(search: Search, rank: number, change: number): void {
	const { added, touchedRanks } = search
	// A sum that came back to nought is listed twice, which does no harm.
	if (added[rank] === 0) touchedRanks[search.touched++] = rank
	added[rank]! += change
}

/** What holders other than `rank` gain or lose when copies change. */
function spread(
	search: Search,
	expert: number,
	rank: number,
	before: number,
	after: number,
): void {
	if (after <= 0 || before <= 0) return
	const { holders, share, slowness } = search
	const change = share[expert]! * (1 / after - 1 / before)
	for (const other of holders[expert]!)
		if (other !== rank) add(search, other, change * slowness[other]!)
}

function applyChange(search: Search, { at, expert, backAt }: Change): void {
	const old = search.slots[at]!
	place(search, at, expert)
	if (backAt >= 0) place(search, backAt, old)
	refreshLoads(search)
}

/** Puts an expert, or none, in a place. */
function place(search: Search, at: number, expert: number): void {
	const { slots, has, copies, holders, fresh, places, share } = search
	const rank = Math.floor(at / places)
	const old = slots[at]!
	if (old !== FREE) {
		has[rank * share.length + old] = 0
		copies[old]!--
		holders[old] = holders[old]!.filter(holder => holder !== rank)
		if (isNew(search, rank, old)) fresh[rank]!--
	}
	slots[at] = expert
	if (expert === FREE) return
	has[rank * share.length + expert] = 1
	copies[expert]!++
	holders[expert]!.push(rank)
	if (isNew(search, rank, expert)) fresh[rank]!++
}

function sumOfPowers(search: Search): number {
	let sum = 0
	for (const load of search.loads) sum += power(load)
	return sum
}

function maxOf(loads: Float64Array): number {
	let most = 0
	for (const load of loads) most = Math.max(most, load)
	return most
}

function readPlacement(search: Search): number[][] {
	const { ranks, places, slots } = search
	// In order, so that two maps with the same content are alike.
	return Array.from({ length: ranks }, (_, rank) =>
		[...slots.subarray(rank * places, (rank + 1) * places)]
			.filter(expert => expert !== FREE)
			.sort((a, b) => a - b),
	)
}
