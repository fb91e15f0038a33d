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
	computeRankLoads,
	computeSkew,
	EMPTY_SLOT,
	holdsExpert,
} from '../internal.ts'
import { applyChange, findChange } from './rebalanceStep.ts'

/** A plan that lowers skew by less is not worth the stir. */
const MIN_GAIN = 0.004
/** Most loads planned a layer at a time; it bounds a planning slice. */
export const MAX_LOADS = 32
const MS = 1_000

/** What a plan weighs. */
export interface RebalanceParameters {
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
export function loadCostMs(terms: RebalanceParameters, count: number): number {
	return terms.moveWeight * count * terms.loadMs * terms.loadLoss
}

/** Worth of bringing a layer's skew down, in ms of the group's capacity. */
export function skewBenefitMs(
	terms: RebalanceParameters,
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
	terms: RebalanceParameters,
): LayerPlan {
	const offset = layer * current.experts
	const work = cloneLayer(current)
	const loads = computeRankLoads(work, share, offset)
	const skewBefore = computeSkew(loads)
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
		loads.set(computeRankLoads(work, share, offset))
		const plan = describePlan(current, work, layer, skewBefore, loads, terms)
		const gains = skewBefore - plan.skewAfter >= MIN_GAIN
		if (gains && netBenefitMs(plan) > netBenefitMs(best))
			best = { ...plan, placement: cloneLayer(work) }
	}
	return best
}

/** Net worth of a plan, in ms of the group's capacity. */
export function netBenefitMs(plan: LayerPlan): number {
	return plan.benefitMs - plan.costMs
}

function describePlan(
	current: LayerPlacement,
	work: LayerPlacement,
	layer: number,
	skewBefore: number,
	rankLoads: Float64Array,
	terms: RebalanceParameters,
): LayerPlan {
	const loads = listExpertLoads(current, work, layer)
	const skewAfter = computeSkew(rankLoads)
	return {
		loads,
		placement: work,
		skewBefore,
		skewAfter,
		benefitMs: skewBenefitMs(terms, skewBefore, skewAfter),
		costMs: loadCostMs(terms, loads.length),
	}
}

/** Experts that a rank must fetch because it does not hold them yet. */
export function listExpertLoads(
	current: LayerPlacement,
	next: LayerPlacement,
	layer: number,
): ExpertLoad[] {
	const loads: ExpertLoad[] = []
	for (const [slot, expert] of next.slots.entries()) {
		if (expert === EMPTY_SLOT) continue
		const rank = Math.floor(slot / next.slotsPerRank)
		if (!holdsExpert(current, rank, expert))
			loads.push({ layer, rank, slot, expert })
	}
	return loads
}

/** Time that the store needs for one expert, ms. */
export function expertLoadMs(bytes: number, bytesPerSecond: number): number {
	return (bytes / bytesPerSecond) * MS
}
