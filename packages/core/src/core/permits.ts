/**
 * Keeps a server's limit across all entries: one of them, its home, hands out permits
 * one after the other, and nothing is sent without one. A part of the limit for each
 * entry would not do: where it is less than a request, either each may send one, which
 * is too much in all, or callers that all use one entry get next to nothing.
 */

import { pickByRendezvous } from '../internal.ts'

/** The permits of one server, at its home. */
export interface PermitPool {
	/** When the next permit falls due, ms. */
	nextAt: number
}

/** How fast a home gives permits out. */
export interface PermitSchedule {
	/** Between two permits, ms. */
	readonly gapMs: number
	/**
	 * Of a home of a few entries that are cut off from the others: where in each gap its
	 * permit falls due, from 0 to 1. The homes of all parts give theirs in turn.
	 */
	readonly phase: number | undefined
}

/** What an entry asks a home for. */
export interface PermitRequest {
	readonly count: number
	/** How long its callers can wait, ms. */
	readonly withinMs: number
}

/** What it gets. */
export interface PermitGrant {
	/** When each of them may be used, from now, ms. */
	readonly dueMs: readonly number[]
	/** Until the next one falls due that was not given, ms. */
	readonly waitMs: number
}

/** Entries that a home hears, and that it knows of; itself is one of both. */
export interface EntryCount {
	readonly reachable: number
	readonly known: number
	/** Its place among those that it knows of, in an order that all share. */
	readonly index: number
}

const SECOND_MS = 1_000
/** Permits that nobody asked for are kept for this long, ms. */
const BURST_MS = 250
/**
 * So much is let through whatever the limit, a second: only an answer can tell that the
 * limit has ended.
 */
const LEAST_PER_SECOND = 0.1
/**
 * So many permits of a server may be out and unused, or what falls due in the least life
 * of one: an entry that few requests come to keeps its permit for the next one. All that
 * is out may be used at once; servers bear half as much again as their limit for seconds.
 */
const UNUSED_PERMITS = 2
const LEAST_LIFE_MS = 1_500
const MOST_LIFE_MS = 4_000

/** Makes a pool that has given nothing. */
export function createPermitPool(): PermitPool {
	return { nextAt: Number.NEGATIVE_INFINITY }
}

/** Takes permits from a pool. */
export function grantPermits(
	pool: PermitPool,
	pace: PermitSchedule,
	{ count, withinMs }: PermitRequest,
	now: number,
): PermitGrant {
	const dueMs: number[] = []
	let next = fitToPhase(Math.max(pool.nextAt, now - BURST_MS), pace)
	while (dueMs.length < count && next <= now + withinMs) {
		dueMs.push(Math.max(0, next - now))
		next += pace.gapMs
	}
	if (dueMs.length > 0) pool.nextAt = next
	return { dueMs, waitMs: Math.max(0, next - now) }
}

function fitToPhase(at: number, { gapMs, phase }: PermitSchedule): number {
	if (phase === undefined) return at
	const first = phase * gapMs
	return first + Math.ceil((at - first) / gapMs) * gapMs
}

/** How long a permit may be used once it is due, ms. */
export function permitLifeMs(perSecond: number): number {
	const lifeMs = (UNUSED_PERMITS * SECOND_MS) / perSecond
	return Math.min(MOST_LIFE_MS, Math.max(LEAST_LIFE_MS, lifeMs))
}

/**
 * How fast a home gives permits to those that it hears. Where entries are cut into
 * parts each part has a home: the largest goes on as before, the others keep to their
 * part of the limit.
 */
export function permitScheduleFor(
	perSecond: number,
	{ reachable: heard, known, index: place }: EntryCount,
): PermitSchedule {
	const gapMs = SECOND_MS / Math.max(perSecond, LEAST_PER_SECOND)
	if (2 * heard > known) return { gapMs, phase: undefined }
	return { gapMs: (gapMs * known) / heard, phase: place / known }
}

/** Which of the entries that are heard is home to a server's permits. */
export function findPermitHome(
	server: string,
	entries: readonly string[],
): string | undefined {
	return pickByRendezvous(server, entries)
}
