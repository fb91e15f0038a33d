/**
 * When and where experts move: a short list of loads whose benefit over the
 * time that the popularity is expected to last exceeds their cost.
 *
 * A layer is planned by local search on its slowest rank: give one of its
 * experts a replica elsewhere, or exchange it. The search goes on past where it
 * pays, and the plan is cut at the best net worth.
 */

import type { LayerPlacement } from '../internal.ts'
import {
	cloneLayer,
	EMPTY,
	holds,
	loadsOf,
	setSlot,
	skewOf,
} from '../internal.ts'

/** Target ranks tried for each expert of the slowest rank. */
const TARGETS = 6
/** Exponent that makes a sum of loads look at the slowest ranks. */
const POWER = 12
/** A step of the search must lower the sum of powers by this share. */
const MIN_PROGRESS = 1e-3
/** A plan that lowers skew by less is not worth the stir. */
const MIN_GAIN = 0.004
/** Most loads planned a layer at a time; it bounds a planning slice. */
export const MAX_LOADS = 32
const MS = 1_000

/** What a plan weighs. */
export interface RebalanceTerms {
	/** Worth of step time saved. */
	readonly skewWeight: number
	/** Worth of capacity spent. */
	readonly moveWeight: number
	/** Time that a benefit is expected to last, ms. */
	readonly horizonMs: number
	/** Time that the store takes for one expert, ms. */
	readonly loadMs: number
	/** Share of the group's capacity lost while it loads. */
	readonly loadLoss: number
	/** Share of a step that experts take; the rest does not gain. */
	readonly expertShare: number
	/** Layers of the group: each has its part of a step. */
	readonly layers: number
}

/** One expert to be loaded into a slot. */
export interface ExpertLoad {
	readonly layer: number
	readonly rank: number
	/** Index into the layer's slots. */
	readonly slot: number
	readonly expert: number
}

/** The plan for one layer. */
export interface LayerPlan {
	readonly loads: readonly ExpertLoad[]
	readonly placement: LayerPlacement
	readonly skewBefore: number
	readonly skewAfter: number
	/** Worth of the time saved over the horizon, in ms of the group. */
	readonly benefitMs: number
	/** Worth of the capacity spent, in ms of the group. */
	readonly costMs: number
}

/** Cost of `count` loads, in ms of the whole group's capacity. */
export function costOfLoads(terms: RebalanceTerms, count: number): number {
	return terms.moveWeight * count * terms.loadMs * terms.loadLoss
}

/** Worth of bringing a layer's skew down, in ms of the group's capacity. */
export function benefitOfSkew(
	terms: RebalanceTerms,
	before: number,
	after: number,
): number {
	const part = terms.expertShare / terms.layers
	const saved =
		(part * (before - after)) / (1 + terms.expertShare * (before - 1))
	return terms.skewWeight * saved * terms.horizonMs
}

/** Plans one layer; an empty list of loads when nothing pays. */
export function planLayer(
	current: LayerPlacement,
	share: Float64Array,
	layer: number,
	terms: RebalanceTerms,
): LayerPlan {
	const offset = layer * current.experts
	const work = cloneLayer(current)
	const loads = loadsOf(work, share, offset)
	const skewBefore = skewOf(loads)
	let best: LayerPlan = {
		loads: [],
		placement: current,
		skewBefore,
		skewAfter: skewBefore,
		benefitMs: 0,
		costMs: 0,
	}
	for (let step = 0; step < MAX_LOADS; step++) {
		const change = findChange(work, share, offset, loads)
		if (!change) break
		applyChange(work, change)
		loads.set(loadsOf(work, share, offset))
		const plan = describePlan(current, work, layer, skewBefore, loads, terms)
		const gains = skewBefore - plan.skewAfter >= MIN_GAIN
		if (gains && netOf(plan) > netOf(best))
			best = { ...plan, placement: cloneLayer(work) }
	}
	return best
}

/** Net worth of a plan, in ms of the group's capacity. */
export function netOf(plan: LayerPlan): number {
	return plan.benefitMs - plan.costMs
}

interface SlotChange {
	readonly at: number
	readonly expert: number
}

/** One step of the search: slots that change together. */
interface PlacementChange {
	readonly slots: readonly SlotChange[]
	readonly score: number
}

