/** The model of a pass: what it predicts, and what it learns. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	addPassSample,
	createPassFitter,
	createRandom,
	isMapNeeded,
	maxInFlightWithin,
	predictPassMs,
} from '../src/index.ts'

const COST = { stepMs: 5, perRequestMs: 1, stepsPerPass: 4 }
const AS_PUBLISHED = { base: 1, stepSkew: 1 }

const PASSES = [
	{ name: 'balanced', fit: AS_PUBLISHED, factor: 1, copying: false, ms: 40 },
	{ name: 'skewed', fit: AS_PUBLISHED, factor: 2, copying: false, ms: 80 },
	{ name: 'copying', fit: AS_PUBLISHED, factor: 1, copying: true, ms: 46 },
	{
		name: 'skewed, half of the step and all of the requests',
		fit: { base: 1.1, stepSkew: 0.5 },
		factor: 2,
		copying: false,
		ms: 77,
	},
]

for (const { name, fit, factor, copying, ms } of PASSES)
	test(`pass: ${name}`, () => {
		const state = { factor, copying }
		assert.is(predictPassMs(COST, fit, 5, state), ms)
		assert.is(Number(maxInFlightWithin(COST, fit, ms, state).toFixed(9)), 5)
	})

test('pass: not even empty ranks are fast enough', () => {
	const state = { factor: 1, copying: false }
	assert.ok(maxInFlightWithin(COST, AS_PUBLISHED, 10, state) < 0)
})

const GROUPS = [
	{ base: 1, stepSkew: 1 },
	{ base: 1.2, stepSkew: 0.6 },
	{ base: 0.9, stepSkew: 0.1 },
]

for (const truth of GROUPS)
	test(`pass: base ${truth.base} and step skew ${truth.stepSkew} are learnt`, () => {
		const random = createRandom(7)
		const fitter = createPassFitter()
		for (let count = 0; count < 120; count++) {
			const factor = 1 + 2 * random()
			const held = 2 + 6 * random()
			const copying = random() < 0.3
			const state = { factor, copying }
			const noise = 1 + 0.1 * (random() - 0.5)
			const passMs = predictPassMs(COST, truth, held, state) * noise
			addPassSample(fitter, COST, { passMs, inFlight: held, factor, copying })
		}
		assert.ok(Math.abs(fitter.fit.base - truth.base) < 0.08)
		assert.ok(Math.abs(fitter.fit.stepSkew - truth.stepSkew) < 0.12)
	})

test('pass: one odd reading is not believed', () => {
	const fitter = createPassFitter()
	const odd = { passMs: 4_000, held: 5, factor: 1.5, copying: false }
	addPassSample(fitter, COST, odd)
	assert.ok(fitter.fit.base <= 2 && fitter.fit.stepSkew <= 1)
})

const NEEDS = [
	{ name: 'time to spare', held: 1, shiftedFactor: 2, needed: false },
	{
		name: 'a shift would be too much',
		held: 6,
		shiftedFactor: 2.4,
		needed: true,
	},
]

for (const { name, held, shiftedFactor, needed } of NEEDS)
	test(`map ${needed ? 'needed' : 'not needed'}: ${name}`, () => {
		const state = {
			factor: 1.1,
			shiftedFactor,
			steadyMs: 3_500,
			fit: AS_PUBLISHED,
		}
		const limits = { maxPauseMs: 120, slots: 8 }
		assert.is(isMapNeeded(held, state, limits, COST), needed)
	})

test.run()
