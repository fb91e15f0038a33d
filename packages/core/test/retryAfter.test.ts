/** Retry-After of refused callers, and the forecasts that it is derived from. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	createBlockageTracker,
	createDispatchRate,
	createRandom,
	createRetryAfterSchedule,
	currentIntervalMs,
	estimateBlockageMs,
	markBlocked,
	markUnblocked,
	predictWaitMs,
	recordDispatch,
	scheduleRetryAfter,
} from '../src/index.ts'

const BLOCKAGES = [
	{ name: 'at its start', elapsedMs: 0, expected: 1_000 },
	{ name: 'after half its typical duration', elapsedMs: 500, expected: 500 },
	{ name: 'beyond its typical duration', elapsedMs: 3_000, expected: 1_500 },
]

for (const { name, elapsedMs, expected } of BLOCKAGES)
	test(`blockage ${name}: expected to end in ${expected} ms`, () => {
		const blockage = createBlockageTracker(1_000)
		assert.is(estimateBlockageMs(blockage, 0), 0)
		markBlocked(blockage, 0)
		markBlocked(blockage, elapsedMs / 2)
		assert.is(estimateBlockageMs(blockage, elapsedMs), expected)
	})

test('blockages: the typical duration adapts to those observed', () => {
	const blockage = createBlockageTracker(1_000)
	for (let at = 0; at < 20; at++) {
		markBlocked(blockage, at * 10_000)
		markUnblocked(blockage, at * 10_000 + 3_000)
	}
	assert.ok(Math.abs(blockage.typicalMs - 3_000) < 10)
	assert.is(estimateBlockageMs(blockage, 0), 0)
})

test('free slots: a wait is predicted from the interval between free slots', () => {
	const rate = createDispatchRate()
	for (let at = 0; at <= 60; at++) recordDispatch(rate, at * 50)
	assert.ok(Math.abs(currentIntervalMs(rate, 3_000) - 50) < 1)
	assert.ok(Math.abs(predictWaitMs(rate, 3, 3_000) - 200) < 4)
	assert.is(
		currentIntervalMs(rate, 3_400),
		400,
		'no slot has become free since',
	)
})

const CASES = [
	{
		name: 'an open service',
		availableInMs: 0,
		maxHonoredMs: 2_560,
		minMs: 50,
		maxMs: 125,
	},
	{
		name: 'a full service',
		availableInMs: 900,
		maxHonoredMs: 2_560,
		minMs: 975,
		maxMs: 1_025,
	},
	{
		name: 'little time left',
		availableInMs: 900,
		maxHonoredMs: 480,
		minMs: 455,
		maxMs: 480,
	},
	{
		name: 'no time left',
		availableInMs: 900,
		maxHonoredMs: 3.2,
		minMs: 50,
		maxMs: 50,
	},
]

for (const { name, availableInMs, maxHonoredMs, minMs, maxMs } of CASES)
	test(`Retry-After, ${name}: ${minMs} to ${maxMs} ms`, () => {
		const random = createRandom(3)
		for (let draw = 0; draw < 50; draw++) {
			const forecast = {
				availableInMs,
				notBeforeMs: 0,
				slotIntervalMs: 100,
				maxHonoredMs,
			}
			const retryAfterMs = scheduleRetryAfter(
				createRetryAfterSchedule(),
				forecast,
				0,
				random,
			)
			assert.ok(
				retryAfterMs >= minMs && retryAfterMs <= maxMs,
				`${retryAfterMs}`,
			)
		}
	})

const FORECAST = {
	availableInMs: 0,
	notBeforeMs: 0,
	slotIntervalMs: 100,
	maxHonoredMs: 2_560,
}

test('Retry-After is never before the earliest possible time, honored or not', () => {
	const random = createRandom(3)
	for (const notBeforeMs of [500, 2_500, 3_000, 60_000]) {
		const schedule = createRetryAfterSchedule()
		const forecast = { ...FORECAST, notBeforeMs }
		const delays = Array.from({ length: 60 }, () =>
			scheduleRetryAfter(schedule, forecast, 0, random),
		)
		assert.ok(Math.min(...delays) >= notBeforeMs)
		assert.ok(Math.max(...delays) <= notBeforeMs + FORECAST.maxHonoredMs)
		assert.ok(new Set(delays).size > 1)
	}
})

test('Retry-After: callers are staggered in the order of their requests', () => {
	const schedule = createRetryAfterSchedule()
	const forecast = { ...FORECAST, availableInMs: 300 }
	const even = () => 0.5
	const delays = [0, 10, 20].map(now =>
		scheduleRetryAfter(schedule, forecast, now, even),
	)
	assert.equal(delays, [400, 490, 580])
})

test('Retry-After: callers of an earlier blockage do not delay those of a new one', () => {
	const schedule = createRetryAfterSchedule()
	const forecast = { ...FORECAST, availableInMs: 300 }
	scheduleRetryAfter(schedule, forecast, 0, () => 0.5)
	assert.is(
		scheduleRetryAfter(schedule, forecast, 60_000, () => 0.5),
		400,
	)
})

test.run()
