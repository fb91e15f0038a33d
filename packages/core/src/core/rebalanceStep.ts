/**
 * One step of the search for a better placement of a layer: an expert of the
 * slowest rank gets a replica elsewhere, or is exchanged.
 */

import type { LayerPlacement } from '../internal.ts'
import { EMPTY_SLOT, holdsExpert, setSlot } from '../internal.ts'

/** Target ranks tried for each expert of the slowest rank. */
const TARGETS = 6
/** Exponent that makes a sum of loads look at the slowest ranks. */
const POWER = 12
/** A step of the search must lower the sum of powers by this share. */
const MIN_PROGRESS = 1e-3

interface SlotChange {
	readonly at: number
	readonly expert: number
}

/** One step of the search: slots that change together. */
export interface PlacementChange {
	readonly slots: readonly SlotChange[]
	readonly score: number
}

/** The change that takes most load off the slowest ranks, if one does enough. */
export function findChange(
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
		let from = slowest * work.slotsPerRank;
		from < (slowest + 1) * work.slotsPerRank;
		from++
	) {
		const expert = work.slots[from]!
		if (expert === EMPTY_SLOT) continue
		for (const rank of targets) {
			if (rank === slowest || holdsExpert(work, rank, expert)) continue
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
	const slowest = Math.floor(from / work.slotsPerRank)
	for (
		let at = rank * work.slotsPerRank;
		at < (rank + 1) * work.slotsPerRank;
		at++
	) {
		const old = work.slots[at]!
		if (old === EMPTY_SLOT) {
			if (emptySeen) continue
			emptySeen = true
			ways.push([{ at, expert }])
			ways.push([
				{ at, expert },
				{ at: from, expert: EMPTY_SLOT },
			])
			continue
		}
		// A copy that others have too may give way to a replica.
		if (work.copies[old]! > 1) ways.push([{ at, expert }])
		if (!holdsExpert(work, slowest, old))
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
		if (expert !== EMPTY_SLOT)
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
	const { slots, slotsPerRank: width } = work
	for (
		let at = slots.indexOf(expert);
		at >= 0;
		at = slots.indexOf(expert, at + 1)
	) {
		const rank = Math.floor(at / width)
		moved.set(rank, (moved.get(rank) ?? 0) + each)
	}
}

/** Carries a change out. */
export function applyChange(
	work: LayerPlacement,
	change: PlacementChange,
): void {
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
