/**
 * Overload at twice the capacity of the backend servers, one of them stalled: a
 * discrete-event simulation with the daemons' routing and admission. Baselines are
 * round robin and least connections with plain queues and no load shedding.
 */

import { isQuick, print, printTable } from './output.ts'
import type { Result, Strategy } from './overloadSimulation.ts'
import {
	SERVERS,
	SERVICE_MS,
	SLOTS,
	STALL_FACTOR,
	simulate,
} from './overloadSimulation.ts'
import { measureTeamLimits } from './teamLimits.ts'

/** Minimum goodput as a ratio of the capacity; late answers do not count. */
const GOODPUT_TARGET = 0.95
/** Maximum p99 of rosters relative to that without overload. */
const ROSTER_TARGET = 1.5

/** Runs the benchmark. */
export async function run(): Promise<void> {
	const seconds = isQuick() ? 10 : 60
	const capacity = ((SERVERS - 1) * SLOTS * 1_000) / SERVICE_MS
	const unloaded = simulate('juniperhook', 0.5, seconds, false)
	const rows: string[][] = []
	const results = new Map<Strategy, Result>()
	for (const strategy of [
		'juniperhook',
		'round robin',
		'least connections',
	] as const) {
		const result = simulate(strategy, 2, seconds, true)
		results.set(strategy, result)
		rows.push([
			strategy,
			result.goodput.toFixed(0),
			`${((100 * result.goodput) / capacity).toFixed(1)}%`,
			result.rosterP99.toFixed(0),
			String(result.refused),
			String(result.late),
		])
	}
	print(
		`twice the load for ${seconds} s, ${SERVERS} servers of ${SLOTS} slots, one ${STALL_FACTOR} times slower`,
	)
	print(`unloaded p99 of rosters: ${unloaded.rosterP99.toFixed(0)} ms`)
	printTable(
		[
			'strategy',
			'goodput/s',
			'of capacity',
			'roster p99 ms',
			'refused',
			'late',
		],
		rows,
	)
	const ours = results.get('juniperhook')!
	checkTarget(
		'goodput of capacity',
		ours.goodput / capacity,
		GOODPUT_TARGET,
		true,
	)
	const ratio = ours.rosterP99 / unloaded.rosterP99
	checkTarget('roster p99 over unloaded', ratio, ROSTER_TARGET, false)
	measureTeamLimits()
}

function checkTarget(
	what: string,
	value: number,
	target: number,
	atLeast: boolean,
): void {
	const met = atLeast ? value >= target : value <= target
	const sense = atLeast ? 'at least' : 'at most'
	const status = met ? 'met' : 'MISSED'
	print(`  ${what}: ${value.toFixed(3)} (aim ${sense} ${target}): ${status}`)
}
