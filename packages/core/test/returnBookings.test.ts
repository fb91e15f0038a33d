/** Properties of the places booked for refused callers, each with a mutant that fails. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type {
	Random,
	ReturnPlace,
	ReturnRequest,
	RoomForecast,
} from '../src/index.ts'
import {
	ageReturns,
	bookReturn,
	countByQuarter,
	countDueWithin,
	countReturns,
	createRandom,
	createReturnBookings,
	FORECAST_QUARTERS,
	QUARTER_MS,
	randomIndex,
	shareOfRoom,
	WHOLE_ROOM,
} from '../src/index.ts'

const DRAWS = 200
const HONORED_MS = 2_600

function createForecast(
	rooms: readonly number[],
	hopes = rooms,
	notBeforeMs = 0,
): RoomForecast {
	const pad = (values: readonly number[]) =>
		Array.from({ length: FORECAST_QUARTERS }, (_, at) => values[at] ?? 0)
	return {
		kind: 'open',
		availableInMs: 0,
		soonestMs: 0,
		notBeforeMs,
		perSecond: 0,
		sure: 1,
		rooms: pad(rooms),
		hopes: pad(hopes),
	}
}

/** Draws room that comes and goes, the kept part below the possible one. */
function drawForecast(random: Random): RoomForecast {
	const most = randomIndex(random, 40)
	const hopes = Array.from({ length: FORECAST_QUARTERS }, () =>
		random() < 0.3 ? 0 : random() * most,
	)
	const rooms = hopes.map(hope => hope * random())
	const notBeforeMs = random() < 0.2 ? random() * 4_000 : 0
	return createForecast(rooms, hopes, notBeforeMs)
}

function createRequest(overrides: Partial<ReturnRequest> = {}): ReturnRequest {
	return {
		forecast: createForecast(Array.from({ length: 40 }, () => 2)),
		share: WHOLE_ROOM,
		ofPeers: [],
		urgency: 5,
		earliestMs: 50,
		maxHonoredMs: HONORED_MS,
		...overrides,
	}
}

type Book = typeof bookReturn

/** Finds a moment up to which entries that hear nothing of each other promise too much. */
function findExcess(book: Book): string | undefined {
	const random = createRandom(11)
	for (let draw = 0; draw < DRAWS; draw++) {
		const forecast = drawForecast(random)
		const entries = 1 + randomIndex(random, 22)
		const demand = Array.from({ length: entries }, (_, at) => ({
			name: `e${at + 10}`,
			perSecond: random() * 50,
		}))
		const counts = Array.from({ length: FORECAST_QUARTERS }, () => 0)
		for (const own of demand) {
			const others = demand.filter(other => other !== own)
			const share = shareOfRoom(own, others, 1)
			const bookings = createReturnBookings()
			for (let one = 0; one < 60; one++)
				book(bookings, createRequest({ forecast, share }), 0, random)
			for (const [quarter, count] of countByQuarter(
				bookings.dueAt,
				0,
			).entries())
				counts[quarter]! += count
		}
		let [room, promised] = [0, 0]
		for (const [quarter, count] of counts.entries()) {
			room += forecast.hopes[quarter]!
			promised += count
			if (promised > room) return `draw ${draw}: ${promised} of ${room}`
		}
	}
	return undefined
}

const bookWhole: Book = (bookings, request, now, random) =>
	bookReturn(bookings, { ...request, share: WHOLE_ROOM }, now, random)

test('the sum of promises of all entries is at most the room', () => {
	assert.is(findExcess(bookReturn), undefined)
	assert.ok(findExcess(bookWhole), 'without shares, the check fails')
})

/** Finds a caller that was told a time which it does not honour, or one too early. */
function findBrokenTime(book: Book): string | undefined {
	const random = createRandom(12)
	for (let draw = 0; draw < DRAWS; draw++) {
		const forecast = drawForecast(random)
		const bookings = createReturnBookings()
		for (let one = 0; one < 80; one++) {
			const before = countByQuarter(bookings.dueAt, 0)
			const request = createRequest({
				forecast,
				maxHonoredMs: random() * 3_000,
			})
			const place = book(bookings, request, 0, random)
			const fault = describeFault(place, request, before)
			if (fault) return `draw ${draw}: ${fault}`
		}
	}
	return undefined
}

function describeFault(
	{ kind, dueInMs }: ReturnPlace,
	{ forecast, earliestMs, maxHonoredMs }: ReturnRequest,
	booked: readonly number[],
): string | undefined {
	if (dueInMs < forecast.notBeforeMs) return 'before it takes requests'
	if (kind !== 'none')
		return dueInMs > maxHonoredMs ? 'later than honoured' : undefined
	if (dueInMs <= maxHonoredMs) return 'a time without room'
	const floorMs = Math.max(earliestMs, forecast.notBeforeMs)
	const last = Math.floor(maxHonoredMs / QUARTER_MS)
	// Room left at the end of each quarter second; a place needs it until the last one.
	let left = 0
	const leftBy = booked.map((count, at) => {
		left += forecast.hopes[at]! - count
		return left
	})
	for (let at = last; at >= 0 && leftBy[at]! >= 1; at--) {
		const endMs = Math.min((at + 1) * QUARTER_MS, maxHonoredMs)
		if (endMs > Math.max(floorMs, at * QUARTER_MS)) return `room at ${at}`
	}
	return undefined
}

