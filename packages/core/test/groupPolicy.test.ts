/** Limit on the requests in flight at a rank of a lock-step group, and slow ranks. */

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
	test(`requests in flight: ${name}`, () => {
		const limits = { maxPauseMs: 120, slots: 8 }
		const cost = { stepMs: 4.55, perRequestMs: 1.3575, stepsPerPass: 4 }
		const fit = { base: 1, stepSkew: 0.3 }
		const inFlight = maxInFlightPerRank(
			{ ...state, copiesLong, fit },
			limits,
			cost,
		)
		assert.is(inFlight && Number(inFlight.toFixed(2)), expected)
	})

const SLOWDOWN_CASES: {
	slowdown: number
	maxPauseMs: number
	isTooSlow: boolean
}[] = [
	{ slowdown: 1, maxPauseMs: 120, isTooSlow: false },
	{ slowdown: 3, maxPauseMs: 120, isTooSlow: false },
	{ slowdown: 12, maxPauseMs: 120, isTooSlow: true },
	{ slowdown: 12, maxPauseMs: 0, isTooSlow: false },
]

for (const { slowdown, maxPauseMs, isTooSlow } of SLOWDOWN_CASES)
	test(`slowdown ${slowdown}, pause limit ${maxPauseMs} ms: a limit on requests in flight ${isTooSlow ? 'cannot help' : 'can help'}`, () => {
		const cost = { stepMs: 5.85, perRequestMs: 0.53, stepsPerPass: 5 }
		assert.is(
			isRankTooSlow({ maxPauseMs, slots: 8 }, cost, slowdown),
			isTooSlow,
		)
	})

test.run()
