/** A group's present map, and a better one when passes need it. */

import type {
	GroupMap,
	MapChangeCost,
	MapPlan,
	RankReport,
} from '@juniperhook/core'
import {
	computeSetSkew,
	distributeRoundRobin,
	passFactor,
	planMap,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { Coordinator } from './coordinatorState.ts'
import { computeExpertShares } from './demand.ts'
import type { MapBase } from './mapDelta.ts'
import type { PublishedGroup } from './ports.ts'
import { placementOfRank } from './rankClient.ts'

/** A search lets others run after this time, ms. */
const MAX_BLOCK_MS = 5
const BITS = 8
const SECOND_MS = 1_000

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
		const dealt = distributeRoundRobin(report.size, layout)
		setMap(
			co,
			Array.from({ length: layout.sets }, () => dealt),
			report,
		)
		return co.map
	}
	const ranks = await Promise.all(
		Array.from({ length: report.size }, (_, rank) =>
			placementOfRank(co.clients.get(rank)!, report.size),
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

/** Plans a better map, if one is worth its copying, and logs why. */
export async function planNext(
	co: Coordinator,
	map: GroupMap,
): Promise<MapPlan | undefined> {
	const { group, demand } = co
	if (!group) return undefined
	const startedAt = readNow()
	const shares = map.map((_, set) => computeExpertShares(demand, set))
	const paces = pacesOf(co, map)
	const cost = costOfRound(co, group)
	const { layout } = group
	const plan = await finish(planMap({ map, shares, layout, paces, cost }))
	if (!plan) return undefined
	co.log.write('map planned', {
		before: round3(plan.before),
		after: round3(plan.after),
		copies: plan.copies,
		mostNew: plan.mostNew,
		overheadMs: Math.round(cost.overheadMs),
		steadyMs: Math.round(cost.steadyMs),
		passMs: Math.round(co.passMs),
		held: round3(co.held),
		slow: paces.filter(pace => pace > 1.2).length,
		tookMs: Math.round(readNow() - startedAt),
		of: co.mapVersion,
	})
	return plan
}

/**
 * Time of a pass with the map in use over that of a balanced one; `paces` tells
 * how slow ranks are, none if left out.
 */
export function factorNow(
	co: Coordinator,
	{ layout }: PublishedGroup,
	map: GroupMap,
	paces: readonly number[] = pacesOf(co, map),
): number {
	const skews = map.map((placement, set) =>
		computeSetSkew(placement, computeExpertShares(co.demand, set), layout, paces),
	)
	return passFactor(skews, layout.expertShare)
}

function pacesOf(co: Coordinator, map: GroupMap): number[] {
	return map[0]!.map((_, rank) => co.paces.get(rank) ?? 1)
}

/** Runs a search; steps of a large group take long, so others run between. */
async function finish<T>(steps: Generator<void, T>): Promise<T> {
	let yieldedAt = readNow()
	for (;;) {
		const step = steps.next()
		if (step.done) return step.value
		if (readNow() - yieldedAt < MAX_BLOCK_MS) continue
		await new Promise(resolve => setImmediate(resolve))
		yieldedAt = readNow()
	}
}

/** What the next round is expected to cost. */
function costOfRound(co: Coordinator, group: PublishedGroup): MapChangeCost {
	return {
		copyMs: copyMsOf(group),
		overheadMs: co.overheadMs,
		steadyMs: co.steadyMs,
	}
}

/** Time that a rank takes to copy one expert, ms. */
export function copyMsOf({ layout, linkMbps }: PublishedGroup): number {
	return linkMbps > 0 ? (layout.expertMb * BITS * SECOND_MS) / linkMbps : 0
}

function round3(value: number): number {
	return Number(value.toFixed(3))
}
