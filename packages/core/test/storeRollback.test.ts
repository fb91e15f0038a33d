/** Beliefs of servers while the store goes back, in drawn histories. */

import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { playRewinds } from './models/storeRollback.ts'

/** More by hand. */
const RUNS = Number(process.env.RUNS ?? 150)
/** From a leaving's being readable, in touch, to its being known, ms. */
const CONTACT_MS = 3_000
/** Until removals are known that were doubted after the store's return, ms. */
const DOUBTED_MS = 1_900

const STORIES = fc.record({
	seed: fc.integer({ min: 1, max: 1_000_000 }),
	entries: fc.constantFrom(1, 2, 5),
	servers: fc.constantFrom(3, 8),
	forMs: fc.constantFrom(10_000, 30_000),
	lost: fc.constantFrom(0, 0.1, 0.4),
	perSecond: fc.record({
		rewinds: fc.constantFrom(0.1, 0.5, 2),
		cuts: fc.constantFrom(0, 0.3),
		restarts: fc.constantFrom(0, 0.3),
		changes: fc.constantFrom(0.5, 2),
	}),
})

test('a store that goes back: who left is not used, and all agree in the end', () => {
	let rewinds = 0
	fc.assert(
		fc.property(STORIES, story => {
			const outcome = playRewinds(story)
			rewinds += outcome.rewinds
			for (const used of outcome.used) assert.equal(used, outcome.published)
			const most = CONTACT_MS + DOUBTED_MS
			assert.ok(outcome.longestUseMs <= most, `${outcome.longestUseMs} ms`)
		}),
		{ seed: 37, numRuns: RUNS },
	)
	assert.ok(rewinds > RUNS, `${rewinds} rewinds`)
})

test.run()
