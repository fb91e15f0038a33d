/**
 * Enforces a server's rate limit across all entries: one entry, its permit home, issues
 * permits at the permitted rate, and no entry sends a request without one. Dividing the
 * limit between the entries would not work: with shares below one request, either each
 * entry may send one, which exceeds the limit in total, or callers that all use the same
 * entry get almost nothing.
 */

import { pickByRendezvous } from '../internal.ts'

/** Permits of one server, at its permit home. */
export interface PermitPool {
	/** When the next permit becomes usable, ms. */
	nextAt: number
}

/** Rate at which a permit home issues permits. */
export interface PermitSchedule {
	/** Interval between two permits, ms. */
	readonly intervalMs: number
	/**
	 * Set for the permit home of a minority partition: position of its permit within each
	 * interval, from 0 to 1. The permit homes of the partitions thus issue permits in
	 * turn.
	 */
	readonly phase: number | undefined
}

/** Request of an entry to a permit home. */
export interface PermitRequest {
	readonly count: number
	/** Longest wait of the entry's callers, ms. */
	readonly withinMs: number
}

/** Permits granted to an entry. */
export interface PermitGrant {
	/** Time until each of them becomes usable, ms. */
	readonly dueMs: readonly number[]
	/** Time until the next permit beyond those granted becomes usable, ms. */
	readonly waitMs: number
}

/** Numbers of reachable and of known entries, both including this one. */
export interface EntryCount {
	readonly reachable: number
	readonly known: number
	/** Index of this entry among the known ones, in the order that all entries use. */
	readonly index: number
}

const SECOND_MS = 1_000
/** Unclaimed permits accumulate for this long, ms. */
const BURST_MS = 250
/**
 * Minimum rate of permits at any limit, per second: only an answer of the server can show
 * that the limit has ended.
 */
const MIN_PER_SECOND = 0.1
/**
 * Maximum permits of a server that are issued and unused, unless more fall within the
 * minimum lifetime of a permit. Permits live long enough for an entry with little traffic
 * to use its permit for its next request. All unused permits may be used at the same
 * moment; servers tolerate 1.5 times their limit for some seconds.
 */
const MAX_UNUSED_PERMITS = 2
const MIN_LIFETIME_MS = 1_500
const MAX_LIFETIME_MS = 4_000

/** Creates a pool that has issued no permits. */
export function createPermitPool(): PermitPool {
	return { nextAt: Number.NEGATIVE_INFINITY }
}

/** Grants up to `count` permits that become usable within `withinMs`. */
export function grantPermits(
	pool: PermitPool,
	schedule: PermitSchedule,
	{ count, withinMs }: PermitRequest,
	now: number,
): PermitGrant {
	const dueMs: number[] = []
	let nextAt = alignToPhase(Math.max(pool.nextAt, now - BURST_MS), schedule)
	while (dueMs.length < count && nextAt <= now + withinMs) {
		dueMs.push(Math.max(0, nextAt - now))
		nextAt += schedule.intervalMs
	}
	if (dueMs.length > 0) pool.nextAt = nextAt
	return { dueMs, waitMs: Math.max(0, nextAt - now) }
}

function alignToPhase(
	at: number,
	{ intervalMs, phase }: PermitSchedule,
): number {
	if (phase === undefined) return at
	const first = phase * intervalMs
	return first + Math.ceil((at - first) / intervalMs) * intervalMs
}

/** Returns how long a permit stays valid once it is usable, ms. */
export function permitLifetimeMs(perSecond: number): number {
	const lifetimeMs = (MAX_UNUSED_PERMITS * SECOND_MS) / perSecond
	return Math.min(MAX_LIFETIME_MS, Math.max(MIN_LIFETIME_MS, lifetimeMs))
}

/**
 * Returns the rate at which a permit home issues permits to the reachable entries. In a
 * network partition each side has a permit home: that of a majority continues at the
 * full rate, the others at the fraction of entries that they reach.
 */
export function permitScheduleFor(
	perSecond: number,
	{ reachable, known, index }: EntryCount,
): PermitSchedule {
	const intervalMs = SECOND_MS / Math.max(perSecond, MIN_PER_SECOND)
	if (2 * reachable > known) return { intervalMs, phase: undefined }
	return { intervalMs: (intervalMs * known) / reachable, phase: index / known }
}

/** Returns a server's permit home among the reachable entries, by rendezvous hashing. */
export function findPermitHome(
	server: string,
	entries: readonly string[],
): string | undefined {
	return pickByRendezvous(server, entries)
}
