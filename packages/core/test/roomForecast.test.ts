/** Forecast room by what restricts a service, its measured error, and recognition. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoomObservations, RoomSource } from '../src/index.ts'
import {
	createExpectedReturns,
	createRoomObservations,
	drainReturns,
	expectReturn,
	forecastRoom,
	learnReturn,
	MAX_REPORTED_RETURNS,
	observeTraffic,
	takeReturn,
} from '../src/index.ts'

/** Observes steady traffic, or one that swings by `swing` around its mean. */
function observe(
	newPerSecond: number,
	completionsPerSecond: number,
	swing = 0,
): RoomObservations {
	const observations = createRoomObservations()
	for (let at = 0; at < 200; at++) {
		const level = newPerSecond * (1 + swing * Math.sin(at / 3))
		const traffic = { newPerSecond: level, completionsPerSecond, isOpen: true }
		observeTraffic(observations, traffic, at * 200)
	}
	return observations
}

const sumOf = (values: readonly number[]) =>
	values.reduce((sum, value) => sum + value, 0)

interface SourceCase {
	readonly name: string
	readonly source: RoomSource
	readonly newPerSecond: number
	readonly availableInMs: number
	/** Room in the first four seconds, at least and at most. */
	readonly room: readonly [number, number]
}
const SOURCES: readonly SourceCase[] = [
	{
		name: 'an open service that is full',
		source: { kind: 'open', freeSlots: 0 },
		newPerSecond: 130,
		availableInMs: 0,
		room: [0, 0],
	},
	{
		name: 'an open service after a burst',
		source: { kind: 'open', freeSlots: 20 },
		newPerSecond: 60,
		availableInMs: 0,
		room: [160, 180],
	},
	{
		name: 'a closed group: its slots, then what completes',
		source: { kind: 'closed', opensInMs: 1_000, soonestMs: 500, slots: 200 },
		newPerSecond: 0,
		availableInMs: 1_000,
		room: [290, 300],
	},
	{
		name: 'servers at rest: probes only',
		source: {
			kind: 'resting',
			opensInMs: 0,
			notBeforeMs: 3_000,
			intervalMs: 50,
		},
		newPerSecond: 0,
		availableInMs: 3_000,
		room: [19, 20],
	},
	{
		name: 'limited servers',
		source: { kind: 'limited', opensInMs: 2_000 },
		newPerSecond: 0,
		availableInMs: 2_000,
		room: [195, 200],
	},
]

for (const { name, source, newPerSecond, availableInMs, room } of SOURCES)
	test(`forecast: ${name}`, () => {
		const forecast = forecastRoom(observe(newPerSecond, 100), source)
		assert.is(forecast.availableInMs, availableInMs)
		const first = sumOf(forecast.rooms.slice(0, 16))
		assert.ok(first >= room[0] && first <= room[1], `${first}`)
		for (const at of forecast.hopes.keys()) {
			const hoped = sumOf(forecast.hopes.slice(0, at + 1))
			assert.ok(sumOf(forecast.rooms.slice(0, at + 1)) <= hoped + 0.001)
		}
	})

test('forecast: an error that was measured makes it more cautious', () => {
	const source = { kind: 'open', freeSlots: 10 } as const
	const steady = forecastRoom(observe(60, 100), source)
	const swinging = forecastRoom(observe(60, 100, 0.6), source)
	assert.ok(swinging.sure < steady.sure - 0.1, `${swinging.sure}`)
	assert.ok(sumOf(swinging.rooms) < sumOf(steady.rooms))
})

test('forecast: a jump of the clock is no trend', () => {
	const observations = observe(60, 100)
	const traffic = { newPerSecond: 600, completionsPerSecond: 100, isOpen: true }
	for (const now of [9_000_000, -9_000_000]) {
		observeTraffic(observations, traffic, now)
		assert.is(observations.trend, 0)
	}
})

const ARRIVALS = [
	{ name: 'much earlier than told', at: 700, isReturn: false },
	{ name: 'as told', at: 1_020, isReturn: true },
	{ name: 'slightly before', at: 950, isReturn: true },
	{ name: 'a second late', at: 2_000, isReturn: true },
	{ name: 'too late', at: 3_000, isReturn: false },
]
for (const { name, at, isReturn } of ARRIVALS)
	test(`recognition: a caller that comes ${name}`, () => {
		const returns = createExpectedReturns()
		learnReturn(returns, { fingerprint: 7, dueAt: 1_000 })
		assert.not(takeReturn(returns, 8, at), 'another request')
		assert.is(takeReturn(returns, 7, at), isReturn)
		assert.not(takeReturn(returns, 7, at), 'once')
	})

test('recognition: a caller that came early returns when told', () => {
	const returns = createExpectedReturns()
	expectReturn(returns, { fingerprint: 7, dueAt: 1_000 })
	assert.not(takeReturn(returns, 7, 200))
	assert.ok(takeReturn(returns, 7, 1_000))
})

test('recognition: a report names the newest refused callers, once', () => {
	const returns = createExpectedReturns()
	for (let fingerprint = 0; fingerprint < 99; fingerprint++)
		expectReturn(returns, { fingerprint, dueAt: 1_000 })
	const reported = drainReturns(returns)
	assert.is(reported.length, MAX_REPORTED_RETURNS)
	assert.is(reported.at(-1)!.fingerprint, 98)
	assert.is(drainReturns(returns).length, 0)
})

test.run()
