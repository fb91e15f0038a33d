/** A deadly request at 1, 3 and 36 entries whose news come late or are lost. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { playQuarantine } from './models/quarantineNet.ts'

const SEEDS = 30
const LENGTH_MS = 60_000
/** By then after the third end each entry must know, ms. */
const CONTACT_MS = 3_000
/** Sends that are allowed from then on. */
const MOST_SENDS = 3

const CASES: {
	name: string
	entries: number
	/** Between two arrivals, ms. */
	everyMs: number
	lost: number
	restarts: readonly number[]
}[] = [1, 3, 36].flatMap(entries => [
	{
		name: 'comes again every 4 s',
		entries,
		everyMs: 4_000,
		lost: 0,
		restarts: [],
	},
	{
		name: 'comes again every 0.3 s, half of the news are lost',
		entries,
		everyMs: 300,
		lost: 0.5,
		restarts: [],
	},
	{
		name: 'comes 40 times a second, a tenth of the news are lost',
		entries,
		everyMs: 25,
		lost: 0.1,
		restarts: [],
	},
	{
		name: 'an entry starts again every 9 s',
		entries,
		everyMs: 2_500,
		lost: 0.1,
		// An entry that is alone forgets with its process.
		restarts: entries === 1 ? [] : [9_000, 18_000, 27_000, 36_000],
	},
])

for (const { name, entries, everyMs, lost, restarts } of CASES)
	test(`${entries} entries: ${name}`, () => {
		const count = Math.floor(LENGTH_MS / everyMs)
		const arrivals = Array.from({ length: count }, (_, at) => at * everyMs)
		for (let seed = 1; seed <= SEEDS; seed++) {
			const story = { entries, arrivals, lost, restarts, seed }
			const { ends, sends } = playQuarantine(story)
			const judgedFrom = (ends[2] ?? LENGTH_MS) + CONTACT_MS
			const late = sends.filter(at => at > judgedFrom).length
			assert.ok(
				late <= MOST_SENDS,
				`seed ${seed}: ${late} late, ${ends.length} ends`,
			)
		}
	})

test.run()
