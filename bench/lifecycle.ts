/**
 * Outcomes that callers receive under failures: random event orders in the model of the
 * request lifecycle, which uses the daemons' functions. Baseline: each request that met
 * a failure is reported as unknown.
 */

import { createRandom, randomIndex } from '@juniperhook/core'
import { createLifecycleModel } from '../packages/core/test/models/lifecycleModel.ts'
import type {
	LifecycleBounds,
	LifecycleModelEvent,
} from '../packages/core/test/models/lifecycleModelState.ts'
import { isQuick, print, printTable } from './output.ts'

const REQUESTS = 20_000
const QUICK_REQUESTS = 2_000
const MAX_EVENTS = 80
const TARGET_RATIO = 0.1
/** Probability that the next event is a failure, where other events are possible. */
const FAILURE_PROBABILITY = 0.25
const FAILURES = ['linkLost', 'silent', 'restart', 'pause', 'leave']

const BASE: LifecycleBounds = {
	entries: 1,
	repeatable: false,
	keyed: true,
	freshKey: true,
	restarts: 0,
	pauses: 0,
	losses: 0,
	duplicates: 0,
	leaves: 0,
	silences: 0,
}

const CASES: { name: string; bounds: LifecycleBounds }[] = [
	{ name: 'lost links', bounds: { ...BASE, losses: 2 } },
	{ name: 'silence (late offers)', bounds: { ...BASE, silences: 2 } },
	{ name: 'pauses of the agent', bounds: { ...BASE, pauses: 2 } },
	{ name: 'the agent leaves', bounds: { ...BASE, leaves: 1 } },
	{ name: 'the agent restarts', bounds: { ...BASE, restarts: 1, losses: 1 } },
	{
		name: 'all together, duplicate messages',
		bounds: {
			...BASE,
			losses: 2,
			silences: 2,
			pauses: 1,
			leaves: 1,
			restarts: 1,
			duplicates: 2,
		},
	},
]

interface Tally {
	answered: number
	notRun: number
	unknown: number
	baseline: number
	broken: number
	unsettled: number
}

/** Runs the benchmark. */
export async function run(): Promise<void> {
	const count = isQuick() ? QUICK_REQUESTS : REQUESTS
	const rows: string[][] = []
	let total = 0
	let broken = 0
	for (const [index, { name, bounds }] of CASES.entries()) {
		const tally = runCase(bounds, count, index + 1)
		total += count
		broken += tally.broken
		const share = tally.unknown / Math.max(1, tally.baseline)
		const percent = (requests: number) =>
			`${((100 * requests) / count).toFixed(1)}%`
		rows.push([
			name,
			percent(tally.answered),
			percent(tally.notRun),
			percent(tally.unknown),
			percent(tally.baseline),
			share.toFixed(2),
			share <= TARGET_RATIO ? 'met' : 'MISSED',
		])
	}
	print(`bookings under failure, ${count} random requests a row`)
	printTable(
		[
			'failure',
			'answered',
			'not run',
			'unknown',
			'baseline unknown',
			'ratio',
			`aim at most ${TARGET_RATIO}`,
		],
		rows,
	)
	print(`duplicate runs and false "not run" in ${total} requests: ${broken}`)
}

function runCase(bounds: LifecycleBounds, count: number, seed: number): Tally {
	const model = createLifecycleModel(bounds)
	const random = createRandom(seed)
	const tally: Tally = {
		answered: 0,
		notRun: 0,
		unknown: 0,
		baseline: 0,
		broken: 0,
		unsettled: 0,
	}
	for (let n = 0; n < count; n++) {
		let state = model.initial
		let failed = false
		for (let step = 0; step < MAX_EVENTS; step++) {
			const event = pickEvent(model.list(state), random)
			if (!event) break
			const open = state.lifecycles[0]!.state.at !== 'settled'
			if (open && state.requested[0] && FAILURES.includes(event.do))
				failed = true
			state = model.apply(state, event)
		}
		if (model.findFault(state) !== undefined) tally.broken++
		const final = state.lifecycles[0]!.state
		if (final.at === 'settled') tally[final.outcome.outcome]++
		else tally.unsettled++
		if (failed) tally.baseline++
	}
	return tally
}

function pickEvent(
	events: readonly LifecycleModelEvent[],
	random: () => number,
): LifecycleModelEvent | undefined {
	const usual = events.filter(event => !FAILURES.includes(event.do))
	const failures = events.filter(event => FAILURES.includes(event.do))
	const fails = failures.length > 0 && random() < FAILURE_PROBABILITY
	const from = fails || usual.length === 0 ? failures : usual
	return from[randomIndex(random, from.length)]
}
