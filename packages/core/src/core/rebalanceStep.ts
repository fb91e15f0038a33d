/**
 * One step of the search for a better placement of a layer: an expert of the slowest
 * rank gets a replica on another rank, or is exchanged.
 */

import type { LayerPlacement } from '../internal.ts'
import { EMPTY_SLOT, holdsExpert, setSlot } from '../internal.ts'

/** Number of least loaded ranks evaluated for each expert of the slowest rank. */
const TARGET_RANKS = 6
/** Exponent of the loads in the objective, so that the slowest ranks dominate the sum. */
const POWER = 12
/** Minimum relative decrease of the objective for which a change is made. */
const MIN_PROGRESS = 1e-3

/** A new expert, or none, in the slot at index `at`. */
interface SlotChange {
	readonly at: number
	readonly expert: number
}

/** A search step: slots that change together. */
export interface PlacementChange {
	readonly slots: readonly SlotChange[]
	/** Objective after the change. */
	readonly score: number
}

/** Returns the change with the lowest objective; undefined if none lowers it enough. */
export function findChange(
	candidate: LayerPlacement,
	share: Float64Array,
	offset: number,
	loads: Float64Array,
): PlacementChange | undefined {
	const order = [...loads.keys()].sort((a, b) => loads[a]! - loads[b]!)
	const slowest = order.at(-1)!
	const targets = order.slice(0, TARGET_RANKS)
	const startScore = computeScore(loads)
	let best: PlacementChange | undefined
	for (
		let from = slowest * candidate.slotsPerRank;
		from < (slowest + 1) * candidate.slotsPerRank;
		from++
	) {
		const expert = candidate.slots[from]!
		if (expert === EMPTY_SLOT) continue
		for (const rank of targets) {
			if (rank === slowest || holdsExpert(candidate, rank, expert)) continue
			for (const slots of listChanges(candidate, from, rank, expert)) {
				const score = scoreChange(
					candidate,
					share,
					offset,
					loads,
					slots,
					startScore,
				)
				if (score < (best?.score ?? startScore * (1 - MIN_PROGRESS)))
					best = { slots, score }
			}
		}
	}
	return best
}

/** Lists the changes that move load of `expert` from its slot `from` to `rank`. */
function listChanges(
	candidate: LayerPlacement,
	from: number,
	rank: number,
	expert: number,
): SlotChange[][] {
	const changes: SlotChange[][] = []
	let hasSeenEmpty = false
	const slowest = Math.floor(from / candidate.slotsPerRank)
	for (
		let at = rank * candidate.slotsPerRank;
		at < (rank + 1) * candidate.slotsPerRank;
		at++
	) {
		const old = candidate.slots[at]!
		if (old === EMPTY_SLOT) {
			if (hasSeenEmpty) continue
			hasSeenEmpty = true
			changes.push([{ at, expert }])
			changes.push([
				{ at, expert },
				{ at: from, expert: EMPTY_SLOT },
			])
			continue
		}
		// A copy of an expert that other ranks hold too may be replaced.
		if (candidate.copies[old]! > 1) changes.push([{ at, expert }])
		if (!holdsExpert(candidate, slowest, old))
			changes.push([
				{ at, expert },
				{ at: from, expert: old },
			])
	}
	return changes
}

/** Returns the objective after a change, recomputing only the affected ranks. */
function scoreChange(
	candidate: LayerPlacement,
	share: Float64Array,
	offset: number,
	loads: Float64Array,
	slots: readonly SlotChange[],
	startScore: number,
): number {
	const mean = 1 / loads.length
	const deltas = new Map<number, number>()
	const addExpertLoads = (expert: number, sign: 1 | -1) => {
		if (expert !== EMPTY_SLOT)
			addLoads(candidate, share[offset + expert]!, expert, sign, deltas)
	}
	const experts = new Set(slots.map(slot => slot.expert))
	for (const { at } of slots) experts.add(candidate.slots[at]!)
	for (const expert of experts) addExpertLoads(expert, -1)
	const previous = slots.map(({ at }) => candidate.slots[at]!)
	applySlots(candidate, slots)
	for (const expert of experts) addExpertLoads(expert, 1)
	for (const [index, { at }] of slots.entries())
		setSlot(candidate, at, previous[index]!)
	let after = startScore
	for (const [rank, change] of deltas) {
		const load = loads[rank]!
		after += ((load + change) / mean) ** POWER - (load / mean) ** POWER
	}
	return after
}

/** Adds the expert's load on each of its holders, times `sign`, to `deltas`. */
function addLoads(
	candidate: LayerPlacement,
	share: number,
	expert: number,
	sign: 1 | -1,
	deltas: Map<number, number>,
): void {
	const loadPerCopy = (sign * share) / candidate.copies[expert]!
	const { slots, slotsPerRank } = candidate
	for (
		let at = slots.indexOf(expert);
		at >= 0;
		at = slots.indexOf(expert, at + 1)
	) {
		const rank = Math.floor(at / slotsPerRank)
		deltas.set(rank, (deltas.get(rank) ?? 0) + loadPerCopy)
	}
}

/** Applies a change to the placement. */
export function applyChange(
	candidate: LayerPlacement,
	change: PlacementChange,
): void {
	applySlots(candidate, change.slots)
}

function applySlots(
	candidate: LayerPlacement,
	slots: readonly SlotChange[],
): void {
	for (const { at, expert } of slots) setSlot(candidate, at, expert)
}

function computeScore(loads: Float64Array): number {
	const mean = 1 / loads.length
	let sum = 0
	for (const load of loads) sum += (load / mean) ** POWER
	return sum
}
