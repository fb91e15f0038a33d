/**
 * Selects the backend server for a request. Servers are rows of a table with one typed
 * array per column.
 */

import type { Random } from '../internal.ts'
import { randomIndex } from '../internal.ts'

/** State of the backend servers as known to an entry, one row each. */
export interface ServerTable {
	readonly names: string[]
	readonly rowOf: Map<string, number>
	/** 1 while the server accepts new requests. */
	readonly open: Uint8Array
	/** Requests running and waiting there, as last reported. */
	readonly reportedLoad: Float64Array
	/** Requests sent by this entry since that report, less those that ended. */
	readonly sentSinceReport: Float64Array
	/** When the report arrived here, ms. */
	readonly reportedAt: Float64Array
	/** Requests it runs concurrently. */
	readonly slots: Float64Array
	/** Smoothed time for which a request occupies a slot, ms. */
	readonly serviceMs: Float64Array
	/** Lock-step group number, or -1. */
	readonly group: Int32Array
	/** The rank's step time relative to its group; 1 is the group's mean. */
	readonly stepShare: Float64Array
	/** Consecutive failures; see {@link isEjected}. */
	readonly failures: Uint16Array
	/** Time until which the server is ejected, ms. */
	readonly ejectedUntil: Float64Array
	/** Smoothed share of recent attempts that failed. */
	readonly failureRate: Float64Array
	/** When the failure rate was last updated, ms. */
	readonly smoothedAt: Float64Array
	/** Slowdown that the server reports; 1 is its normal speed. */
	readonly slowdown: Float64Array
	/** Slowdown of the slowest rank of its lock-step group. */
	readonly groupSlowdown: Float64Array
	/** Maximum requests in flight at the server, independent of its slots. */
	readonly maxInFlight: Float64Array
	/** 1 if the server is assigned to another entry, which prefers it. */
	readonly assignedElsewhere: Uint8Array
	/** Prompt tokens sent by this entry whose answers have not begun. */
	readonly unreadTokens: Float64Array
	/**
	 * Requests that all entries together may start there now: infinite at a warm server,
	 * estimated from this entry's share at a cold one, 0 at one that is closed.
	 */
	readonly startsLeft: Float64Array
}

/** Consecutive failures after which a server is ejected for some time. */
export const EJECT_AFTER = 3
/** First ejection time, ms; doubled at each further failure. */
export const EJECT_MS = 1_000
const MAX_EJECT_MS = 30_000
/** Largest share of the candidates that may be ejected at the same time. */
const MAX_EJECTED_SHARE = 0.5
/** Half-life of the weight of a load report, ms. */
const REPORT_HALF_LIFE_MS = 4_000
/** Share of a request's service time that a cached prefix saves. */
const CACHE_SAVING = 0.7

/** Creates a table for `names`. */
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
		unreadTokens: new Float64Array(size),
		startsLeft: new Float64Array(size).fill(Number.POSITIVE_INFINITY),
	}
}

/** Copies a server's state from another table. */
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
	to.unreadTokens[row] = from.unreadTokens[old]!
}

/** Load report of an agent. */
export interface LoadReport {
	/** Requests running and waiting. */
	readonly load: number
	readonly serviceMs: number
	/** The rank's step time divided by its group's mean; 1 outside a group. */
	readonly stepShare: number
}

/** Applies a report that arrived at `now`. */
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

/** Records that a request of this entry was sent (`1`) or ended (`-1`). */
export function recordSent(
	table: ServerTable,
	row: number,
	change: 1 | -1,
): void {
	table.sentSinceReport[row]! += change
}

/** Records the outcome of an attempt in the server's circuit breaker. */
export function recordResult(
	table: ServerTable,
	row: number,
	isSuccess: boolean,
	now: number,
): void {
	if (isSuccess) {
		table.failures[row] = 0
		table.ejectedUntil[row] = 0
		return
	}
	const failures = Math.min(table.failures[row]! + 1, 1000)
	table.failures[row] = failures
	if (failures < EJECT_AFTER) return
	const ejectedMs = EJECT_MS * 2 ** (failures - EJECT_AFTER)
	table.ejectedUntil[row] = now + Math.min(ejectedMs, MAX_EJECT_MS)
}

/** Whether the server is ejected because of its failures. */
export function isEjected(
	table: ServerTable,
	row: number,
	now: number,
): boolean {
	return now < table.ejectedUntil[row]!
}

/** Estimates the time until a request sent now would finish there, ms. */
export function estimateFinishMs(
	table: ServerTable,
	row: number,
	cacheConfidence: number,
	now: number,
): number {
	const age = now - table.reportedAt[row]!
	const reportWeight = 0.5 ** (age / REPORT_HALF_LIFE_MS)
	const load =
		table.reportedLoad[row]! * reportWeight + table.sentSinceReport[row]!
	const service = table.serviceMs[row]! || 1
	const rounds = Math.max(0, load) / table.slots[row]!
	const own = service * (1 - CACHE_SAVING * cacheConfidence)
	// In a lock-step group, work on the slowest rank delays every rank.
	const lockStepFactor = table.group[row]! >= 0 ? table.stepShare[row]! ** 2 : 1
	return (own + rounds * service) * lockStepFactor
}

/** Inputs for a selection. */
export interface RouteQuery {
	/** Rows that serve the model or service. */
	readonly rows: readonly number[]
	/** Row to avoid if there is another one, or -1. */
	readonly avoid: number
	/** Row that likely has the request's prefix cached, or -1. */
	readonly cachedRow: number
	/** Confidence that it has, 0 to 1. */
	readonly cacheConfidence: number
}

/**
 * Selects a server by the power of two choices on the estimated finish time, with the
 * cached row as a third candidate. Returns -1 if no server accepts requests.
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
		const cacheConfidence = row === query.cachedRow ? query.cacheConfidence : 0
		const cost = estimateFinishMs(table, row, cacheConfidence, now)
		if (cost >= bestCost) continue
		best = row
		bestCost = cost
	}
	return best
}

/** Returns open rows, including ejected ones if the others would be overloaded. */
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
