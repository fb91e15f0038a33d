/** When an agent takes its group over from an earlier candidate. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EarlierState } from '../src/index.ts'
import { judgeEarlier } from '../src/index.ts'

const STARTED_AT = 1_000

const CASES: {
	name: string
	heardAt: number | undefined
	now: number
	state: EarlierState
}[] = [
	{
		name: 'not heard of yet, all have just begun',
		heardAt: undefined,
		now: 1_080,
		state: 'lives',
	},
	{ name: 'never heard of', heardAt: undefined, now: 1_700, state: 'gone' },
	{ name: 'heard a moment ago', heardAt: 9_900, now: 10_000, state: 'lives' },
	{
		name: 'silent for a while',
		heardAt: 9_500,
		now: 10_000,
		state: 'doubtful',
	},
	{ name: 'silent for long', heardAt: 8_000, now: 10_000, state: 'gone' },
]

for (const { name, heardAt, now, state } of CASES)
	test(`earlier candidate, ${name}: ${state}`, () => {
		assert.is(judgeEarlier(heardAt, STARTED_AT, now), state)
	})

test.run()
