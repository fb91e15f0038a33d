/** Reads a group's present expert map, and plans changes of it. */

import type {
	GroupMap,
	MapChangeCost,
	MapPlan,
	RankReport,
} from '@juniperhook/core'
import {
	computeSetSkew,
	distributeRoundRobin,
	isUsableMap,
	passFactor,
	planMap,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { Coordinator } from './coordinatorState.ts'
import { computeExpertShares } from './demand.ts'
import type { MapBase } from './mapDelta.ts'
import type { PublishedGroup } from './ports.ts'
import { readRankPlacement } from './rankClient.ts'

/** Time for which a search may block the event loop, ms. */
const MAX_BLOCK_MS = 5
const BITS_PER_BYTE = 8
const MS_PER_SECOND = 1_000

/** Returns the map in use, cached or read from the ranks; undefined if not available. */
export async function readMap(
	co: Coordinator,
	report: RankReport,
): Promise<GroupMap | undefined> {
	if (co.map && co.mapEpoch === report.epoch && co.mapVersion === report.map)
		return co.map
	const layout = co.group?.layout
	if (!layout) return undefined
	if (report.map === 0) {
		const initial = distributeRoundRobin(report.size, layout)
		setMap(
			co,
			Array.from({ length: layout.sets }, () => initial),
			report,
		)
		return co.map
	}
	const ranks = await Promise.all(
		Array.from({ length: report.size }, (_, rank) =>
			readRankPlacement(co.clients.get(rank)!, report.size),
		),
	)
	const allAgree = ranks.every(
		rank => rank?.epoch === report.epoch && rank.map === report.map,
	)
	if (!allAgree) return undefined
	const sets = Array.from({ length: layout.sets }, (_, set) =>
		ranks.map(rank => rank!.experts[set] ?? []),
	)
	if (!isUsableMap(sets, layout)) {
		logRefusedMap(co, report)
		return undefined
	}
	setMap(co, sets, report)
	return co.map
}

/** Logs once for each version that its map, as the ranks report it, is not usable. */
function logRefusedMap(co: Coordinator, { epoch, map }: RankReport): void {
	if (co.refusedMap === map) return
	co.refusedMap = map
	co.log.write('map refused', { epoch, of: map })
}

/** Sets the map in use. */
export function setMap(
	co: Coordinator,
	map: GroupMap,
	{ epoch, map: version }: { epoch: number; map: number },
): void {
	co.map = map
	co.mapEpoch = epoch
	co.mapVersion = version
}

/** Returns the map in use as a base for deltas; undefined if it is not known. */
export function currentMapBase(co: Coordinator): MapBase | undefined {
	const { map, mapEpoch, mapVersion, group } = co
	if (!map || !group) return undefined
	const { experts } = group.layout
	return { epoch: mapEpoch, version: mapVersion, map, experts }
}

/** Plans a better map and logs the plan; undefined if none is worth its copying. */
export async function planMapChange(
	co: Coordinator,
	map: GroupMap,
): Promise<MapPlan | undefined> {
	const { group, demand } = co
	if (!group) return undefined
	const startedAt = readNow()
	const shares = map.map((_, set) => computeExpertShares(demand, set))
	const slowdowns = slowdownsOf(co, map)
	const cost = estimateChangeCost(co, group)
	const { layout } = group
	const plan = await runSearch(
		planMap({ map, shares, layout, slowdowns: slowdowns, cost }),
	)
	if (!plan) return undefined
	co.log.write('map planned', {
		before: round3(plan.before),
		after: round3(plan.after),
		copies: plan.copies,
		mostNew: plan.mostNew,
		overheadMs: Math.round(cost.overheadMs),
		steadyMs: Math.round(cost.steadyMs),
		passMs: Math.round(co.passMs),
		held: round3(co.inFlightPerRank),
		slow: slowdowns.filter(slowdown => slowdown > 1.2).length,
		tookMs: Math.round(readNow() - startedAt),
		of: co.mapVersion,
	})
	return plan
}

/**
 * Returns the predicted time of a pass with a map relative to a balanced one. `slowdowns`
 * are the ranks' slowdown factors; with an empty array all ranks count as normal.
 */
export function computePassFactor(
	co: Coordinator,
	{ layout }: PublishedGroup,
	map: GroupMap,
	slowdowns: readonly number[] = slowdownsOf(co, map),
): number {
	const skews = map.map((placement, set) =>
		computeSetSkew(
			placement,
			computeExpertShares(co.demand, set),
			layout,
			slowdowns,
		),
	)
	return passFactor(skews, layout.expertShare)
}

function slowdownsOf(co: Coordinator, map: GroupMap): number[] {
	return map[0]!.map((_, rank) => co.slowdowns.get(rank) ?? 1)
}

/**
 * Runs a search to its end. It yields to the event loop regularly, because a search for a
 * large group takes long.
 */
async function runSearch<T>(steps: Generator<void, T>): Promise<T> {
	let yieldedAt = readNow()
	for (;;) {
		const step = steps.next()
		if (step.done) return step.value
		if (readNow() - yieldedAt < MAX_BLOCK_MS) continue
		await new Promise(resolve => setImmediate(resolve))
		yieldedAt = readNow()
	}
}

/** Estimates the cost of a map change. */
function estimateChangeCost(
	co: Coordinator,
	group: PublishedGroup,
): MapChangeCost {
	return {
		copyMs: expertCopyMs(group),
		overheadMs: co.overheadMs,
		steadyMs: co.steadyMs,
	}
}

/** Returns the time that a rank takes to copy one expert, ms. */
export function expertCopyMs({ layout, linkMbps }: PublishedGroup): number {
	return linkMbps > 0
		? (layout.expertMb * BITS_PER_BYTE * MS_PER_SECOND) / linkMbps
		: 0
}

function round3(value: number): number {
	return Number(value.toFixed(3))
}
