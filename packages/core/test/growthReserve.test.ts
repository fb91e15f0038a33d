/** Expected growth of urgent demand: a wave, a step, steady and falling demand. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	createDemandTrend,
	createRandom,
	estimateStreamMs,
	expectedGrowth,
	updateDemandTrend,
} from '../src/index.ts'

const INTERVAL_MS = 200
const STREAM_MS = 1_500

/** Demand per second at a time, ms. */
type Demand = (now: number) => number

/** Returns the growth expected at each update in 30 s. */
function follow(demand: Demand): number[] {
	const trend = createDemandTrend()
	const expected: number[] = []
	for (let now = 0; now < 30_000; now += INTERVAL_MS) {
		updateDemandTrend(trend, demand(now), INTERVAL_MS)
		expected.push(expectedGrowth(trend, STREAM_MS))
	}
	return expected
}

const QUIET: { name: string; demand: Demand }[] = [
	{ name: 'steady', demand: () => 80 },
	{ name: 'falling', demand: now => 200 - now / 200 },
	{ name: 'no', demand: () => 0 },
]

for (const { name, demand } of QUIET)
	test(`growth reserve: ${name} demand keeps nothing empty`, () => {
		assert.is(Math.max(...follow(demand)), 0)
	})

test('growth reserve: fluctuations of steady demand keep next to nothing empty', () => {
	const random = createRandom(2)
	let smoothed = 80
	const expected = follow(() => {
		// Arrivals in an interval, and their rate smoothed over a second as reported.
		let count = 0
		for (let at = 0; at < 160; at++) if (random() < 0.1) count++
		smoothed += (1 - Math.exp(-0.2)) * (count / 0.2 - smoothed)
		return smoothed
	})
	const mean = expected.reduce((sum, one) => sum + one, 0) / expected.length
	assert.ok(mean < 0.8, `${mean} of 80 requests a second`)
})

test('growth reserve: a wave keeps room for its growth within a stream', () => {
	// 10 more a second in each second: 15 more within a stream, and 10 not yet averaged.
	const expected = follow(now => 20 + now / 100)
	const later = expected.slice(75)
	assert.ok(Math.min(...later) > 18, `least ${Math.min(...later)}`)
	assert.ok(Math.max(...later) <= 25, `${Math.max(...later)}`)
})

test('growth reserve: after a step, room is given back within some seconds', () => {
	const expected = follow(now => (now < 10_000 ? 50 : 150))
	assert.ok(expected[50]! > 20, `${expected[50]}`)
	assert.is(expected[100], 0)
})

test('growth reserve: never more than the demand itself', () => {
	const expected = follow(now => (now < 10_000 ? 1 : 2 ** ((now - 1e4) / 500)))
	assert.ok(expected.every(one => Number.isFinite(one)))
	const trend = { current: 100, smoothed: 1 }
	assert.is(expectedGrowth(trend, 10_000), 100)
})

test('growth reserve: without completions the duration of streams is unknown', () => {
	assert.is(estimateStreamMs(300, 200), 1_500)
	assert.is(estimateStreamMs(300, 0), 0)
	assert.is(estimateStreamMs(900, 1), 10_000)
})

test.run()