const bookLate: Book = (bookings, request, now, random) =>
	bookReturn(bookings, { ...request, earliestMs: 1_500 }, now, random)
const bookEarly: Book = (bookings, request, now, random) => {
	const forecast = { ...request.forecast, notBeforeMs: 0 }
	return bookReturn(bookings, { ...request, forecast }, now, random)
}

test('no promise is beyond what a caller honours unless nothing sooner can be true', () => {
	assert.is(findBrokenTime(bookReturn), undefined)
	assert.match(findBrokenTime(bookLate) ?? '', 'room at')
	assert.match(findBrokenTime(bookEarly) ?? '', 'before')
})

/** Returns how much entries cut in halves promise, as a share of the room. */
function promiseInHalves(scale: number): number {
	const random = createRandom(13)
	const forecast = createForecast(Array.from({ length: 40 }, () => 11))
	let promised = 0
	for (const half of [0, 1]) {
		const names = [0, 1, 2].map(at => ({ name: `${half}${at}`, perSecond: 9 }))
		for (const own of names) {
			const bookings = createReturnBookings()
			const others = names.filter(other => other !== own)
			const share = shareOfRoom(own, others, scale)
			for (let one = 0; one < 99; one++)
				bookReturn(bookings, createRequest({ forecast, share }), 0, random)
			promised += bookings.dueAt.length
		}
	}
	return promised / (11 * 11)
}

test('entries cut in halves leave the other half its share of the room', () => {
	// Two entries are heard of and five known: the demand is scaled by 2.5.
	const share = promiseInHalves(2.5)
	assert.ok(share > 0.9 && share <= 1.01, `${share}`)
	assert.ok(promiseInHalves(1) > 1.5, 'without the scale, the check fails')
})

test('bookings of an entry that died lapse with its report', () => {
	const random = createRandom(14)
	const forecast = createForecast([0, 4])
	const known = createRequest({ forecast, ofPeers: [0, 4] })
	const bookings = createReturnBookings()
	assert.is(bookReturn(bookings, known, 0, random).kind, 'none')
	const released = { ...known, ofPeers: [] }
	assert.is(bookReturn(bookings, released, 0, random).kind, 'kept')
	assert.equal(ageReturns([0, 4], 500), [])
})

const JUMPS = [
	{ name: 'forward by a minute', now: 60_000 },
	{ name: 'back by a minute', now: -60_000 },
]
for (const { name, now } of JUMPS)
	test(`clock ${name}: bookings lapse`, () => {
		const random = createRandom(15)
		const bookings = createReturnBookings()
		const request = createRequest({ forecast: createForecast([2, 2]) })
		for (let one = 0; one < 5; one++) bookReturn(bookings, request, 0, random)
		assert.is(bookings.dueAt.length, 4)
		const place = bookReturn(bookings, request, now, random)
		assert.is(place.kind, 'kept')
		assert.ok(place.dueInMs < 500)
		assert.is(bookings.dueAt.length, 1)
	})

test('less urgent callers leave the first places to urgent ones', () => {
	const random = createRandom(16)
	const bookings = createReturnBookings()
	const request = createRequest({
		forecast: createForecast(Array.from({ length: 40 }, () => 10)),
	})
	bookReturn(bookings, request, 0, random)
	const bookFor = (urgency: number) =>
		bookReturn(bookings, { ...request, urgency }, 0, random).dueInMs
	for (let one = 0; one < 39; one++) bookFor(7)
	const urgentMs = bookFor(5)
	const otherMs = bookFor(7)
	assert.ok(urgentMs < otherMs, `${urgentMs}, ${otherMs}`)
})

test('returns of one quarter second never exceed what it can take, after the first', () => {
	const random = createRandom(17)
	const bookings = createReturnBookings()
	const request = createRequest()
	for (let one = 0; one < 99; one++) bookReturn(bookings, request, 0, random)
	assert.equal(countReturns(bookings.dueAt, 0), Array(11).fill(2))
})

const COUNTS = [
	{ ageMs: 0, aged: [4, 2, 0, 8], within: 6 },
	{ ageMs: 250, aged: [2, 0, 8], within: 2 },
	{ ageMs: 125, aged: [3, 1, 4, 4], within: 4 },
	{ ageMs: 9_000, aged: [], within: 0 },
]
for (const { ageMs, aged, within } of COUNTS)
	test(`counts reported ${ageMs} ms ago`, () => {
		const counts = ageReturns([4, 2, 0, 8], ageMs)
		assert.equal(counts, aged)
		assert.is(countDueWithin(counts, 500), within)
	})

test.run()
