/** Predictions and fit of the pass model, and the need for a map change. */

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
const PUBLISHED_FIT = { base: 1, stepSkew: 1 }

const PREDICTIONS = [
	{ name: 'balanced', fit: PUBLISHED_FIT, factor: 1, copying: false, ms: 40 },
	{ name: 'skewed', fit: PUBLISHED_FIT, factor: 2, copying: false, ms: 80 },
	{ name: 'copying', fit: PUBLISHED_FIT, factor: 1, copying: true, ms: 46 },
	{
		name: 'skewed: half of the step and all of the request time stretched',
		fit: { base: 1.1, stepSkew: 0.5 },
		factor: 2,
		copying: false,
		ms: 77,
	},
]

for (const { name, fit, factor, copying, ms } of PREDICTIONS)
	test(`pass model: ${name}`, () => {
		const state = { factor, copying }
		assert.is(predictPassMs(COST, fit, 5, state), ms)
		assert.is(Number(maxInFlightWithin(COST, fit, ms, state).toFixed(9)), 5)
	})

test('pass model: negative if even empty ranks are too slow', () => {
	const state = { factor: 1, copying: false }
	assert.ok(maxInFlightWithin(COST, PUBLISHED_FIT, 10, state) < 0)
})

const TRUE_FITS = [
	{ base: 1, stepSkew: 1 },
	{ base: 1.2, stepSkew: 0.6 },
	{ base: 0.9, stepSkew: 0.1 },
]

for (const truth of TRUE_FITS)
	test(`pass model: fits base ${truth.base} and step skew ${truth.stepSkew}`, () => {
		const random = createRandom(7)
		const fitter = createPassFitter()
		for (let count = 0; count < 120; count++) {
			const factor = 1 + 2 * random()
			const inFlight = 2 + 6 * random()
			const copying = random() < 0.3
			const state = { factor, copying }
			const noise = 1 + 0.1 * (random() - 0.5)
			const passMs = predictPassMs(COST, truth, inFlight, state) * noise
			addPassSample(fitter, COST, {
				passMs,
				inFlight,
				factor,
				copying,
			})
		}
		assert.ok(Math.abs(fitter.fit.base - truth.base) < 0.08)
		assert.ok(Math.abs(fitter.fit.stepSkew - truth.stepSkew) < 0.12)
	})

test('pass model: an outlier does not move the fit out of bounds', () => {
	const fitter = createPassFitter()
	const outlier = { passMs: 4_000, inFlight: 5, factor: 1.5, copying: false }
	addPassSample(fitter, COST, outlier)
	assert.ok(fitter.fit.base <= 2 && fitter.fit.stepSkew <= 1)
})

const MAP_NEEDS = [
	{
		name: 'pass time far below the limit',
		inFlight: 1,
		shiftedFactor: 2,
		needed: false,
	},
	{
		name: 'passes too long after a shift',
		inFlight: 6,
		shiftedFactor: 2.4,
		needed: true,
	},
]

for (const { name, inFlight, shiftedFactor, needed } of MAP_NEEDS)
	test(`map change ${needed ? 'needed' : 'not needed'}: ${name}`, () => {
		const state = {
			factor: 1.1,
			shiftedFactor,
			steadyMs: 3_500,
			fit: PUBLISHED_FIT,
		}
		const limits = { maxPauseMs: 120, slots: 8 }
		assert.is(isMapNeeded(inFlight, state, limits, COST), needed)
	})

test.run()
