/** Server lists of entries under rollbacks of the store, in random histories. */

import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { simulateRollbacks } from './models/storeRollback.ts'

/** Number of histories; set `RUNS` for longer runs. */
const RUNS = Number(process.env.RUNS ?? 150)
/** Maximum time in contact between a departure becoming readable and its detection, ms. */
const CONTACT_MS = 3_000
/** Maximum time for which removals after a rollback stay pending, ms. */
const PENDING_MS = 1_900

const SCENARIOS = fc.record({
	seed: fc.integer({ min: 1, max: 1_000_000 }),
	entries: fc.constantFrom(1, 2, 5),
	servers: fc.constantFrom(3, 8),
	forMs: fc.constantFrom(10_000, 30_000),
	lossRate: fc.constantFrom(0, 0.1, 0.4),
	perSecond: fc.record({
		rollbacks: fc.constantFrom(0.1, 0.5, 2),
		partitions: fc.constantFrom(0, 0.3),
		restarts: fc.constantFrom(0, 0.3),
		changes: fc.constantFrom(0.5, 2),
	}),
})

test('store rollbacks: departed servers are not used, and all entries converge', () => {
	let rollbacks = 0
	fc.assert(
		fc.property(SCENARIOS, scenario => {
			const outcome = simulateRollbacks(scenario)
			rollbacks += outcome.rollbacks
			for (const ids of outcome.used) assert.equal(ids, outcome.published)
			const limit = CONTACT_MS + PENDING_MS
			assert.ok(outcome.longestUseMs <= limit, `${outcome.longestUseMs} ms`)
		}),
		{ seed: 37, numRuns: RUNS },
	)
	assert.ok(rollbacks > RUNS, `${rollbacks} rollbacks`)
})

test.run()
