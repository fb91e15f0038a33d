/**
 * Which backend server a request goes to. Servers are rows of a table with one
 * typed array a column; a choice reads a few rows and allocates nothing.
 */

import type { Random } from '../internal.ts'
import { randomIndex } from '../internal.ts'

/** What an entry knows of its backend servers, one row each. */
export interface ServerTable {
	readonly names: string[]
	readonly rowOf: Map<string, number>
	/** 1 while the server may be given new work. */
	readonly open: Uint8Array
	/** Requests running and waiting there, as last reported. */
	readonly reportedLoad: Float64Array
	/** Sent by this entry since that report, less those ended. */
	readonly sentSinceReport: Float64Array
	/** When the report was made known here, ms. */
	readonly reportedAt: Float64Array
	/** Requests it runs at once. */
	readonly slots: Float64Array
	/** Smoothed time a request holds a slot there, ms. */
	readonly serviceMs: Float64Array
	/** Lock-step group number, or -1. */
	readonly group: Int32Array
	/** Share of the rank in its group's step time; 1 is the group's mean. */
	readonly stepShare: Float64Array
	/** Failures in a row; see {@link isEjected}. */
	readonly failures: Uint16Array
	/** Not before this time, ms, is an ejected server tried again. */
	readonly ejectedUntil: Float64Array
	/** Share of tries that failed of late. */
	readonly failureRate: Float64Array
	/** When the smoothed columns were last touched, ms. */
	readonly smoothedAt: Float64Array
	/** How slow the server says it is; 1 is its usual speed. */
	readonly slowdown: Float64Array
	/** How slow the slowest rank of its lock-step group is. */
	readonly groupSlowdown: Float64Array
	/** Requests that it may hold whatever its slots. */
	readonly maxInFlight: Float64Array
	/** 1 where another entry turns to the server first. */
	readonly assignedElsewhere: Uint8Array
}

/** Failures in a row after which a server is left alone for a while. */
export const EJECT_AFTER = 3
/** First time-out of an ejected server, ms; doubled at each further failure. */
export const EJECT_MS = 1_000
const MAX_EJECT_MS = 30_000
/** At most this share of the candidates may be ejected together. */
const MAX_EJECTED_SHARE = 0.5
/** A report older than this counts for less, by half each period, ms. */
const REPORT_HALF_LIFE_MS = 4_000
/** What a cached prefix is worth, as a share of a request's service time. */
const CACHE_CREDIT = 0.7

/** Makes a table for `names`. */
export function createServerTable(names: readonly string[]): ServerTable {
	const size = names.length
	return {
		names: [...names],
		rowOf: new Map(names.map((name, row) => [name, row])),
		open: new Uint8Array(size),
		reportedLoad: new Float64Array(size),
		sentSinceReport: new Float64Array(size),
		reportedAt: new Float64Array(size),
		slots: new Float64Array(size).fill(1),
		serviceMs: new Float64Array(size),
		group: new Int32Array(size).fill(-1),
		stepShare: new Float64Array(size).fill(1),
		failures: new Uint16Array(size),
		ejectedUntil: new Float64Array(size),
		failureRate: new Float64Array(size),
		smoothedAt: new Float64Array(size),
		slowdown: new Float64Array(size).fill(1),
		groupSlowdown: new Float64Array(size).fill(1),
		maxInFlight: new Float64Array(size).fill(Number.POSITIVE_INFINITY),
		assignedElsewhere: new Uint8Array(size),
	}
}

/** Takes over what another table knows of a server. */
export function copyServerRow(
	from: ServerTable,
	to: ServerTable,
	name: string,
): void {
	const old = from.rowOf.get(name)
	const row = to.rowOf.get(name)
	if (old === undefined || row === undefined) return
	to.reportedLoad[row] = from.reportedLoad[old]!
	to.sentSinceReport[row] = from.sentSinceReport[old]!
	to.reportedAt[row] = from.reportedAt[old]!
	to.serviceMs[row] = from.serviceMs[old]!
	to.stepShare[row] = from.stepShare[old]!
	to.failures[row] = from.failures[old]!
	to.ejectedUntil[row] = from.ejectedUntil[old]!
	to.failureRate[row] = from.failureRate[old]!
	to.smoothedAt[row] = from.smoothedAt[old]!
	to.slowdown[row] = from.slowdown[old]!
	to.groupSlowdown[row] = from.groupSlowdown[old]!
	to.maxInFlight[row] = from.maxInFlight[old]!
	to.assignedElsewhere[row] = from.assignedElsewhere[old]!
}

