/** Tests the pace of groups, as the streams that an entry relays show it. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { GroupPace } from '../src/index.ts'
import {
	beginStreamPace,
	createGroupPace,
	endStreamPace,
	estimatePace,
	forecastCompletion,
	recordStreamEvent,
	resetPace,
	takeTrial,
} from '../src/index.ts'

const USUAL_MS = 60
const TIMEOUT_MS = 8_000

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

test.run()
