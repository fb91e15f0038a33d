/**
 * Plans when and where experts move: a short list of expert loads whose benefit, over
 * the expected duration of the popularity, exceeds their cost.
 *
 * A layer is planned by local search on its slowest rank: one of its experts gets a
 * replica on another rank, or is exchanged. The search continues past the point where
 * further loads pay off, and the plan ends at the highest net benefit.
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

/** Minimum decrease of the skew for which a plan is used. */
const MIN_GAIN = 0.004
/** Maximum number of search steps per layer; it bounds the time of a planning slice. */
export const MAX_LOADS = 32
const MS_PER_SECOND = 1_000

/** Parameters of the cost and benefit of a plan. */
export interface RebalanceParameters {
	/** Weight of the step time saved. */
	readonly skewWeight: number
	/** Weight of the capacity spent. */
	readonly moveWeight: number
	/** Expected duration of the benefit, ms. */
	readonly horizonMs: number
	/** Time to load one expert from the store, ms. */
	readonly loadMs: number
	/** Share of the group's capacity lost during a load. */
	readonly loadLoss: number
	/** Share of the step time spent in experts; only this share benefits. */
	readonly expertShare: number
	/** Number of layers of the group; each takes an equal part of the expert time. */
	readonly layers: number
}

/** An expert to be loaded into a slot. */
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
	/** Weighted time saved over the horizon, in ms of the group's capacity. */
	readonly benefitMs: number
	/** Weighted cost of the loads, in ms of the group's capacity. */
	readonly costMs: number
}

/** Returns the weighted cost of `count` loads, in ms of the group's capacity. */
export function loadCostMs(
	parameters: RebalanceParameters,
	count: number,
): number {
	return parameters.moveWeight * count * parameters.loadMs * parameters.loadLoss
}

/** Returns the weighted benefit of a lower skew, in ms of the group's capacity. */
export function skewBenefitMs(
	parameters: RebalanceParameters,
	before: number,
	after: number,
): number {
	const layerShare = parameters.expertShare / parameters.layers
	const savedShare =
		(layerShare * (before - after)) /
		(1 + parameters.expertShare * (before - 1))
	return parameters.skewWeight * savedShare * parameters.horizonMs
}

/** Plans one layer; the list of loads is empty if no change pays off. */
export function planLayer(
	current: LayerPlacement,
	share: Float64Array,
	layer: number,
	parameters: RebalanceParameters,
): LayerPlan {
	const offset = layer * current.experts
	const candidate = cloneLayer(current)
	const rankLoads = computeRankLoads(candidate, share, offset)
	const skewBefore = computeSkew(rankLoads)
	let best: LayerPlan = {
		loads: [],
		placement: current,
		skewBefore,
		skewAfter: skewBefore,
		benefitMs: 0,
		costMs: 0,
	}
	for (let step = 0; step < MAX_LOADS; step++) {
		const change = findChange(candidate, share, offset, rankLoads)
		if (!change) break
		applyChange(candidate, change)
		rankLoads.set(computeRankLoads(candidate, share, offset))
		const plan = describePlan(
			current,
			candidate,
			layer,
			skewBefore,
			rankLoads,
			parameters,
		)
		const isSignificant = skewBefore - plan.skewAfter >= MIN_GAIN
		if (isSignificant && netBenefitMs(plan) > netBenefitMs(best))
			best = { ...plan, placement: cloneLayer(candidate) }
	}
	return best
}

/** Returns the net benefit of a plan, in ms of the group's capacity. */
export function netBenefitMs(plan: LayerPlan): number {
	return plan.benefitMs - plan.costMs
}

function describePlan(
	current: LayerPlacement,
	candidate: LayerPlacement,
	layer: number,
	skewBefore: number,
	rankLoads: Float64Array,
	parameters: RebalanceParameters,
): LayerPlan {
	const loads = listExpertLoads(current, candidate, layer)
	const skewAfter = computeSkew(rankLoads)
	return {
		loads,
		placement: candidate,
		skewBefore,
		skewAfter,
		benefitMs: skewBenefitMs(parameters, skewBefore, skewAfter),
		costMs: loadCostMs(parameters, loads.length),
	}
}

/** Lists the experts that ranks must load because they do not hold them yet. */
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

/** Returns the time to load one expert from the store, ms. */
export function expertLoadMs(bytes: number, bytesPerSecond: number): number {
	return (bytes / bytesPerSecond) * MS_PER_SECOND
}