/** A load report from an agent. */
export interface LoadReport {
	/** Requests running and waiting. */
	readonly load: number
	readonly serviceMs: number
	/** The rank's own step time over its group's mean; 1 outside a group. */
	readonly stepShare: number
}

/** Takes in a report that arrived at `now`. */
export function applyReport(
	table: ServerTable,
	row: number,
	report: LoadReport,
	now: number,
): void {
	table.reportedLoad[row] = report.load
	table.serviceMs[row] = report.serviceMs
	table.stepShare[row] = report.stepShare
	table.sentSinceReport[row] = 0
	table.reportedAt[row] = now
}

/** Notes a request sent (`1`) or ended (`-1`) by this entry. */
export function recordSent(
	table: ServerTable,
	row: number,
	change: 1 | -1,
): void {
	table.sentSinceReport[row]! += change
}

/** Notes how a try on a server went. */
export function recordResult(
	table: ServerTable,
	row: number,
	good: boolean,
	now: number,
): void {
	if (good) {
		table.failures[row] = 0
		table.ejectedUntil[row] = 0
		return
	}
	const failures = Math.min(table.failures[row]! + 1, 1000)
	table.failures[row] = failures
	if (failures < EJECT_AFTER) return
	const pause = EJECT_MS * 2 ** (failures - EJECT_AFTER)
	table.ejectedUntil[row] = now + Math.min(pause, MAX_EJECT_MS)
}

/** Whether the server is left alone for now because of its failures. */
export function isEjected(
	table: ServerTable,
	row: number,
	now: number,
): boolean {
	return now < table.ejectedUntil[row]!
}

/** Expected time until a request sent now would finish there, ms. */
export function estimateFinishMs(
	table: ServerTable,
	row: number,
	credit: number,
	now: number,
): number {
	const age = now - table.reportedAt[row]!
	const trust = 0.5 ** (age / REPORT_HALF_LIFE_MS)
	const load = table.reportedLoad[row]! * trust + table.sentSinceReport[row]!
	const service = table.serviceMs[row]! || 1
	const rounds = Math.max(0, load) / table.slots[row]!
	const own = service * (1 - CACHE_CREDIT * credit)
	// In lock-step, work on the slowest rank is work for every rank.
	const lockStep = table.group[row]! >= 0 ? table.stepShare[row]! ** 2 : 1
	return (own + rounds * service) * lockStep
}

/** What a choice is made from. */
export interface RouteQuery {
	/** Rows that have the model or service. */
	readonly rows: readonly number[]
	/** Row not to be tried again at once, or -1. */
	readonly avoid: number
	/** Row whose prefix cache helps, or -1, and how much, 0 to 1. */
	readonly cachedRow: number
	readonly credit: number
}

/**
 * Power-of-two choice on expected finish, the cached row as a third candidate.
 * Gives -1 when no server may be given work.
 */
export function chooseServer(
	table: ServerTable,
	query: RouteQuery,
	now: number,
	random: Random,
): number {
	const usable = listUsable(table, query, now)
	if (usable.length === 0) return -1
	const candidates = [
		usable[randomIndex(random, usable.length)]!,
		usable[randomIndex(random, usable.length)]!,
	]
	if (usable.includes(query.cachedRow)) candidates.push(query.cachedRow)
	let best = -1
	let bestCost = Number.POSITIVE_INFINITY
	for (const row of candidates) {
		const credit = row === query.cachedRow ? query.credit : 0
		const cost = estimateFinishMs(table, row, credit, now)
		if (cost >= bestCost) continue
		best = row
		bestCost = cost
	}
	return best
}

/** Open rows; ejected ones too when so many are that the rest would drown. */
function listUsable(
	table: ServerTable,
	query: RouteQuery,
	now: number,
): number[] {
	const open = query.rows.filter(row => table.open[row] === 1)
	const others = open.filter(row => row !== query.avoid)
	const candidates = others.length > 0 ? others : open
	const healthy = candidates.filter(row => !isEjected(table, row, now))
	const enough = healthy.length >= candidates.length * (1 - MAX_EJECTED_SHARE)
	return enough ? healthy : candidates
}
