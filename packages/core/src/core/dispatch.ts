/**
 * Selects the server for a request where an entry dispatches to servers directly: the
 * least utilized one with free capacity, according to the load known to this entry and
 * its peers. Load is requests in flight per slot.
 */

import type { Random, ServerTable } from '../internal.ts'
import {
	estimateUnreportedLoad,
	isEjected,
	penaltyBaseline,
	penaltyLoad,
	sampleItems,
} from '../internal.ts'

/** Inputs for a selection. */
export interface DispatchQuery {
	/** Rows of the service. */
	readonly rows: readonly number[]
	/** Rows to which this request has already been sent. */
	readonly tried: ReadonlySet<number>
	/** Requests that a server may queue beyond its slots. */
	readonly queueCapacity: number
	/** Numbers of the lock-step groups that accept no requests now. */
	readonly closedGroups: ReadonlySet<number>
	/** Rows of servers in this entry's data centre. */
	readonly localRows: ReadonlySet<number>
	/** Requests sent to the service since the entries last exchanged their loads. */
	readonly unreportedSends: number
	/** Rate-limited servers for which this entry has a usable permit. */
	readonly permitted: ReadonlySet<number>
	/** Servers that must not be sent anything now: no permit, in backoff, or cold and busy. */
	readonly withheld: ReadonlySet<number>
	/** Load of each unread prompt token, see {@link loadPerUnreadToken}; 0 if omitted. */
	readonly unreadLoad?: number
}

/** Result of a selection. */
export type DispatchChoice =
	| { readonly kind: 'row'; readonly row: number }
	/** All servers are full, or their groups are closed. */
	| { readonly kind: 'full' }
	/** The service has no open server. */
	| { readonly kind: 'none' }

/** Load added to a server in another data centre. */
const REMOTE_LOAD = 0.02
/** Minimum capacity reserved at a server for the entry to which it is assigned. */
const MIN_RESERVED = 1
/** Minimum servers sampled among those of other entries, and minimum compared in all. */
const MIN_SAMPLED = 2
const MIN_COMPARED = 4
/** Largest share of a service's servers that may be ejected at the same time. */
const MAX_EJECTED_SHARE = 0.5

/**
 * Load added to a rank that is twice as slow as normal: its requests lengthen every
 * pass of its group, not only their own.
 */
const SLOWDOWN_LOAD = 0.5
/**
 * Load added to all ranks of a group for one rank that is twice as slow as normal, and
 * its maximum: every pass waits for the slowest rank. From 2.5 times on, no stream of
 * the group meets its deadline at any load, and another group is preferable as long as
 * it has capacity.
 */
const GROUP_SLOWDOWN_LOAD = 0.6
const MAX_GROUP_LOAD = 1
/**
 * Load added to a cold server: it works slower, and others are preferable before it
 * refuses any request.
 */
const COLD_LOAD = 0.5
/** Selects a server. */
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
	const candidates = listHealthy(table, query, free, now)
	const assigned = listAssigned(table, query)
	// If none of its assigned servers is free, this entry sends elsewhere, and its own
	// sends do not indicate what other entries send to their servers.
	const isAssignedFree =
		assigned.length === 0 || assigned.some(row => free.includes(row))
	const unreported = estimateUnreportedLoad(
		isAssignedFree ? query.unreportedSends : 0,
		assigned.length,
	)
	const withCapacity = candidates.filter(row =>
		hasCapacity(table, query, row, unreported),
	)
	if (withCapacity.length === 0) return { kind: 'full' }
	const baseline = penaltyBaseline(table, candidates, now)
	const { unreadLoad = 0 } = query
	let best = -1
	let bestLoad = Number.POSITIVE_INFINITY
	for (const row of sampleCandidates(table, query, withCapacity, random)) {
		const remote = query.localRows.has(row) ? 0 : REMOTE_LOAD
		const slow = rankSlowdownLoad(table, row)
		const cold = coldLoad(table, row)
		const inFlight =
			countInFlight(table, row) + unreported * table.assignedElsewhere[row]!
		const load =
			inFlight / table.slots[row]! +
			remote +
			slow +
			penaltyLoad(table, row, baseline, now) +
			unreadLoad * table.unreadTokens[row]! +
			cold
		if (load >= bestLoad) continue
		best = row
		bestLoad = load
	}
	return { kind: 'row', row: best }
}

function coldLoad({ startsLeft }: ServerTable, row: number): number {
	return startsLeft[row] === Number.POSITIVE_INFINITY ? 0 : COLD_LOAD
}

function rankSlowdownLoad(table: ServerTable, row: number): number {
	const ofGroup = GROUP_SLOWDOWN_LOAD * (table.groupSlowdown[row]! - 1)
	return (
		SLOWDOWN_LOAD * (table.slowdown[row]! - 1) +
		Math.min(MAX_GROUP_LOAD, ofGroup)
	)
}

/**
 * Returns the servers not yet tried by the request, or all open ones if it has tried
 * them all; without the ejected ones unless too many are ejected.
 */
function listHealthy(
	table: ServerTable,
	{ tried }: DispatchQuery,
	open: readonly number[],
	now: number,
): readonly number[] {
	const untried = open.filter(row => !tried.has(row))
	const candidates = untried.length > 0 ? untried : open
	const healthy = candidates.filter(row => !isEjected(table, row, now))
	const enough = healthy.length >= open.length * (1 - MAX_EJECTED_SHARE)
	return enough && healthy.length > 0 ? healthy : candidates
}

function hasCapacity(
	table: ServerTable,
	{ queueCapacity, closedGroups, permitted }: DispatchQuery,
	row: number,
	unreported: number,
): boolean {
	if (closedGroups.has(table.group[row]!)) return false
	const reserved = Math.max(MIN_RESERVED, Math.floor(unreported))
	// A permit is for this entry, even at a server assigned to another one.
	const isElsewhere = table.assignedElsewhere[row] === 1 && !permitted.has(row)
	const capacity =
		table.slots[row]! + queueCapacity - (isElsewhere ? reserved : 0)
	return (
		countInFlight(table, row) <
		Math.min(capacity, Math.ceil(table.maxInFlight[row]!))
	)
}

/**
 * Returns the servers to compare, in random order: those assigned to this entry or for
 * which it has a permit, and a sample of the others. Loads reported by other entries are
 * up to 200 ms old; if every entry compared all servers, all would send to the same least
 * loaded ones, where requests exceed the slots and wait for a stream to end.
 */
function sampleCandidates(
	table: ServerTable,
	{ permitted }: DispatchQuery,
	rows: readonly number[],
	random: Random,
): number[] {
	const isPreferred = (row: number) =>
		table.assignedElsewhere[row] === 0 || permitted.has(row)
	const preferred = rows.filter(isPreferred)
	const others = rows.filter(row => !isPreferred(row))
	const sampleSize = Math.max(MIN_SAMPLED, MIN_COMPARED - preferred.length)
	const compared = [...preferred, ...sampleItems(others, sampleSize, random)]
	return sampleItems(compared, compared.length, random)
}

/** Returns the open servers assigned to this entry whose groups are not closed. */
function listAssigned(table: ServerTable, query: DispatchQuery): number[] {
	const { rows, closedGroups } = query
	const isAssigned = (row: number) =>
		table.open[row] === 1 &&
		table.assignedElsewhere[row] === 0 &&
		!closedGroups.has(table.group[row]!)
	return rows.filter(isAssigned)
}

/** Returns the requests known to be in flight at a server. */
export function countInFlight(table: ServerTable, row: number): number {
	return Math.max(0, table.reportedLoad[row]!) + table.sentSinceReport[row]!
}
