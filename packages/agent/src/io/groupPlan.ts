/** From the ranks' reports to a plan: counts, layers, loads that pay. */

import { setImmediate as nextTurn } from 'node:timers/promises'
import type { LayerPlacement, LayerPlan } from '@juniperhook/core'
import {
	createLayerFromRanks,
	expectedHorizonMs,
	expectedShares,
	expertLoadMs,
	netBenefitMs,
	planLayer,
} from '@juniperhook/core'
import * as v from 'valibot'
import type { RankReport } from './engine.ts'
import { RankReportSchema } from './engine.ts'
import type { GroupMember, LayerWish, PlanWish } from './groupMember.ts'
import { ask } from './groupMember.ts'

/** Layers that operators are shown of a plan. */
const SHOWN_LAYERS = 8

/**
 * Ranks of a generation that use a map use it from the same step, and no two
 * maps from one step. Anything else is a broken promise.
 */
export function agree(reports: readonly RankReport[]): boolean {
	const mapOf = new Map<string, string>()
	const sinceOf = new Map<string, number>()
	for (const { generation, mapId, mapSince } of reports) {
		// A rank that restarted and has not begun a step yet runs no map.
		if (mapId === '') continue
		const step = `${generation}/${mapSince}`
		const map = `${generation}/${mapId}`
		if ((mapOf.get(step) ?? mapId) !== mapId) return false
		if ((sinceOf.get(map) ?? mapSince) !== mapSince) return false
		mapOf.set(step, mapId)
		sinceOf.set(map, mapSince)
	}
	return true
}

/** Reports of all ranks, or nothing when one is missing. */
export async function collectReports(
	member: GroupMember,
): Promise<RankReport[] | undefined> {
	const { ranks } = member.group
	const answers = await Promise.allSettled(
		ranks.map(name => ask<unknown>(member, name, 'mapReport', {})),
	)
	const reports = answers.flatMap(answer =>
		answer.status === 'fulfilled'
			? [v.parse(RankReportSchema, answer.value)]
			: [],
	)
	return reports.length === ranks.length ? reports : undefined
}

/** Tokens a layer and expert since the last plan, over all ranks. */
export function countTokens(
	member: GroupMember,
	reports: readonly RankReport[],
): Float64Array | undefined {
	const before = member.counted
	const after = reports.map((report, rank) =>
		addCounts(member, report, before?.[rank]),
	)
	member.counted = after
	if (!before) return undefined
	const total = new Float64Array(after[0]!.length)
	// An engine that restarted counts from zero again.
	for (const [rank, counts] of after.entries())
		for (const [at, count] of counts.entries())
			total[at]! += Math.max(0, count - before[rank]![at]!)
	return total
}

/** Counts of a rank; an expert it no longer holds keeps its last one. */
function addCounts(
	member: GroupMember,
	report: RankReport,
	before: Float64Array | undefined,
): Float64Array {
	const { layers, experts } = member.group
	const counts = before?.slice() ?? new Float64Array(layers * experts)
	for (const [layer, own] of report.slots.entries())
		for (const [slot, expert] of own.entries())
			counts[layer * experts + expert] = report.counts[layer]?.[slot] ?? 0
	return counts
}

/** Placement of each layer by the reports. */
export function readLayers(
	member: GroupMember,
	reports: readonly RankReport[],
): LayerPlacement[] {
	const { layers, experts, spareSlots } = member.group
	return Array.from({ length: layers }, (_, layer) => {
		const byRank = reports.map(report => report.slots[layer] ?? [])
		return createLayerFromRanks(byRank, experts, spareSlots)
	})
}

/** Plans a layer a turn, so that requests are served in between. */
export async function planSlices(
	member: GroupMember,
	layers: readonly LayerPlacement[],
): Promise<LayerPlan[]> {
	const { group, estimate } = member
	const shares = expectedShares(estimate)
	const terms = {
		skewWeight: group.skewWeight,
		moveWeight: group.moveWeight,
		horizonMs: expectedHorizonMs(estimate),
		loadMs: expertLoadMs(group.bytesPerExpert, group.storeBytesPerSecond),
		loadLoss: group.loadLoss,
		expertShare: group.expertShare,
		layers: group.layers,
	}
	const plans: LayerPlan[] = []
	for (const [at, layer] of layers.entries()) {
		plans.push(planLayer(layer, shares, at, terms))
		await nextTurn()
	}
	return plans
}

/** A plan in figures, over all layers. */
export function summarize(plans: readonly LayerPlan[]): PlanWish {
	const sum = (pick: (plan: LayerPlan) => number) =>
		plans.reduce((total, plan) => total + pick(plan), 0)
	return {
		layers: describeLayers(plans),
		loads: sum(plan => plan.loads.length),
		skewBefore: sum(plan => plan.skewBefore) / plans.length,
		skewAfter: sum(plan => plan.skewAfter) / plans.length,
		benefitMs: sum(plan => plan.benefitMs),
		costMs: sum(plan => plan.costMs),
	}
}

function describeLayers(plans: readonly LayerPlan[]): LayerWish[] {
	const moving = plans
		.map((plan, layer) => ({ plan, layer }))
		.filter(({ plan }) => plan.loads.length > 0)
	moving.sort((a, b) => netBenefitMs(b.plan) - netBenefitMs(a.plan))
	return moving.slice(0, SHOWN_LAYERS).map(({ plan, layer }) => ({
		layer,
		loads: plan.loads.map(load => `${load.expert}>${load.rank}`),
		skewBefore: plan.skewBefore,
		skewAfter: plan.skewAfter,
		benefitMs: plan.benefitMs,
		costMs: plan.costMs,
	}))
}
