/**
 * Plain arithmetic over quarter seconds for refused callers who come back: a service with
 * slots, new callers by a pattern, and entries that book places for those they refuse.
 */

import type { BlockageTracker, Random, ReturnPlace } from '../src/index.ts'
import {
	ageReturns,
	bookReturn,
	countReturns,
	createBlockageTracker,
	createRandom,
	createReturnBookings,
	createRoomObservations,
	estimateBlockageRange,
	forecastRoom,
	markBlocked,
	markUnblocked,
	observeTraffic,
	QUARTER_MS,
	shareOfRoom,
} from '../src/index.ts'

/** Slots of the service and quarter seconds for which a request holds one. */
const SLOTS = 480
const HELD_QUARTERS = 8
/** Requests a quarter second that the service completes when full. */
export const FULL = SLOTS / HELD_QUARTERS
const SMOOTHING_QUARTERS = 4
/** Quarter seconds until a booking is known to the other entries. */
const REPORT_QUARTERS = 2
/** Share of the callers with a place who come. */
const COMING_SHARE = 0.9
const HONORED_MS = 2_600
/** Quarter seconds for which a returning caller waits for a closed service. */
const WAIT_QUARTERS = 6

/** New callers and whether the service is open, by quarter second. */
export interface Pattern {
	readonly name: string
	/** New callers as a share of what the full service completes. */
	load(at: number): number
	isOpen(at: number): boolean
	/** Quarter seconds, and those from which on results count. */
	readonly quarters: number
	readonly from: number
}

/** Books a place; replaced by a mutant in a test of the check. */
export type BookPlace = typeof bookReturn

/** What became of refused callers. */
export interface Outcome {
	refused: number
	/** Told a time that they honour, who came back then, and found room. */
	returned: number
	served: number
	/** Slots in quarter seconds while refused callers wait, and those unused meanwhile. */
	room: number
	unused: number
}

interface Entry {
	readonly bookings: ReturnType<typeof createReturnBookings>
	/** Its counts of the last quarter seconds, newest first. */
	reports: (readonly number[])[]
}

/** Plays a pattern at a number of entries. */
export function playPattern(
	pattern: Pattern,
	entryCount: number,
	book: BookPlace = bookReturn,
): Outcome {
	const random = createRandom(7)
	const entries = Array.from(
		{ length: entryCount },
		(): Entry => ({ bookings: createReturnBookings(), reports: [] }),
	)
	const observations = createRoomObservations()
	const blockage = createBlockageTracker(2_600)
	const outcome = { refused: 0, returned: 0, served: 0, unused: 0, room: 0 }
	const due: number[] = []
	const booked: number[] = []
	let free = SLOTS
	let waiting = 0
	let [come, end] = [0, 0]
	for (let at = 0; at < pattern.quarters; at++) {
		const now = at * QUARTER_MS
		const isOpen = pattern.isOpen(at)
		const counts = at >= pattern.from
		if (isOpen && !pattern.isOpen(at - 1)) free = SLOTS
		noteOutage(blockage, isOpen, now)
		const ended = isOpen ? drawCount(random, (SLOTS - free) / HELD_QUARTERS) : 0
		free += ended
		const back = (due[at] ?? 0) + waiting
		const fresh = drawCount(random, pattern.load(at) * FULL)
		const room = isOpen ? free : 0
		const backServed = Math.min(room, back)
		// Room is kept for all who are due, also for those who do not come.
		const kept = Math.max(0, (booked[at] ?? 0) - back)
		const open = Math.max(0, room - backServed - kept)
		const freshServed = Math.min(open, fresh)
		free -= backServed + freshServed
		const refused = fresh - freshServed
		// Callers that come back to a closed service wait a while.
		waiting = isOpen ? 0 : (due[at] ?? 0) + waiting
		const lost = isOpen ? 0 : (due[at - WAIT_QUARTERS] ?? 0)
		waiting -= isOpen ? 0 : Math.min(lost, waiting)
		come += (fresh * 4 - come) / SMOOTHING_QUARTERS
		end += (ended * 4 - end) / SMOOTHING_QUARTERS
		const traffic = { newPerSecond: come, completionsPerSecond: end, isOpen }
		observeTraffic(observations, traffic, now)
		const { expectedMs, latestMs } = estimateBlockageRange(blockage, now)
		const closed = {
			kind: 'closed' as const,
			opensInMs: latestMs,
			soonestMs: expectedMs,
			slots: SLOTS,
		}
		const forecast = forecastRoom(
			observations,
			isOpen ? { kind: 'open', freeSlots: free } : closed,
		)
		for (const { bookings, reports } of entries)
			reports.unshift(countReturns(bookings.dueAt, now))
		for (let one = 0; one < refused; one++) {
			const place = bookAt(entries, Math.floor(random() * entryCount))
			if (place.dueInMs > HONORED_MS) continue
			const back = at + Math.max(1, Math.floor(place.dueInMs / QUARTER_MS))
			booked[back] = (booked[back] ?? 0) + 1
			if (random() < COMING_SHARE) due[back] = (due[back] ?? 0) + 1
		}
		function bookAt(all: readonly Entry[], index: number): ReturnPlace {
			return bookPlace(all, index, { forecast, book, random, now })
		}
		if (!counts) continue
		outcome.refused += refused
		outcome.returned += due[at] ?? 0
		outcome.served += backServed
		const away = due.slice(at + 1).reduce((sum, count) => sum + (count ?? 0), 0)
		if (away + refused === 0 || !isOpen) continue
		outcome.room += SLOTS
		outcome.unused += Math.min(free, away + refused)
	}
	return outcome
}

function drawCount(random: Random, mean: number): number {
	return Math.floor(mean + random())
}

function noteOutage(
	blockage: BlockageTracker,
	isOpen: boolean,
	now: number,
): void {
	if (isOpen) markUnblocked(blockage, now)
	else markBlocked(blockage, now)
}

function bookPlace(
	entries: readonly Entry[],
	index: number,
	world: {
		readonly forecast: ReturnType<typeof forecastRoom>
		readonly book: BookPlace
		readonly random: Random
		readonly now: number
	},
): ReturnPlace {
	const { book, forecast, random, now } = world
	const names = entries.map((_, at) => ({ name: `e${at + 10}`, perSecond: 9 }))
	const others = names.filter((_, at) => at !== index)
	const ofPeers: number[] = []
	for (const [at, { reports }] of entries.entries()) {
		if (at === index) continue
		const age = Math.min(REPORT_QUARTERS, reports.length - 1)
		const aged = ageReturns(reports[age]!, age * QUARTER_MS)
		for (const [quarter, count] of aged.entries())
			ofPeers[quarter] = (ofPeers[quarter] ?? 0) + count
	}
	const request = {
		forecast,
		share: shareOfRoom(names[index]!, others, 1),
		ofPeers: [...ofPeers].map(count => count ?? 0),
		urgency: 55,
		earliestMs: entries.length > 1 ? 300 : 50,
		maxHonoredMs: HONORED_MS,
	}
	return book(entries[index]!.bookings, request, now, random)
}
