/** What a lock-step group may hold for its streams to be in time. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { isRankTooSlow, maxInFlightPerRank } from '../src/index.ts'

const HELDS: {
	name: string
	factor: number
	shiftedFactor: number
	steadyMs: number
	copiesLong?: boolean
	allowed: number | undefined
}[] = [
	{
		name: 'passes in time',
		factor: 1.2,
		shiftedFactor: 1,
		steadyMs: 10_000,
		allowed: undefined,
	},
	{
		name: 'longer',
		factor: 1.6,
		shiftedFactor: 1,
		steadyMs: 10_000,
		allowed: 7.74,
	},
	{
		name: 'shifts that come often are prepared for',
		factor: 1.1,
		shiftedFactor: 2.2,
		steadyMs: 3_500,
		allowed: 5.79,
	},
	{
		name: 'shifts that come often, cured without much copying',
		factor: 1.1,
		shiftedFactor: 2.2,
		steadyMs: 3_500,
		copiesLong: false,
		allowed: 6.97,
	},
	{
		name: 'rare ones are not',
		factor: 1.1,
		shiftedFactor: 2.2,
		steadyMs: 20_000,
		allowed: undefined,
	},
	{
		name: 'far too long: half of the slots at least',
		factor: 8,
		shiftedFactor: 1,
		steadyMs: 10_000,
		allowed: 4,
	},
]

for (const { name, allowed, copiesLong = true, ...state } of HELDS)
	test(`requests let in, ${name}`, () => {
		const limits = { maxPauseMs: 120, slots: 8 }
		const cost = { stepMs: 4.55, perRequestMs: 1.3575, stepsPerPass: 4 }
		const fit = { base: 1, stepSkew: 0.3 }
		const held = maxInFlightPerRank({ ...state, copiesLong, fit }, limits, cost)
		assert.is(held && Number(held.toFixed(2)), allowed)
	})

const PACES: { pace: number; maxPauseMs: number; beyond: boolean }[] = [
	{ pace: 1, maxPauseMs: 120, beyond: false },
	{ pace: 3, maxPauseMs: 120, beyond: false },
	{ pace: 12, maxPauseMs: 120, beyond: true },
	{ pace: 12, maxPauseMs: 0, beyond: false },
]

for (const { pace, maxPauseMs, beyond } of PACES)
	test(`pace ${pace}, pauses up to ${maxPauseMs} ms: a limit ${beyond ? 'cannot help' : 'may help'}`, () => {
		const cost = { stepMs: 5.85, perRequestMs: 0.53, stepsPerPass: 5 }
		assert.is(isRankTooSlow({ maxPauseMs, slots: 8 }, cost, pace), beyond)
	})

test.run()
