/**
 * Coordinator of a lock-step group: monitors the demand for experts, plans expert maps,
 * and changes the group's map, one round at a time.
 */

import type { GroupMap, RankReport } from '@juniperhook/core'
import { isMapNeeded } from '@juniperhook/core'
import type { Coordinator } from './coordinatorState.ts'
import { delay, readAnchor } from './coordinatorState.ts'
import { MIN_PLAN_CHOICES, monitorDemand } from './demandMonitor.ts'
import { computePassFactor, planMapChange, readMap } from './mapPlanning.ts'
import { closeRankClient } from './rankClient.ts'
import { runRound } from './roundRunner.ts'

/** Polling interval of the anchor while no round is in progress, ms. */
const IDLE_POLL_INTERVAL_MS = 80

/** Coordinates the group until the coordinator is stopped. */
export async function runCoordinator(co: Coordinator): Promise<void> {
	try {
		await Promise.all([monitorDemand(co), runMapLoop(co)])
	} finally {
		co.stopped = true
		for (const client of co.clients.values()) closeRankClient(client)
		co.clients.clear()
	}
}

/** Improves the map repeatedly while the group is complete. */
async function runMapLoop(co: Coordinator): Promise<void> {
	while (!co.stopped) {
		const report = await readAnchor(co)
		if (report && isComplete(co, report)) await improveMap(co, report)
		await delay(IDLE_POLL_INTERVAL_MS)
	}
}

/** Stops a coordinator; a round in progress is left as it is. */
export function stopCoordinator(co: Coordinator): void {
	co.stopped = true
}

/** Whether the group runs and all its ranks are known. */
function isComplete(co: Coordinator, report: RankReport): boolean {
	if (!report.open || report.size < 1) return false
	// Ends at the first rank that is not known, however large the size is.
	for (let rank = 0; rank < report.size; rank++)
		if (!co.clients.has(rank)) return false
	return true
}

function needsMap(co: Coordinator, map: GroupMap): boolean {
	const { group, inFlightPerRank, shiftedFactor, fitter } = co
	if (!group) return false
	const factor = computePassFactor(co, group, map)
	const state = { factor, shiftedFactor, fit: fitter.fit }
	return isMapNeeded(inFlightPerRank, state, group, group.cost)
}

/** Completes the change of an older round, or changes the map if that is worth it. */
async function improveMap(co: Coordinator, report: RankReport): Promise<void> {
	if (report.held !== undefined) {
		await runRound(co, report, undefined)
		return
	}
	if (report.armed !== undefined) return
	const map = await readMap(co, report)
	if (!map || co.demand.totalChoices < MIN_PLAN_CHOICES) return
	if (!needsMap(co, map)) return
	const plan = await planMapChange(co, map)
	if (plan) await runRound(co, report, plan)
}
