/** Computes a plan of expert loads from the ranks' reports. */

import { setImmediate as yieldToEventLoop } from 'node:timers/promises'
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
import type { GroupMember, LayerSummary, PlanSummary } from './groupMember.ts'
import { callAgent } from './groupMember.ts'

/** Maximum number of layers in the summary of a plan. */
const MAX_SHOWN_LAYERS = 8

/**
 * Whether, within each generation, all ranks began to use a map at the same step, and no
 * two maps at one step. If not, the map protocol was violated.
 */
export function areMapsConsistent(reports: readonly RankReport[]): boolean {
	const mapOf = new Map<string, string>()
	const sinceOf = new Map<string, number>()
	for (const { generation, mapId, mapSince } of reports) {
		// A restarted rank that has not begun a step yet uses no map.
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

/** Fetches the reports of all ranks; returns undefined if one is missing. */
export async function collectReports(
	member: GroupMember,
): Promise<RankReport[] | undefined> {
	const { ranks } = member.group
	const answers = await Promise.allSettled(
		ranks.map(name => callAgent<unknown>(member, name, 'mapReport', {})),
	)
	const reports = answers.flatMap(answer =>
		answer.status === 'fulfilled'
			? [v.parse(RankReportSchema, answer.value)]
			: [],
	)
	return reports.length === ranks.length ? reports : undefined
}

/** Counts the tokens per layer and expert since the last plan, over all ranks. */
export function countTokens(
	member: GroupMember,
	reports: readonly RankReport[],
): Float64Array | undefined {
	const before = member.lastCounts
	const after = reports.map((report, rank) =>
		addCounts(member, report, before?.[rank]),
	)
	member.lastCounts = after
	if (!before) return undefined
	const total = new Float64Array(after[0]!.length)
	// The counts of a restarted engine start at zero again.
	for (const [rank, counts] of after.entries())
		for (const [at, count] of counts.entries())
			total[at]! += Math.max(0, count - before[rank]![at]!)
	return total
}

/** Merges a rank's counts; an expert that it no longer holds keeps its last count. */
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

/** Returns the placement of each layer according to the reports. */
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

/** Plans one layer per event-loop turn, so that requests are served in between. */
export async function planLayers(
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
		await yieldToEventLoop()
	}
	return plans
}

/** Summarizes a plan over all layers. */
export function summarize(plans: readonly LayerPlan[]): PlanSummary {
	const sum = (pick: (plan: LayerPlan) => number) =>
		plans.reduce((total, plan) => total + pick(plan), 0)
	return {
		layers: summarizeLayers(plans),
		loads: sum(plan => plan.loads.length),
		skewBefore: sum(plan => plan.skewBefore) / plans.length,
		skewAfter: sum(plan => plan.skewAfter) / plans.length,
		benefitMs: sum(plan => plan.benefitMs),
		costMs: sum(plan => plan.costMs),
	}
}

function summarizeLayers(plans: readonly LayerPlan[]): LayerSummary[] {
	const changedLayers = plans
		.map((plan, layer) => ({ plan, layer }))
		.filter(({ plan }) => plan.loads.length > 0)
	changedLayers.sort((a, b) => netBenefitMs(b.plan) - netBenefitMs(a.plan))
	return changedLayers.slice(0, MAX_SHOWN_LAYERS).map(({ plan, layer }) => ({
		layer,
		loads: plan.loads.map(load => `${load.expert}>${load.rank}`),
		skewBefore: plan.skewBefore,
		skewAfter: plan.skewAfter,
		benefitMs: plan.benefitMs,
		costMs: plan.costMs,
	}))
}
