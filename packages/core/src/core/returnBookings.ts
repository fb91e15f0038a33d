/**
 * Books places in the forecast room for refused callers, so that those who come back when
 * told find room, and all entries together promise no more than there is.
 */

import type { Random, RoomForecast, RoomShare, Urgency } from '../internal.ts'
import {
	countByQuarter,
	countOwnSlots,
	countSlots,
	FORECAST_QUARTERS,
	QUARTER_MS,
} from '../internal.ts'

/** Places that callers less urgent than others leave free in the first quarters. */
const RESERVED_SHARE = 0.3
/** Quarter seconds in which places are reserved for urgent callers. */
const RESERVED_QUARTERS = 4
/** How long the most urgent refused caller is remembered, ms. */
const URGENCY_MEMORY_MS = 2_000
/** Bookings that an entry holds; beyond them, callers are told the honest time only. */
const MAX_BOOKINGS = 4_096

/** Bookings of one entry in the room of a service. */
export interface ReturnBookings {
	/** Times at which booked callers are due, ascending, ms. */
	dueAt: number[]
	/** Room, numbered over all entries, that has passed. */
	position: number
	/** Forecast room at the last booking, by quarter second from `bookedAt` on. */
	passing: readonly number[]
	bookedAt: number
	/** Most urgent caller refused lately, and when. */
	top: Urgency
	topAt: number
}

/** Creates bookings without any. */
export function createReturnBookings(): ReturnBookings {
	return {
		dueAt: [],
		position: 0,
		passing: [],
		bookedAt: 0,
		top: Number.POSITIVE_INFINITY,
		topAt: Number.NEGATIVE_INFINITY,
	}
}

/** A refused caller, and the room that it may be booked into. */
export interface ReturnRequest {
	readonly forecast: RoomForecast
	/** This entry's part of the room. */
	readonly share: RoomShare
	/** Bookings of the other entries, by quarter second from now on. */
	readonly ofPeers: readonly number[]
	readonly urgency: Urgency
	/** Time before which other entries do not know of the booking, ms. */
	readonly earliestMs: number
	/** Longest time that the caller honours, ms. */
	readonly maxHonoredMs: number
}

/** The time that a refused caller is told. */
export interface ReturnPlace {
	readonly kind: /** Within the room that the forecast leaves if it errs. */
		| 'kept'
		/** Within the room that may come true. */
		| 'possible'
		/** No place within what the caller honours: an honest time beyond it. */
		| 'none'
	readonly dueInMs: number
}

/** Books the earliest place for a refused caller. */
export function bookReturn(
	bookings: ReturnBookings,
	request: ReturnRequest,
	now: number,
	random: Random,
): ReturnPlace {
	passTime(bookings, now)
	bookings.passing = request.forecast.rooms
	bookings.bookedAt = now
	const isReserved = noteUrgency(bookings, request.urgency, now)
	const { availableInMs, hopes, rooms, soonestMs } = request.forecast
	const likely = { rooms, fromMs: availableInMs, isReserved }
	const hoped = { rooms: hopes, fromMs: soonestMs, isReserved }
	const kept = findPlace(bookings, request, likely, now)
	const possible = kept ?? findPlace(bookings, request, hoped, now)
	if (!possible || bookings.dueAt.length >= MAX_BOOKINGS)
		return { kind: 'none', dueInMs: honestTimeMs(request) }
	const { fromMs, toMs } = possible
	const dueInMs = fromMs + random() * (toMs - fromMs)
	insertSorted(bookings.dueAt, now + dueInMs)
	return { kind: kept ? 'kept' : 'possible', dueInMs }
}

/** Drops bookings that are due, and counts the room that has passed. */
function passTime(bookings: ReturnBookings, now: number): void {
	const { passing, bookedAt } = bookings
	// Times are of no use any more if the clock has gone back.
	bookings.dueAt =
		now < bookedAt ? [] : bookings.dueAt.filter(dueAt => dueAt > now)
	const elapsed = Math.max(0, now - bookedAt) / QUARTER_MS
	const whole = Math.floor(elapsed)
	const passed = passing.slice(0, whole).reduce((sum, room) => sum + room, 0)
	bookings.position += passed + (elapsed - whole) * (passing[whole] ?? 0)
}

