/** Tests the pace of groups and the forecast of whether a stream can end in time. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EventEstimate, GroupPace, PaceEstimate } from '../src/index.ts'
import {
	beginStreamPace,
	createAnswerLengths,
	createGroupPace,
	createRandom,
	endStreamPace,
	estimateEvents,
	estimatePace,
	forecastCompletion,
	fullPassMs,
	recordAnswerLength,
	recordStreamEvent,
	remainingEvents,
	resetPace,
	takeTrial,
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

/** Plays streams that all get an event at each of `times`, ms. */
function play(group: GroupPace, streams: number, times: readonly number[]) {
	const started = Array.from({ length: streams }, () =>
		beginStreamPace(group, times[0]! - 100),
	)
	for (const at of times)
		for (const stream of started) recordStreamEvent(group, stream, at)
	return started
}

function every(ms: number, from: number, to: number): number[] {
	const times = []
	for (let at = from; at < to; at += ms) times.push(at)
	return times
}

const PACES: {
	name: string
	times: readonly number[]
	/** Estimate at each time; undefined for none. */
	expected: readonly (readonly [at: number, paceMs: number | undefined])[]
}[] = [
	{ name: 'no event but the first', times: [0], expected: [[10, undefined]] },
	{
		name: 'steady',
		times: every(60, 0, 1_000),
		expected: [
			[970, 60],
			[1_500, 60],
		],
	},
	{
		name: 'one pause',
		times: [...every(60, 0, 1_000), 1_660, 1_720],
		expected: [
			[1_600, 60],
			[1_661, 60],
			[1_725, 60],
		],
	},
	{
		name: 'a rise: seen in its first second',
		times: [...every(60, 0, 1_000), 1_660, 2_360, 3_060],
		expected: [
			[1_661, 60],
			[1_960, 300],
			[2_361, 700],
			[3_100, 700],
		],
	},
	{
		name: 'a fall: seen with the first event',
		times: [...every(700, 0, 5_000), 4_960],
		expected: [
			[4_950, 700],
			[4_961, 60],
		],
	},
	{
		name: 'seconds without events',
		times: every(60, 0, 1_000),
		expected: [
			[3_500, 60],
			[7_000, undefined],
		],
	},
]

for (const streams of [1, 9])
	for (const { name, times, expected } of PACES)
		test(`pace of ${streams} streams: ${name}`, () => {
			for (const [at, paceMs] of expected) {
				const group = createGroupPace()
				const upTo = times.filter(time => time <= at)
				play(group, streams, upTo)
				// The estimate is made as often as requests arrive.
				for (const time of every(20, upTo.at(-1)!, at))
					estimatePace(group, time)
				assert.is(estimatePace(group, at)?.paceMs, paceMs, `at ${at}`)
			}
		})

test('pace: a slow stream among nine does not count, and times to first events do', () => {
	const group = createGroupPace()
	play(group, 8, every(60, 0, 3_000))
	play(group, 1, every(700, 0, 3_000))
	assert.equal(estimatePace(group, 3_000), {
		paceMs: 60,
		firstEventMs: 100,
		isLive: true,
	})
})

test('pace: unknown after an outage, until streams show it', () => {
	const group = createGroupPace()
	const streams = play(group, 3, every(700, 0, 5_000))
	resetPace(group)
	assert.is(estimatePace(group, 5_000), undefined)
	for (const stream of streams) endStreamPace(group, stream, 5_001)
	assert.is(estimatePace(group, 5_002), undefined)
	play(group, 3, every(60, 5_100, 5_400))
	assert.is(estimatePace(group, 5_400)?.paceMs, 60)
})

test('pace: once no stream shows it, some requests are let through until it is unknown', () => {
	const group = createGroupPace()
	const streams = play(group, 2, every(700, 0, 5_000))
	assert.not(takeTrial(group, 5_000))
	for (const stream of streams) endStreamPace(group, stream, 5_000)
	assert.is(estimatePace(group, 5_100)?.paceMs, 700)
	assert.not(estimatePace(group, 5_100)?.isLive)
	assert.ok(takeTrial(group, 5_100))
	assert.not(takeTrial(group, 6_000))
	assert.ok(takeTrial(group, 6_100))
	assert.is(estimatePace(group, 8_100), undefined)
})

// A rank that is slow for nine seconds; the group has other streams all the while.
test('a request of 23 events is refused while a rank is slow, and not before or after', () => {
	const group = createGroupPace()
	const times = [
		...every(60, 0, 5_000),
		...every(700, 5_000, 14_000),
		...every(60, 14_060, 20_000),
	]
	let stream = beginStreamPace(group, 0)
	const refusedAt: number[] = []
	for (const [at, time] of times.entries()) {
		// Each stream ends after twelve events, when the next one has begun.
		if (at % 12 === 11) {
			endStreamPace(group, stream, time)
			stream = beginStreamPace(group, time)
		}
		recordStreamEvent(group, stream, time)
		const remaining = { events: 23, leftMs: TIMEOUT_MS }
		const pace = estimatePace(group, time + 40)
		if (forecastCompletion(remaining, pace, USUAL_MS).kind === 'impossible')
			refusedAt.push(time)
	}
	assert.ok(refusedAt[0]! > 5_000 && refusedAt[0]! <= 6_500, `${refusedAt}`)
	assert.ok(refusedAt.at(-1)! <= 14_200, `${refusedAt}`)
	assert.ok(refusedAt.length >= 8, `${refusedAt}`)
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
