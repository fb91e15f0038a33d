/** Liveness of earlier candidates, by the time of their last answer. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { CandidateLiveness } from '../src/index.ts'
import { assessCandidate } from '../src/index.ts'

const STARTED_AT = 1_000

const CASES: {
	name: string
	answeredAt: number | undefined
	now: number
	liveness: CandidateLiveness
}[] = [
	{
		name: 'no answer yet, shortly after the start',
		answeredAt: undefined,
		now: 1_080,
		liveness: 'alive',
	},
	{
		name: 'never answered',
		answeredAt: undefined,
		now: 1_700,
		liveness: 'down',
	},
	{
		name: 'answered recently',
		answeredAt: 9_900,
		now: 10_000,
		liveness: 'alive',
	},
	{
		name: 'no answer for a while',
		answeredAt: 9_500,
		now: 10_000,
		liveness: 'unresponsive',
	},
	{
		name: 'no answer for long',
		answeredAt: 8_000,
		now: 10_000,
		liveness: 'down',
	},
]

for (const { name, answeredAt, now, liveness } of CASES)
	test(`earlier candidate, ${name}: ${liveness}`, () => {
		assert.is(assessCandidate(answeredAt, STARTED_AT, now), liveness)
	})

test.run()
