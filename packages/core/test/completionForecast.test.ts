/** Tests the forecast of whether a stream can end in time, and a load under it. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EventEstimate, PaceEstimate } from '../src/index.ts'
import {
	createAnswerLengths,
	createRandom,
	estimateEvents,
	forecastCompletion,
	fullPassMs,
	recordAnswerLength,
	remainingEvents,
} from '../src/index.ts'

const USUAL_MS = 60
const TIMEOUT_MS = 8_000

function paceOf(paceMs: number, firstEventMs = 300): PaceEstimate {
	return { paceMs, firstEventMs, isLive: true }
}

const FORECASTS = [
	{ pace: undefined, events: 400, leftMs: 8_000, kind: 'unknown' },
	{ pace: paceOf(60), events: 23, leftMs: 8_000, kind: 'possible' },
	// Longer than the timeout, but at the usual pace.
	{ pace: paceOf(60), events: 400, leftMs: 8_000, kind: 'possible' },
	{ pace: paceOf(120), events: 400, leftMs: 100, kind: 'possible' },
	{ pace: paceOf(700), events: 23, leftMs: 8_000, kind: 'impossible' },
	{ pace: paceOf(700), events: 11, leftMs: 8_000, kind: 'possible' },
	{ pace: paceOf(700), events: 12, leftMs: 8_000, kind: 'possible' },
	{ pace: paceOf(700), events: 12, leftMs: 7_900, kind: 'impossible' },
	{ pace: paceOf(700, 2_000), events: 11, leftMs: 8_000, kind: 'impossible' },
	{ pace: paceOf(700), events: 0, leftMs: 100, kind: 'possible' },
	{ pace: paceOf(700), events: 1, leftMs: 200, kind: 'impossible' },
]

for (const { pace, events, leftMs, kind } of FORECASTS)
	test(`${events} events at ${pace?.paceMs} ms, ${leftMs} ms left: ${kind}`, () => {
		const forecast = forecastCompletion({ events, leftMs }, pace, USUAL_MS)
		assert.is(forecast.kind, kind)
	})

test('no forecast without a published pace', () => {
	const remaining = { events: 400, leftMs: 100 }
	assert.is(forecastCompletion(remaining, paceOf(700), 0).kind, 'unknown')
})

test('published pace of full engines', () => {
	const engine = {
		slots: 7,
		memoryTokens: 200_000,
		stepsPerPass: 6,
		stepMs: 6,
		perRequestMs: 0.5,
		contextMsPerK: 0.1,
		prefillTokensPerSecond: 60_000,
		chunkTokens: 512,
		linkMbps: 1,
		usualPromptTokens: 800,
		usualAnswerTokens: 200,
		experts: undefined,
	}
	assert.is(Math.round(fullPassMs(engine) * 10), 612)
})

const RESUMED = [
	{ id: undefined, events: 20 },
	{ id: '0', events: 20 },
	{ id: '12', events: 8 },
	{ id: '90', events: 0 },
	{ id: 'a7', events: 0 },
	{ id: '', events: 0 },
	{ id: '-3', events: 0 },
]

for (const { id, events } of RESUMED)
	test(`of 20 events, ${events} remain after event "${id}"`, () => {
		assert.is(remainingEvents(20, id), events)
	})

type Bound = (estimate: EventEstimate) => number

/** Requests of a load: ended in time, cut at the timeout, refused though they fit. */
interface LoadResult {
	ended: number
	cut: number
	refusedFitting: number
}

/**
 * Adds up a load of 2 to 40 events at a slow pace, on slots that are free or not. Hints
 * are off by a factor of two.
 */
function addUpLoad(bound: Bound | undefined): LoadResult {
	const random = createRandom(11)
	const lengths = createAnswerLengths()
	const usual = { stepsPerPass: 6, usualAnswerTokens: 60 }
	const draw = () => {
		const events = Math.floor(2 * 20 ** random())
		const normal = [1, 2, 3, 4].reduce(sum => sum + random() - 0.5, 0) * 1.73
		const hint = events * 6 * 2 ** normal
		const size = {
			promptTokens: 100,
			maxAnswerTokens: undefined,
			answerHintTokens: hint,
		}
		return { events, size }
	}
	for (let at = 0; at < 200; at++) {
		const { events, size } = draw()
		recordAnswerLength(lengths, size, usual, events)
	}
	const freeAt = new Array<number>(20).fill(0)
	const result: LoadResult = { ended: 0, cut: 0, refusedFitting: 0 }
	for (let now = 0; now < 60_000; now += 100) {
		const { events, size } = draw()
		const tookMs = 300 + (events - 1) * 700
		const estimate = estimateEvents(lengths, size, usual)
		const remaining = { events: bound?.(estimate) ?? 0, leftMs: TIMEOUT_MS }
		const forecast = forecastCompletion(remaining, paceOf(700), USUAL_MS)
		if (bound && forecast.kind === 'impossible') {
			if (tookMs <= TIMEOUT_MS) result.refusedFitting++
			continue
		}
		const slot = freeAt.findIndex(until => until <= now)
		if (slot < 0) continue
		freeAt[slot] = now + Math.min(TIMEOUT_MS, tookMs)
		if (tookMs <= TIMEOUT_MS) result.ended++
		else result.cut++
	}
	return result
}

test('at a slow pace, more of a mixed load ends in time with the forecast', () => {
	const without = addUpLoad(undefined)
	const withForecast = addUpLoad(({ lower }) => lower)
	assert.ok(withForecast.ended > 1.2 * without.ended, 'slots for short answers')
	assert.ok(withForecast.cut < without.cut, 'fewer cut at the timeout')
	assert.ok(withForecast.refusedFitting < 0.1 * withForecast.ended)
})

test('mutant: the upper estimate refuses requests that could end', () => {
	const mutant = addUpLoad(({ upper }) => upper)
	assert.not(mutant.refusedFitting < 0.1 * mutant.ended)
})

test('mutant: a forecast that admits all has as many cut as none', () => {
	assert.equal(
		addUpLoad(() => 1),
		addUpLoad(undefined),
	)
})

test.run()
