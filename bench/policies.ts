/** The compared policies: three baselines, and the agents' planner at several weights. */

import type { LayerPlacement } from '@juniperhook/core'
import {
	computeRankLoads,
	computeSkew,
	createExpertEstimate,
	EMPTY_SLOT,
	expectedHorizonMs,
	expectedShares,
	observeTokens,
	planLayer,
} from '@juniperhook/core'
import { EXPERT_SHARE, LOAD_LOSS } from './rebalance.ts'

const THRESHOLD = 1.2

/** A policy under test. */
export interface Policy {
	readonly name: string
	/** Observes a window while an earlier plan is still being loaded. */
	observe(tokens: Float64Array): undefined
	/** Observes a window; may return a new placement of every layer. */
	plan(
		current: readonly LayerPlacement[],
		tokens: Float64Array,
	): LayerPlacement[] | undefined
}

/** Creates the policies for one run. */
export function createPolicies(
	layers: number,
	experts: number,
	windowMs: number,
	loadMs: number,
): Policy[] {
	const never: Policy = {
		name: 'never',
		observe: () => undefined,
		plan: () => undefined,
	}
	const full: Policy = {
		name: 'full',
		observe: () => undefined,
		plan: (current, tokens) => replaceAll(current, tokens),
	}
	const threshold: Policy = {
		name: 'threshold',
		observe: () => undefined,
		plan(current, tokens) {
			const worst = Math.max(
				...current.map((layer, at) =>
					computeSkew(
						computeRankLoads(
							layer,
							toShares(tokens, layers, experts),
							at * experts,
						),
					),
				),
			)
			return worst > THRESHOLD ? replaceAll(current, tokens) : undefined
		},
	}
	const ours = (name: string, skewWeight: number, moveWeight: number) =>
		createPlannerPolicy(
			name,
			skewWeight,
			moveWeight,
			layers,
			experts,
			windowMs,
			loadMs,
		)
	return [
		never,
		full,
		threshold,
		ours('ours, skew first', 4, 1),
		ours('ours, even', 1, 1),
		ours('ours, cost first', 1, 4),
		ours('ours, cost far first', 1, 16),
	]
}

function createPlannerPolicy(
	name: string,
	skewWeight: number,
	moveWeight: number,
	layers: number,
	experts: number,
	windowMs: number,
	loadMs: number,
): Policy {
	const estimate = createExpertEstimate(layers, experts, windowMs)
	return {
		name,
		observe(tokens) {
			observeTokens(estimate, tokens)
		},
		plan(current, tokens) {
			observeTokens(estimate, tokens)
			const terms = {
				skewWeight,
				moveWeight,
				horizonMs: expectedHorizonMs(estimate),
				loadMs,
				loadLoss: LOAD_LOSS,
				expertShare: EXPERT_SHARE,
				layers,
			}
			const shares = expectedShares(estimate)
			return current.map(
				(layer, at) => planLayer(layer, shares, at, terms).placement,
			)
		},
	}
}

/**
 * Places all experts anew: spare slots go to copies of the experts with the highest
 * load per copy; copies are then placed in the order of falling load, each on the least
 * loaded rank.
 */
function replaceAll(
	current: readonly LayerPlacement[],
	tokens: Float64Array,
): LayerPlacement[] {
	const experts = current[0]!.experts
	const share = toShares(tokens, current.length, experts)
	return current.map((layer, at) =>
		placeGreedily(layer, share.subarray(at * experts, (at + 1) * experts)),
	)
}

function placeGreedily(
	layer: LayerPlacement,
	share: Float64Array,
): LayerPlacement {
	const { ranks, experts, slotsPerRank: width } = layer
	const copies = new Uint16Array(experts).fill(1)
	for (let spare = ranks * width - experts; spare > 0; spare--) {
		let hottest = 0
		for (let expert = 1; expert < experts; expert++)
			if (share[expert]! / copies[expert]! > share[hottest]! / copies[hottest]!)
				hottest = expert
		if (copies[hottest]! >= ranks) break
		copies[hottest]!++
	}
	const slots = new Int16Array(ranks * width).fill(EMPTY_SLOT)
	const placed = new Uint16Array(experts)
	const loads = new Float64Array(ranks)
	const used = new Uint16Array(ranks)
	const unplaced = [...copies.keys()].flatMap(expert =>
		Array.from({ length: copies[expert]! }, () => expert),
	)
	unplaced.sort((a, b) => share[b]! / copies[b]! - share[a]! / copies[a]!)
	for (const expert of unplaced) {
		let target = -1
		for (let rank = 0; rank < ranks; rank++) {
			if (used[rank]! >= width) continue
			const own = slots.subarray(rank * width, (rank + 1) * width)
			if (own.includes(expert)) continue
			if (target < 0 || loads[rank]! < loads[target]!) target = rank
		}
		if (target < 0) continue
		slots[target * width + used[target]!] = expert
		used[target]!++
		placed[expert]!++
		loads[target]! += share[expert]! / copies[expert]!
	}
	return { ranks, experts, slotsPerRank: width, slots, copies: placed }
}

function toShares(
	tokens: Float64Array,
	layers: number,
	experts: number,
): Float64Array {
	const shares = new Float64Array(tokens.length)
	for (let layer = 0; layer < layers; layer++) {
		const layerTokens = tokens.subarray(layer * experts, (layer + 1) * experts)
		const total = layerTokens.reduce((sum, count) => sum + count, 0)
		for (const [expert, count] of layerTokens.entries())
			shares[layer * experts + expert] = count / (total || 1)
	}
	return shares
}
