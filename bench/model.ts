/**
 * Larger explorations of the map protocol than those of the tests, with their numbers
 * of states, depth and time. Each checks that a step uses one map, that a replaced map
 * is not used again, and that from every state one coordinator that receives all answers
 * opens every gate.
 */

import { explore } from '../packages/core/test/models/explore.ts'
import { createMapModel } from '../packages/core/test/models/mapModel.ts'
import type { MapBounds } from '../packages/core/test/models/mapModelState.ts'
import { isQuick, print } from './output.ts'

const BASE: MapBounds = {
	ranks: 2,
	coordinators: 2,
	rounds: 1,
	steps: 3,
	restarts: 0,
	timeouts: 0,
	duplicates: 0,
	losses: 0,
	late: 0,
}
const MAX_STATES = 1_200_000
const QUICK_STATES = 100_000

const CASES: { name: string; bounds: MapBounds }[] = [
	{ name: '2 ranks, 2 coordinators, 2 changes, 3 steps', bounds: BASE },
	{
		name: '2 steps, a restart of any rank',
		bounds: { ...BASE, steps: 2, restarts: 1 },
	},
	{
		name: '2 steps, a duplicate request',
		bounds: { ...BASE, steps: 2, duplicates: 1 },
	},
	{
		name: '2 steps, a late reply',
		bounds: { ...BASE, steps: 2, late: 1 },
	},
	{
		name: '2 steps, a lost reply and a timeout',
		bounds: { ...BASE, steps: 2, losses: 1, timeouts: 1 },
	},
	{
		name: '3 ranks, 1 coordinator, 2 rounds, 2 steps',
		bounds: { ...BASE, ranks: 3, coordinators: 1, rounds: 2, steps: 2 },
	},
	{
		name: '3 ranks, 2 coordinators, 1 step',
		bounds: { ...BASE, ranks: 3, steps: 1 },
	},
]

/** Runs the explorations. */
export async function run(): Promise<void> {
	const limit = isQuick() ? QUICK_STATES : MAX_STATES
	for (const { name, bounds } of CASES) {
		const started = performance.now()
		const found = explore(createMapModel(bounds), limit)
		const seconds = ((performance.now() - started) / 1_000).toFixed(1)
		const extent = found.complete ? 'all states' : 'PARTIAL'
		const result = found.fault ?? 'no fault'
		print(
			`${name}: ${found.states} states, ${found.transitions} transitions, depth ${found.depth}, ${seconds} s, ${extent}: ${result}`,
		)
		if (found.fault !== undefined) process.exitCode = 1
	}
}
