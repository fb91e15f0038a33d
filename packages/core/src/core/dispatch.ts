/**
 * Which server takes a request when an entry sends to servers itself: the one
 * with the least part of its slots taken, as far as this entry and its peers
 * know, among those that have room.
 */

import type { Random, ServerTable } from '../internal.ts'
import {
	estimateUnreportedLoad,
	isEjected,
	randomIndex,
	recordResult,
} from '../internal.ts'

/** What a choice is made from. */
export interface DispatchQuery {
	/** Rows of the service. */
	readonly rows: readonly number[]
	/** Rows that this request has been to. */
	readonly tried: ReadonlySet<number>
	/** Requests that a server may hold beyond its slots. */
	readonly queueCapacity: number
	/** Numbers of the lock-step groups that take nothing now. */
	readonly closedGroups: ReadonlySet<number>
	/** This entry's data centre is where these rows are. */
	readonly localRows: ReadonlySet<number>
	/** Requests sent to the service since entries told each other what they hold. */
	readonly unreportedSends: number
	/** Servers that may be sent so many requests a second, with a permit for one now. */
	readonly permitted: ReadonlySet<number>
	/** Servers that may be sent nothing now: without a permit, or at rest. */
	readonly withheld: ReadonlySet<number>
}

/** What a choice gives. */
export type DispatchChoice =
	| { readonly kind: 'row'; readonly row: number }
	/** All servers are full, or their groups take nothing. */
	| { readonly kind: 'full' }
	/** There is no server at all. */
	| { readonly kind: 'none' }

/** Load that a server in another data centre seems to have in addition. */
const FAR_LOAD = 0.02
/** Least places that are left to an entry at servers that it turns to first. */
const LEFT_ELSEWHERE = 1
/** Servers of other entries that a choice draws, and the least that it compares. */
const LEAST_DRAWN = 2
const LEAST_COMPARED = 4
/** Most of a service's servers that may be left alone for their failures. */
const MAX_EJECTED = 0.5

/** Weight of a new result in the share of failures and the time taken. */
const RESULT_WEIGHT = 0.2
/** What is held against a server counts half after this time, ms. */
const FORGIVE_MS = 3_000
/** Load that a server seems to have for failing all tries the others serve. */
const FAILURE_LOAD = 3
/** Load that a server seems to have for being twice as slow as the fastest. */
const SLOW_LOAD = 0.25
/**
 * Load that a rank seems to have for being twice as slow as usual: its requests
 * lengthen every pass of its group, not its own alone.
 */
const PACE_LOAD = 0.5
/**
 * Load that all ranks of a group seem to have for one that is twice as slow as usual,
 * and the most: every pass waits for it. From 2.5 times on no stream of the group is
 * in time, whatever it holds, and another group is better as long as it has room.
 */
const GROUP_PACE_LOAD = 0.6
const MOST_GROUP_LOAD = 1
/** A server counts as at most this many times slower. */
const MAX_SLOW = 6
/** Failures in a row that one connection which never came up stands for. */
const UNREACHED_FAILURES = 3

/** How a try on a server went. */
export type AttemptOutcome =
	/** With the time of a whole answer; a stream's tells nothing. */
	| { readonly kind: 'good'; readonly tookMs: number | undefined }
	| { readonly kind: 'failed' }
	/** No connection came up. */
	| { readonly kind: 'unreached' }

/** Notes how a try went. */
export function recordAttempt(
	table: ServerTable,
	row: number,
	result: AttemptOutcome,
	now: number,
): void {
	forgive(table, row, now)
	const rate = table.failureRate[row]!
	const failed = result.kind === 'good' ? 0 : 1
	table.failureRate[row] = rate + RESULT_WEIGHT * (failed - rate)
	switch (result.kind) {
		case 'good':
			if (result.tookMs !== undefined) recordTime(table, row, result.tookMs)
			recordResult(table, row, true, now)
			return
		case 'failed':
			recordResult(table, row, false, now)
			return
		case 'unreached':
			for (let count = 0; count < UNREACHED_FAILURES; count++)
				recordResult(table, row, false, now)
			return
		default:
			result satisfies never
	}
}

