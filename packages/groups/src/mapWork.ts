/** A group's present map, and a better one when passes need it. */

import type { GroupMap, RankReport, SetPlan } from '@juniperhook/core'
import {
	allowedFactor,
	dealExperts,
	isWorthwhile,
	passFactor,
	planSet,
	skewOfSet,
	targetFactor,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { Coordinator } from './coordinatorState.ts'
import { shareOfSet } from './demand.ts'
import type { MapBase } from './mapChanges.ts'
import { placementOfRank } from './rankClient.ts'

/** The map in use, from memory or from the ranks. */
export async function readMap(
	co: Coordinator,
	report: RankReport,
): Promise<GroupMap | undefined> {
	if (co.map && co.mapEpoch === report.epoch && co.mapVersion === report.map)
		return co.map
	const layout = co.group?.layout
	if (!layout) return undefined
	if (report.map === 0) {
		const dealt = dealExperts(report.size, layout)
		setMap(
			co,
			Array.from({ length: layout.sets }, () => dealt),
			report,
		)
		return co.map
	}
	const ranks = await Promise.all(
		Array.from({ length: report.size }, (_, rank) =>
			placementOfRank(co.clients.get(rank)!),
		),
	)
	const known = ranks.every(
		rank => rank?.epoch === report.epoch && rank.map === report.map,
	)
	if (!known) return undefined
	const sets = Array.from({ length: layout.sets }, (_, set) =>
		ranks.map(rank => rank!.experts[set]!),
	)
	setMap(co, sets, report)
	return co.map
}

/** Notes the map in use. */
export function setMap(
	co: Coordinator,
	map: GroupMap,
	{ epoch, map: version }: { epoch: number; map: number },
): void {
	co.map = map
	co.mapEpoch = epoch
	co.mapVersion = version
}

/** The map in use as one that agents may know. */
export function baseOf(co: Coordinator): MapBase | undefined {
	const { map, mapEpoch, mapVersion, group } = co
	if (!map || !group) return undefined
	const { experts } = group.layout
	return { epoch: mapEpoch, version: mapVersion, map, experts }
}

/** A better map, if passes need it and its gain outweighs the copying. */
export async function planMap(
	co: Coordinator,
	map: GroupMap,
): Promise<GroupMap | undefined> {
	const { group, demand } = co
	if (!group) return undefined
	const { layout } = group
	const startedAt = readNow()
	const shares = map.map((_, set) => shareOfSet(demand, set))
	const paces = map[0]!.map((_, rank) => co.paces.get(rank) ?? 1)
	const skews = map.map((placement, set) =>
		skewOfSet(placement, shares[set]!, layout, paces),
	)
	const before = passFactor(skews, layout.expertShare)
	const busy = { factor: before, passMs: co.passMs, held: co.held }
	const allowed = allowedFactor(busy, group)
	if (before <= allowed) return undefined
	const target = targetFactor(allowed)
	const plans: SetPlan[] = []
	for (const [set, placement] of map.entries()) {
		plans.push(planSet(placement, shares[set]!, layout, paces, target))
		// A set of a large group takes tens of ms: others are answered between.
		await new Promise(resolve => setImmediate(resolve))
	}
	const after = passFactor(
		plans.map(plan => plan.after),
		layout.expertShare,
	)
	if (!isWorthwhile(before, after)) return undefined
	co.log.write('map planned', {
		before: round3(before),
		after: round3(after),
		allowed: round3(allowed),
		copies: plans.reduce((sum, plan) => sum + plan.copies, 0),
		passMs: Math.round(co.passMs),
		held: round3(co.held),
		slow: paces.filter(pace => pace > 1.2).length,
		tookMs: Math.round(readNow() - startedAt),
		of: co.mapVersion,
	})
	return plans.map(plan => plan.placement)
}

function round3(value: number): number {
	return Number(value.toFixed(3))
}
