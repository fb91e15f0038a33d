/** When refused callers come back, and what that is predicted from. */

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

const SPELLS = [
	{ name: 'just begun', elapsedMs: 0, expected: 1_000 },
	{ name: 'half over', elapsedMs: 500, expected: 500 },
	{ name: 'longer than usual', elapsedMs: 3_000, expected: 1_500 },
]

for (const { name, elapsedMs, expected } of SPELLS)
	test(`spell, ${name}: ${expected} ms to go`, () => {
		const spell = createBlockageTracker(1_000)
		assert.is(estimateBlockageMs(spell, 0), 0)
		markBlocked(spell, 0)
		markBlocked(spell, elapsedMs / 2)
		assert.is(estimateBlockageMs(spell, elapsedMs), expected)
	})

test('spells: the usual length follows those that were seen', () => {
	const spell = createBlockageTracker(1_000)
	for (let at = 0; at < 20; at++) {
		markBlocked(spell, at * 10_000)
		markUnblocked(spell, at * 10_000 + 3_000)
	}
	assert.ok(Math.abs(spell.typicalMs - 3_000) < 10)
	assert.is(estimateBlockageMs(spell, 0), 0)
})

test('places: a wait is as long as the places before it take', () => {
	const flow = createDispatchRate()
	for (let at = 0; at <= 60; at++) recordDispatch(flow, at * 50)
	assert.ok(Math.abs(currentIntervalMs(flow, 3_000) - 50) < 1)
	assert.ok(Math.abs(predictWaitMs(flow, 3, 3_000) - 200) < 4)
	assert.is(currentIntervalMs(flow, 3_400), 400, 'none has come since')
})

const RETURNS = [
	{
		name: 'an open service',
		openInMs: 0,
		heededMs: 2_560,
		least: 50,
		most: 125,
	},
	{
		name: 'a full one',
		openInMs: 900,
		heededMs: 2_560,
		least: 975,
		most: 1_025,
	},
	{
		name: 'little time left',
		openInMs: 900,
		heededMs: 480,
		least: 455,
		most: 480,
	},
	{ name: 'no time left', openInMs: 900, heededMs: 3.2, least: 50, most: 50 },
]

for (const { name, openInMs, heededMs, least, most } of RETURNS)
	test(`come back to ${name}: ${least} to ${most} ms`, () => {
		const random = createRandom(3)
		for (let draw = 0; draw < 50; draw++) {
			const forecast = { openInMs, notBeforeMs: 0, gapMs: 100, heededMs }
			const told = scheduleRetryAfter(
				createRetryAfterSchedule(),
				forecast,
				0,
				random,
			)
			assert.ok(told >= least && told <= most, `${told}`)
		}
	})

const FORECAST = {
	openInMs: 0,
	notBeforeMs: 0,
	gapMs: 100,
	heededMs: 2_560,
}

test('come back: what surely cannot be earlier is told, heeded or not', () => {
	const random = createRandom(3)
	for (const notBeforeMs of [500, 2_500, 3_000, 60_000]) {
		const returns = createRetryAfterSchedule()
		const forecast = { ...FORECAST, notBeforeMs }
		const told = Array.from({ length: 60 }, () =>
			scheduleRetryAfter(returns, forecast, 0, random),
		)
		assert.ok(Math.min(...told) >= notBeforeMs)
		assert.ok(Math.max(...told) <= notBeforeMs + FORECAST.heededMs)
		assert.ok(new Set(told).size > 1)
	}
})

test('come back: one after the other, in the order they came', () => {
	const returns = createRetryAfterSchedule()
	const forecast = { ...FORECAST, openInMs: 300 }
	const even = () => 0.5
	const told = [0, 10, 20].map(now =>
		scheduleRetryAfter(returns, forecast, now, even),
	)
	assert.equal(told, [400, 490, 580])
})

test('come back: a new spell does not wait for callers long gone', () => {
	const returns = createRetryAfterSchedule()
	const forecast = { ...FORECAST, openInMs: 300 }
	scheduleRetryAfter(returns, forecast, 0, () => 0.5)
	assert.is(
		scheduleRetryAfter(returns, forecast, 60_000, () => 0.5),
		400,
	)
})

test.run()