function recordTime(table: ServerTable, row: number, tookMs: number): void {
	const usual = table.serviceMs[row]! || tookMs
	table.serviceMs[row] = usual + RESULT_WEIGHT * (tookMs - usual)
}

/** Lets what is held against a server grow old, so that it is tried again. */
function forgive(table: ServerTable, row: number, now: number): void {
	const age = now - table.smoothedAt[row]!
	table.smoothedAt[row] = now
	table.failureRate[row]! *= 0.5 ** (age / FORGIVE_MS)
}

/** Failures and slowness, as load, against the best of `rows`. */
function penaltiesOf(
	table: ServerTable,
	rows: readonly number[],
	now: number,
): Map<number, number> {
	const rates = rows.map(row => {
		const age = now - table.smoothedAt[row]!
		return table.failureRate[row]! * 0.5 ** (age / FORGIVE_MS)
	})
	const times = rows.map(row => table.serviceMs[row]!).filter(time => time > 0)
	const fewest = Math.min(...rates)
	const fastest = Math.min(...times)
	const penalties = new Map<number, number>()
	for (const [at, row] of rows.entries()) {
		const failing = FAILURE_LOAD * (rates[at]! - fewest)
		penalties.set(row, failing + slownessOf(table, row, fastest, now))
	}
	return penalties
}

function slownessOf(
	table: ServerTable,
	row: number,
	fastest: number,
	now: number,
): number {
	const time = table.serviceMs[row]!
	if (time === 0) return 0
	const times = Math.min(MAX_SLOW, time / fastest)
	const age = now - table.smoothedAt[row]!
	return SLOW_LOAD * (times - 1) * 0.5 ** (age / FORGIVE_MS)
}

/** Chooses a server. */
export function chooseRow(
	table: ServerTable,
	query: DispatchQuery,
	now: number,
	random: Random,
): DispatchChoice {
	const open = query.rows.filter(row => table.open[row] === 1)
	if (open.length === 0) return { kind: 'none' }
	const free = open.filter(row => !query.withheld.has(row))
	if (free.length === 0) return { kind: 'full' }
	const candidates = listSound(table, query, free, now)
	const own = listOwn(table, query)
	// Where none of its own is free, what it has sent says nothing of other entries.
	const isOwnFree = own.length === 0 || own.some(row => free.includes(row))
	const elsewhere = estimateUnreportedLoad(
		isOwnFree ? query.unreportedSends : 0,
		own.length,
	)
	const withRoom = candidates.filter(row =>
		hasRoom(table, query, row, elsewhere),
	)
	if (withRoom.length === 0) return { kind: 'full' }
	const penalties = penaltiesOf(table, candidates, now)
	let best = -1
	let bestLoad = Number.POSITIVE_INFINITY
	for (const row of drawCompared(table, query, withRoom, random)) {
		const far = query.localRows.has(row) ? 0 : FAR_LOAD
		const slow = slownessOfRank(table, row)
		const held =
			countInFlight(table, row) + elsewhere * table.assignedElsewhere[row]!
		const load = held / table.slots[row]! + far + slow + penalties.get(row)!
		if (load >= bestLoad) continue
		best = row
		bestLoad = load
	}
	return { kind: 'row', row: best }
}

function slownessOfRank(table: ServerTable, row: number): number {
	const ofGroup = GROUP_PACE_LOAD * (table.groupSlowdown[row]! - 1)
	return (
		PACE_LOAD * (table.slowdown[row]! - 1) + Math.min(MOST_GROUP_LOAD, ofGroup)
	)
}

