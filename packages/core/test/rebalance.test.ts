/** Rebalancing plans and popularity estimates on small cases. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { RebalanceParameters } from '../src/index.ts'
import {
	computeRankLoads,
	computeSkew,
	createExpertEstimate,
	createLayer,
	createLayerFromRanks,
	createRandom,
	expectedHorizonMs,
	expectedShares,
	listExpertsByRank,
	observeTokens,
	planLayer,
} from '../src/index.ts'

const RANKS = 8
const EXPERTS = 32
const WINDOW_MS = 60_000

const TERMS: RebalanceParameters = {
	skewWeight: 1,
	moveWeight: 1,
	horizonMs: 600_000,
	loadMs: 100,
	loadLoss: 0.05,
	expertShare: 0.7,
	layers: 1,
}

function zipf(exponent: number): Float64Array {
	const share = new Float64Array(EXPERTS).map((_, n) => (n + 1) ** -exponent)
	const total = share.reduce((sum, part) => sum + part, 0)
	return share.map(part => part / total)
}

const PLANS: {
	name: string
	terms: Partial<RebalanceParameters>
	spare: number
	/** Bounds of the skew after the plan. */
	skew: [number, number]
	loads: [number, number]
}[] = [
	{
		name: 'with spare slots',
		terms: {},
		spare: 2,
		skew: [1, 1.1],
		loads: [1, 32],
	},
	{
		name: 'without spare slots',
		terms: {},
		spare: 0,
		skew: [1, 2.5],
		loads: [1, 32],
	},
	{
		name: 'loads that are too costly',
		terms: { moveWeight: 1e6 },
		spare: 2,
		skew: [2, 9],
		loads: [0, 0],
	},
	{
		name: 'a popularity about to change',
		terms: { horizonMs: 1 },
		spare: 2,
		skew: [2, 9],
		loads: [0, 0],
	},
]

for (const { name, terms, spare, skew, loads } of PLANS)
	test(`layer plan: ${name}`, () => {
		const share = zipf(1)
		const layer = createLayer(RANKS, EXPERTS, spare)
		const plan = planLayer(layer, share, 0, { ...TERMS, ...terms })
		const after = computeSkew(computeRankLoads(plan.placement, share, 0))
		assert.ok(after >= skew[0] && after <= skew[1], `skew ${after}`)
		const count = plan.loads.length
		assert.ok(count >= loads[0] && count <= loads[1], `${count} loads`)
		assert.ok(plan.placement.copies.every(copies => copies >= 1))
		assert.ok(plan.benefitMs >= plan.costMs)
	})

test('layer plan: a layer that is already balanced needs no loads', () => {
	const share = zipf(0.8)
	let layer = createLayer(RANKS, EXPERTS, 2)
	for (let n = 0; n < 4; n++)
		layer = planLayer(layer, share, 0, TERMS).placement
	assert.is(planLayer(layer, share, 0, TERMS).loads.length, 0)
})

test('layer plan: a higher move weight does not increase the number of loads', () => {
	const share = zipf(1)
	const counts = [0.1, 1, 10, 100, 1_000].map(moveWeight => {
		const layer = createLayer(RANKS, EXPERTS, 2)
		return planLayer(layer, share, 0, { ...TERMS, moveWeight }).loads.length
	})
	assert.equal(
		counts,
		[...counts].sort((a, b) => b - a),
	)
})

test('placement: conversion from and to experts by rank', () => {
	const byRank = [[0, 1], [2, 3, 0], [1]]
	const layer = createLayerFromRanks(byRank, 4, 2)
	assert.equal(listExpertsByRank(layer), byRank)
	assert.equal([...layer.copies], [2, 2, 1, 1])
})

const POPULARITIES: {
	name: string
	/** Index of the popularity, of two, that applies in a window. */
	pick(window: number): number
	/** Bounds of the horizon after 60 windows, ms. */
	horizon: [number, number]
}[] = [
	{
		name: 'constant popularity',
		pick: () => 0,
		horizon: [20 * WINDOW_MS, Number.POSITIVE_INFINITY],
	},
	{
		name: 'popularity that alternates each window',
		pick: window => window % 2,
		horizon: [20 * WINDOW_MS, Number.POSITIVE_INFINITY],
	},
]

for (const { name, pick, horizon } of POPULARITIES)
	test(`estimate: ${name} selects a long half-life`, () => {
		const random = createRandom(3)
		const estimate = createExpertEstimate(1, EXPERTS, WINDOW_MS)
		const popularities = [zipf(1), zipf(1).reverse()]
		for (let window = 0; window < 60; window++) {
			const share = popularities[pick(window)]!
			const noisy = share.map(part => part * (0.97 + random() * 0.06))
			observeTokens(
				estimate,
				noisy.map(part => part * 1e6),
			)
		}
		const horizonMs = expectedHorizonMs(estimate)
		assert.ok(
			horizonMs >= horizon[0] && horizonMs <= horizon[1],
			`horizon ${horizonMs} ms`,
		)
	})

test('estimate: an abrupt change is followed within a few windows', () => {
	const estimate = createExpertEstimate(1, EXPERTS, WINDOW_MS)
	const [oldShares, newShares] = [zipf(1), zipf(1).reverse()]
	for (let n = 0; n < 30; n++) observeTokens(estimate, oldShares)
	for (let n = 0; n < 8; n++) observeTokens(estimate, newShares)
	const mostPopular = expectedShares(estimate).indexOf(
		Math.max(...expectedShares(estimate)),
	)
	assert.is(mostPopular, newShares.indexOf(Math.max(...newShares)))
})

test.run()
