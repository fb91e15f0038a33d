/** Limit on the requests that a lock-step group holds, and slow ranks. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { isRankTooSlow, maxInFlightPerRank } from '../src/index.ts'

const LIMIT_CASES: {
	name: string
	factor: number
	shiftedFactor: number
	steadyMs: number
	copiesLong?: boolean
	expected: number | undefined
}[] = [
	{
		name: 'no limit while passes are short enough',
		factor: 1.2,
		shiftedFactor: 1,
		steadyMs: 10_000,
		expected: undefined,
	},
	{
		name: 'a limit for longer passes',
		factor: 1.6,
		shiftedFactor: 1,
		steadyMs: 10_000,
		expected: 7.74,
	},
	{
		name: 'frequent shifts lower the limit',
		factor: 1.1,
		shiftedFactor: 2.2,
		steadyMs: 3_500,
		expected: 5.79,
	},
	{
		name: 'frequent shifts with short copying lower it less',
		factor: 1.1,
		shiftedFactor: 2.2,
		steadyMs: 3_500,
		copiesLong: false,
		expected: 6.97,
	},
	{
		name: 'rare shifts do not lower the limit',
		factor: 1.1,
		shiftedFactor: 2.2,
		steadyMs: 20_000,
		expected: undefined,
	},
	{
		name: 'far too long passes: at least half of the slots',
		factor: 8,
		shiftedFactor: 1,
		steadyMs: 10_000,
		expected: 4,
	},
]

for (const { name, expected, copiesLong = true, ...state } of LIMIT_CASES)
	test(`held requests: ${name}`, () => {
		const limits = { maxPauseMs: 120, slots: 8 }
		const cost = { stepMs: 4.55, perRequestMs: 1.3575, stepsPerPass: 4 }
		const fit = { base: 1, stepSkew: 0.3 }
		const held = maxInFlightPerRank({ ...state, copiesLong, fit }, limits, cost)
		assert.is(held && Number(held.toFixed(2)), expected)
	})

const PACE_CASES: { pace: number; maxPauseMs: number; isTooSlow: boolean }[] = [
	{ pace: 1, maxPauseMs: 120, isTooSlow: false },
	{ pace: 3, maxPauseMs: 120, isTooSlow: false },
	{ pace: 12, maxPauseMs: 120, isTooSlow: true },
	{ pace: 12, maxPauseMs: 0, isTooSlow: false },
]

for (const { pace, maxPauseMs, isTooSlow } of PACE_CASES)
	test(`pace ${pace}, pause limit ${maxPauseMs} ms: a limit on held requests ${isTooSlow ? 'cannot help' : 'can help'}`, () => {
		const cost = { stepMs: 5.85, perRequestMs: 0.53, stepsPerPass: 5 }
		assert.is(isRankTooSlow({ maxPauseMs, slots: 8 }, cost, pace), isTooSlow)
	})

test.run()