/** Servers that the request has not been to, without those left alone. */
function listSound(
	table: ServerTable,
	{ tried }: DispatchQuery,
	open: readonly number[],
	now: number,
): readonly number[] {
	const fresh = open.filter(row => !tried.has(row))
	const untried = fresh.length > 0 ? fresh : open
	const sound = untried.filter(row => !isEjected(table, row, now))
	const enough = sound.length >= open.length * (1 - MAX_EJECTED)
	return enough && sound.length > 0 ? sound : untried
}

function hasRoom(
	table: ServerTable,
	{
		queueCapacity: queueRoom,
		closedGroups: shutGroups,
		permitted,
	}: DispatchQuery,
	row: number,
	elsewhere: number,
): boolean {
	if (shutGroups.has(table.group[row]!)) return false
	const left = Math.max(LEFT_ELSEWHERE, Math.floor(elsewhere))
	// A permit is for this entry, whoever turns to the server first.
	const isElsewhere = table.assignedElsewhere[row] === 1 && !permitted.has(row)
	const places = table.slots[row]! + queueRoom - (isElsewhere ? left : 0)
	return (
		countInFlight(table, row) <
		Math.min(places, Math.ceil(table.maxInFlight[row]!))
	)
}

/**
 * The servers that are compared, in random order: those that this entry turns to first or
 * has a permit for, and a few of the others. What entries know of each other is up to a
 * fifth of a second old; if all compared all, all would send to the same emptiest ones,
 * where requests get behind slots and wait for a stream to end.
 */
function drawCompared(
	table: ServerTable,
	{ permitted }: DispatchQuery,
	rows: readonly number[],
	random: Random,
): number[] {
	const isOwn = (row: number) =>
		table.assignedElsewhere[row] === 0 || permitted.has(row)
	const own = rows.filter(isOwn)
	const others = rows.filter(row => !isOwn(row))
	const drawn = Math.max(LEAST_DRAWN, LEAST_COMPARED - own.length)
	const compared = [...own, ...drawSome(others, drawn, random)]
	return drawSome(compared, compared.length, random)
}

/** Some of `rows`, in random order. */
function drawSome(
	rows: readonly number[],
	count: number,
	random: Random,
): number[] {
	const left = [...rows]
	const drawn: number[] = []
	while (left.length > 0 && drawn.length < count) {
		const at = randomIndex(random, left.length)
		drawn.push(left[at]!)
		left[at] = left.at(-1)!
		left.pop()
	}
	return drawn
}

/** Servers that this entry turns to first and whose groups take requests now. */
function listOwn(table: ServerTable, query: DispatchQuery): number[] {
	const { rows, closedGroups: shutGroups } = query
	const isOwn = (row: number) =>
		table.open[row] === 1 &&
		table.assignedElsewhere[row] === 0 &&
		!shutGroups.has(table.group[row]!)
	return rows.filter(isOwn)
}

/**
 * Lock-step groups that take no more, by `isOpen`, which is asked for those with a
 * limit: what their ranks may hold together, less what they do. A limit may be a
 * fraction: each rank may then hold one more than that, but not all of them. What
 * is reported of other entries counts `othersTimes`, for those not heard of.
 */
export function listFullGroups(
	table: ServerTable,
	isOpen: (group: number, room: number) => boolean = hasWholePlace,
	othersTimes = 1,
): Set<number> {
	const rooms = new Map<number, number>()
	for (const [row, group] of table.group.entries()) {
		const most = table.maxInFlight[row]!
		if (group < 0 || most === Number.POSITIVE_INFINITY) continue
		const others = othersTimes * Math.max(0, table.reportedLoad[row]!)
		const left = most - others - table.sentSinceReport[row]!
		rooms.set(group, (rooms.get(group) ?? 0) + left)
	}
	const full = [...rooms].filter(([group, room]) => !isOpen(group, room))
	return new Set(full.map(([group]) => group))
}

function hasWholePlace(_group: number, room: number): boolean {
	return room >= 1
}

/** Requests that a server holds, as far as is known. */
export function countInFlight(table: ServerTable, row: number): number {
	return Math.max(0, table.reportedLoad[row]!) + table.sentSinceReport[row]!
}
