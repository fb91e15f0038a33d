/** Quarantine of a poison request by 1, 3 and 36 entries with late and lost updates. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { simulateQuarantine } from './models/quarantineNet.ts'

const SEEDS = 30
const DURATION_MS = 60_000
/** Time after the third crash by which every entry must have the quarantine, ms. */
const CONVERGENCE_MS = 3_000
/** Sends allowed from then on. */
const MAX_LATE_SENDS = 3

const CASES: {
	name: string
	entries: number
	/** Interval between two arrivals, ms. */
	everyMs: number
	lossRate: number
	restarts: readonly number[]
}[] = [1, 3, 36].flatMap(entries => [
	{
		name: 'a request every 4 s',
		entries,
		everyMs: 4_000,
		lossRate: 0,
		restarts: [],
	},
	{
		name: 'a request every 0.3 s, half of the updates are lost',
		entries,
		everyMs: 300,
		lossRate: 0.5,
		restarts: [],
	},
	{
		name: '40 requests per second, a tenth of the updates are lost',
		entries,
		everyMs: 25,
		lossRate: 0.1,
		restarts: [],
	},
	{
		name: 'an entry restarts every 9 s',
		entries,
		everyMs: 2_500,
		lossRate: 0.1,
		// A single entry loses its state with its process.
		restarts: entries === 1 ? [] : [9_000, 18_000, 27_000, 36_000],
	},
])

for (const { name, entries, everyMs, lossRate, restarts } of CASES)
	test(`${entries} entries: ${name}`, () => {
		const count = Math.floor(DURATION_MS / everyMs)
		const arrivals = Array.from({ length: count }, (_, at) => at * everyMs)
		for (let seed = 1; seed <= SEEDS; seed++) {
			const scenario = { entries, arrivals, lossRate, restarts, seed }
			const { crashes, sends } = simulateQuarantine(scenario)
			const convergedBy = (crashes[2] ?? DURATION_MS) + CONVERGENCE_MS
			const late = sends.filter(at => at > convergedBy).length
			assert.ok(
				late <= MAX_LATE_SENDS,
				`seed ${seed}: ${late} late sends, ${crashes.length} crashes`,
			)
		}
	})

test.run()
