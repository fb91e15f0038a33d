/**
 * Where the experts of a lock-step group should lie, for demand that turns
 * within seconds: a few changes of the present map that take load off the most
 * loaded ranks, within what one change may copy.
 */

import type { ExpertLayout } from '../types/traffic.ts'

/** No expert in a place. */
const FREE = -1
/** Exponent that makes a sum of loads look at the most loaded ranks. */
const POWER = 8
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
	/** New experts on each rank. */
	readonly fresh: Int16Array
	/** Time that each rank takes; the mean is 1 when none is slow. */
	readonly loads: Float64Array
	/** Time that a rank takes for an even share of the demand. */
	readonly slowness: Float64Array
}

/** One place that gets another expert. */
interface Change {
	readonly at: number
	readonly expert: number
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
		const changes = findBest(search)
		if (!changes) break
		for (const change of changes) apply(search, change)
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
		fresh: new Int16Array(ranks),
		loads: new Float64Array(ranks),
		slowness: new Float64Array(ranks).map((_, at) => ranks * (paces[at] ?? 1)),
	}
	for (const [rank, own] of placement.entries())
		for (const [slot, expert] of own.entries()) {
			search.slots[rank * places + slot] = expert
			search.had[rank * experts + expert] = 1
			search.has[rank * experts + expert] = 1
			search.copies[expert]!++
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

function findBest(search: Search): Change[] | undefined {
	const order = [...search.loads.keys()].sort(
		(a, b) => search.loads[a]! - search.loads[b]!,
	)
	const hot = order.at(-1)!
	const targets = order.slice(0, MAX_TARGETS).filter(rank => rank !== hot)
	let best: Change[] | undefined
	let bestWorth = sumOfPowers(search) * MIN_PROGRESS
	const weigh = (changes: Change[]) => {
		const worth =
			gainOf(search, changes) / Math.max(1, copiesOf(search, changes))
		if (worth <= bestWorth) return
		best = changes
		bestWorth = worth
	}
	const { places } = search
	for (let from = hot * places; from < (hot + 1) * places; from++) {
		const expert = search.slots[from]!
		if (expert === FREE) continue
		for (const rank of targets) weighTarget(search, from, rank, weigh)
		if (search.copies[expert]! >= 2) weighDrop(search, from, targets, weigh)
	}
	return best
}

/** Gives the expert at `from` a copy on `rank`, or exchanges it. */
function weighTarget(
	search: Search,
	from: number,
	rank: number,
	weigh: (changes: Change[]) => void,
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
		if (other === FREE || copies[other]! >= 2) weigh([{ at, expert }])
		if (other === FREE || hasExpert(search, hot, other)) continue
		const back = canTake(search, hot, other) || isNew(search, hot, expert)
		if (!back) continue
		weigh([
			{ at, expert },
			{ at: from, expert: other },
		])
	}
}

/** Replaces one of several copies at `from` by a light expert of another rank. */
function weighDrop(
	search: Search,
	from: number,
	targets: readonly number[],
	weigh: (changes: Change[]) => void,
): void {
	const { places, slots } = search
	const hot = Math.floor(from / places)
	const dropped = slots[from]!
	weigh([{ at: from, expert: FREE }])
	for (const rank of targets)
		for (let at = rank * places; at < (rank + 1) * places; at++) {
			const expert = slots[at]!
			if (expert === FREE || hasExpert(search, hot, expert)) continue
			if (!canTake(search, hot, expert) && !isNew(search, hot, dropped))
				continue
			weigh([{ at: from, expert }])
		}
}

/** Experts that changes copy. */
function copiesOf(search: Search, changes: readonly Change[]): number {
	let copies = 0
	for (const { at, expert } of changes) {
		const rank = Math.floor(at / search.places)
		if (expert !== FREE && isNew(search, rank, expert)) copies++
	}
	return copies
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

/** How much changes lower the sum of powers. */
function gainOf(search: Search, changes: readonly Change[]): number {
	const { loads, slots, places, share, copies, slowness } = search
	touched.clear()
	for (const { at, expert } of changes) {
		const rank = Math.floor(at / places)
		const old = slots[at]!
		const oldCount = old === FREE ? 0 : copies[old]!
		const newCount = expert === FREE ? 0 : copies[expert]!
		const exchanged = changes.length === 2
		// In an exchange both experts keep their number of copies.
		const oldNext = exchanged ? oldCount : oldCount - 1
		const newNext = exchanged ? newCount : newCount + 1
		if (old !== FREE) {
			add(rank, (-share[old]! / oldCount) * slowness[rank]!)
			if (!exchanged) spread(search, old, rank, oldCount, oldNext)
		}
		if (expert !== FREE) {
			add(rank, (share[expert]! / newNext) * slowness[rank]!)
			if (!exchanged) spread(search, expert, rank, newCount, newNext)
		}
	}
	let gain = 0
	for (const [rank, change] of touched) {
		const load = loads[rank]!
		gain += load ** POWER - Math.max(0, load + change) ** POWER
	}
	return gain
}

/** Changes of load by rank, reused between calls. */
const touched = new Map<number, number>()

function add(rank: number, change: number): void {
	touched.set(rank, (touched.get(rank) ?? 0) + change)
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
	const { ranks, share, slowness } = search
	const change = share[expert]! * (1 / after - 1 / before)
	for (let other = 0; other < ranks; other++)
		if (other !== rank && hasExpert(search, other, expert))
			add(other, change * slowness[other]!)
}

function apply(search: Search, { at, expert }: Change): void {
	const { slots, has, copies, fresh, places, share } = search
	const rank = Math.floor(at / places)
	const old = slots[at]!
	if (old !== FREE) {
		has[rank * share.length + old] = 0
		copies[old]!--
		if (isNew(search, rank, old)) fresh[rank]!--
	}
	slots[at] = expert
	if (expert !== FREE) {
		has[rank * share.length + expert] = 1
		copies[expert]!++
		if (isNew(search, rank, expert)) fresh[rank]!++
	}
	refreshLoads(search)
}

function sumOfPowers(search: Search): number {
	let sum = 0
	for (const load of search.loads) sum += load ** POWER
	return sum
}

function maxOf(loads: Float64Array): number {
	let most = 0
	for (const load of loads) most = Math.max(most, load)
	return most
}

function readPlacement(search: Search): number[][] {
	const { ranks, places, slots } = search
	return Array.from({ length: ranks }, (_, rank) =>
		[...slots.subarray(rank * places, (rank + 1) * places)].filter(
			expert => expert !== FREE,
		),
	)
}
