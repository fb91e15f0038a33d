/**
 * A group's coordinator: it reads what experts are in demand, plans, and takes
 * the group from map to map, one round at a time.
 */

import type { GroupMap, RankReport } from '@juniperhook/core'
import { isMapNeeded } from '@juniperhook/core'
import type { Coordinator } from './coordinatorState.ts'
import { pause, readAnchor } from './coordinatorState.ts'
import { followDemand, MIN_SEEN } from './demandMonitor.ts'
import { factorNow, planNext, readMap } from './mapPlanning.ts'
import { closeRankClient } from './rankClient.ts'
import { runRound } from './roundRunner.ts'

/** Between looks at the anchor while no round is under way, ms. */
const IDLE_LOOK_MS = 80

/** Coordinates until it is stopped. */
export async function runCoordinator(co: Coordinator): Promise<void> {
	try {
		await Promise.all([followDemand(co), improveMap(co)])
	} finally {
		co.stopped = true
		for (const client of co.clients.values()) closeRankClient(client)
		co.clients.clear()
	}
}

async function improveMap(co: Coordinator): Promise<void> {
	while (!co.stopped) {
		const report = await readAnchor(co)
		if (report && isWhole(co, report)) await improve(co, report)
		await pause(IDLE_LOOK_MS)
	}
}

/** Tells a coordinator to end; a change in the making is left as it stands. */
export function stopCoordinator(co: Coordinator): void {
	co.stopped = true
}

function isWhole(co: Coordinator, report: RankReport): boolean {
	return report.open && co.clients.size === report.size
}

function needsMap(co: Coordinator, map: GroupMap): boolean {
	const { group, held, shiftedFactor, fitter } = co
	if (!group) return false
	const factor = factorNow(co, group, map)
	const state = { factor, shiftedFactor, fit: fitter.fit }
	return isMapNeeded(held, state, group, group.cost)
}

/** Settles what an older round left, or makes the map better if that pays. */
async function improve(co: Coordinator, report: RankReport): Promise<void> {
	if (report.held !== undefined) {
		await runRound(co, report, undefined)
		return
	}
	if (report.armed !== undefined) return
	const map = await readMap(co, report)
	if (!map || co.demand.totalChoices < MIN_SEEN) return
	if (!needsMap(co, map)) return
	const better = await planNext(co, map)
	if (better) await runRound(co, report, better)
}