/** Returns whether a caller has to leave places to more urgent ones. */
function noteUrgency(
	bookings: ReturnBookings,
	urgency: Urgency,
	now: number,
): boolean {
	const isForgotten = Math.abs(now - bookings.topAt) > URGENCY_MEMORY_MS
	if (!isForgotten && urgency > bookings.top) return true
	bookings.top = urgency
	bookings.topAt = now
	return false
}

/** Part of a quarter second in which a caller may be due, ms from now. */
interface PlaceWindow {
	readonly fromMs: number
	readonly toMs: number
}

/** Room in which a place is sought. */
interface SoughtRoom {
	/** Room by quarter second, and when it begins, ms from now. */
	readonly rooms: readonly number[]
	readonly fromMs: number
	/** Whether places are left to more urgent callers. */
	readonly isReserved: boolean
}

/** Finds the earliest place that leaves all later bookings their room. */
function findPlace(
	bookings: ReturnBookings,
	request: ReturnRequest,
	{ rooms, fromMs, isReserved }: SoughtRoom,
	now: number,
): PlaceWindow | undefined {
	const { forecast, share, ofPeers, earliestMs, maxHonoredMs } = request
	const own = countByQuarter(bookings.dueAt, now)
	const floorMs = Math.max(earliestMs, fromMs, forecast.notBeforeMs)
	const last = Math.min(
		FORECAST_QUARTERS - 1,
		Math.floor(maxHonoredMs / QUARTER_MS),
	)
	let [room, ownSlots, ownBooked, allBooked] = [0, 0, 0, 0]
	let earliest: number | undefined
	for (let at = 0; at <= last; at++) {
		ownSlots += countOwnSlots(share, bookings.position + room, rooms[at]!)
		room += rooms[at]!
		ownBooked += own[at]!
		allBooked += own[at]! + (ofPeers[at] ?? 0)
		const left = isReserved && at < RESERVED_QUARTERS ? 1 - RESERVED_SHARE : 1
		const allSlots = countSlots(bookings.position, room)
		const isFull =
			ownBooked + 1 > Math.floor(left * ownSlots) ||
			allBooked + 1 > Math.floor(left * allSlots)
		if (isFull) earliest = undefined
		else if (hasWindow(at, floorMs, maxHonoredMs)) earliest ??= at
	}
	if (earliest === undefined) return undefined
	return windowOf(earliest, floorMs, maxHonoredMs)
}

function windowOf(at: number, floorMs: number, ceilingMs: number): PlaceWindow {
	return {
		fromMs: Math.max(at * QUARTER_MS, floorMs),
		toMs: Math.min((at + 1) * QUARTER_MS, ceilingMs),
	}
}

function hasWindow(at: number, floorMs: number, ceilingMs: number): boolean {
	const { fromMs, toMs } = windowOf(at, floorMs, ceilingMs)
	return fromMs < toMs
}

/**
 * Returns the first time beyond what the caller honours at which there may be room, ms;
 * the end of the forecast if it knows none.
 */
function honestTimeMs({ forecast, maxHonoredMs }: ReturnRequest): number {
	const { hopes, notBeforeMs, soonestMs } = forecast
	const at = hopes.findIndex(
		(room, at) => room > 0 && at * QUARTER_MS >= maxHonoredMs,
	)
	const roomMs = (at < 0 ? FORECAST_QUARTERS : at + 1) * QUARTER_MS
	return Math.max(roomMs, soonestMs, notBeforeMs, maxHonoredMs + QUARTER_MS)
}

function insertSorted(times: number[], time: number): void {
	const at = times.findLastIndex(other => other <= time)
	times.splice(at + 1, 0, time)
}