function findChange(
	work: LayerPlacement,
	share: Float64Array,
	offset: number,
	loads: Float64Array,
): PlacementChange | undefined {
	const order = [...loads.keys()].sort((a, b) => loads[a]! - loads[b]!)
	const slowest = order.at(-1)!
	const targets = order.slice(0, TARGETS)
	const start = scoreOf(loads)
	let best: PlacementChange | undefined
	for (
		let from = slowest * work.width;
		from < (slowest + 1) * work.width;
		from++
	) {
		const expert = work.slots[from]!
		if (expert === EMPTY) continue
		for (const rank of targets) {
			if (rank === slowest || holds(work, rank, expert)) continue
			for (const slots of listChanges(work, from, rank, expert)) {
				const score = scoreChange(work, share, offset, loads, slots, start)
				if (score < (best?.score ?? start * (1 - MIN_PROGRESS)))
					best = { slots, score }
			}
		}
	}
	return best
}

/** Ways to take load of `expert` from its slot `from` to `rank`. */
function listChanges(
	work: LayerPlacement,
	from: number,
	rank: number,
	expert: number,
): SlotChange[][] {
	const ways: SlotChange[][] = []
	let emptySeen = false
	const slowest = Math.floor(from / work.width)
	for (let at = rank * work.width; at < (rank + 1) * work.width; at++) {
		const old = work.slots[at]!
		if (old === EMPTY) {
			if (emptySeen) continue
			emptySeen = true
			ways.push([{ at, expert }])
			ways.push([
				{ at, expert },
				{ at: from, expert: EMPTY },
			])
			continue
		}
		// A copy that others have too may give way to a replica.
		if (work.copies[old]! > 1) ways.push([{ at, expert }])
		if (!holds(work, slowest, old))
			ways.push([
				{ at, expert },
				{ at: from, expert: old },
			])
	}
	return ways
}

/** Objective after a change; only the ranks it touches are worked out anew. */
function scoreChange(
	work: LayerPlacement,
	share: Float64Array,
	offset: number,
	loads: Float64Array,
	slots: readonly SlotChange[],
	sum: number,
): number {
	const mean = 1 / loads.length
	const moved = new Map<number, number>()
	const note = (expert: number, sign: 1 | -1) => {
		if (expert !== EMPTY)
			addLoads(work, share[offset + expert]!, expert, sign, moved)
	}
	const experts = new Set(slots.map(slot => slot.expert))
	for (const { at } of slots) experts.add(work.slots[at]!)
	for (const expert of experts) note(expert, -1)
	const olds = slots.map(({ at }) => work.slots[at]!)
	applySlots(work, slots)
	for (const expert of experts) note(expert, 1)
	for (const [index, { at }] of slots.entries()) setSlot(work, at, olds[index]!)
	let after = sum
	for (const [rank, change] of moved) {
		const load = loads[rank]!
		after += ((load + change) / mean) ** POWER - (load / mean) ** POWER
	}
	return after
}

/** Adds the expert's load on each of its holders to `moved`, times `sign`. */
function addLoads(
	work: LayerPlacement,
	share: number,
	expert: number,
	sign: 1 | -1,
	moved: Map<number, number>,
): void {
	const each = (sign * share) / work.copies[expert]!
	const { slots, width } = work
	for (
		let at = slots.indexOf(expert);
		at >= 0;
		at = slots.indexOf(expert, at + 1)
	) {
		const rank = Math.floor(at / width)
		moved.set(rank, (moved.get(rank) ?? 0) + each)
	}
}

function applyChange(work: LayerPlacement, change: PlacementChange): void {
	applySlots(work, change.slots)
}

function applySlots(work: LayerPlacement, slots: readonly SlotChange[]): void {
	for (const { at, expert } of slots) setSlot(work, at, expert)
}

function scoreOf(loads: Float64Array): number {
	const mean = 1 / loads.length
	let sum = 0
	for (const load of loads) sum += (load / mean) ** POWER
	return sum
}

function describePlan(
	current: LayerPlacement,
	work: LayerPlacement,
	layer: number,
	skewBefore: number,
	rankLoads: Float64Array,
	terms: RebalanceTerms,
): LayerPlan {
	const loads = listLoads(current, work, layer)
	const skewAfter = skewOf(rankLoads)
	return {
		loads,
		placement: work,
		skewBefore,
		skewAfter,
		benefitMs: benefitOfSkew(terms, skewBefore, skewAfter),
		costMs: costOfLoads(terms, loads.length),
	}
}

/** Experts that a rank must fetch because it does not hold them yet. */
export function listLoads(
	current: LayerPlacement,
	next: LayerPlacement,
	layer: number,
): ExpertLoad[] {
	const loads: ExpertLoad[] = []
	for (const [slot, expert] of next.slots.entries()) {
		if (expert === EMPTY) continue
		const rank = Math.floor(slot / next.width)
		if (!holds(current, rank, expert)) loads.push({ layer, rank, slot, expert })
	}
	return loads
}

/** Time that the store needs for one expert, ms. */
export function loadTimeOf(bytes: number, bytesPerSecond: number): number {
	return (bytes / bytesPerSecond) * MS
}
