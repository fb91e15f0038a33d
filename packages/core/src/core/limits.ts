/**
 * Limits of teams. Entries share nothing, so each enforces its share: the
 * configured limit over the number of live entries.
 */

import type { ErrorKind, NotRun, TeamConfig } from '../internal.ts'
import { notRun } from '../internal.ts'

/** How much a bucket holds, in seconds of its rate. */
const BURST_SECONDS = 2
const MS = 1000

interface Bucket {
	level: number
	filledAt: number
}

/** One team's use at this entry. */
export interface TeamRow {
	readonly requests: Bucket
	readonly tokens: Bucket
	inFlight: number
}

/** All teams seen at this entry. */
export type LimitTable = Map<string, TeamRow>

/** Makes an empty table. */
export function createLimits(): LimitTable {
	return new Map()
}

/**
 * Admits a request of `tokens` expected tokens, or refuses it with the time at
 * which the share will allow it. `entries` is the number of live entries.
 */
export function admitTeam(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	tokens: number,
	entries: number,
	now: number,
): NotRun | undefined {
	const share = 1 / Math.max(1, entries)
	const row = table.get(team) ?? createRow(limit, share, now)
	table.set(team, row)
	const most = Math.max(1, Math.ceil(limit.concurrency * share))
	if (row.inFlight >= most) return notRun('teamConcurrency', MS)
	const rate = limit.ratePerSecond * share
	const tokenRate = limit.tokensPerSecond * share
	const wait = waitFor(row.requests, rate, 1, now)
	if (wait > 0) return refuse('teamRate', wait)
	const tokenWait = waitFor(row.tokens, tokenRate, tokens, now)
	if (tokenWait > 0) return refuse('teamTokens', tokenWait)
	row.requests.level -= 1
	row.tokens.level -= tokens
	row.inFlight++
	return undefined
}

/** Notes that an admitted request ended, `unused` of its tokens not spent. */
export function releaseTeam(
	table: LimitTable,
	team: string,
	unused: number,
): void {
	const row = table.get(team)
	if (!row) return
	row.inFlight--
	row.tokens.level += unused
}

function createRow(limit: TeamConfig, share: number, now: number): TeamRow {
	const requests = capacityOf(limit.ratePerSecond * share)
	const tokens = capacityOf(limit.tokensPerSecond * share)
	return {
		requests: { level: requests, filledAt: now },
		tokens: { level: tokens, filledAt: now },
		inFlight: 0,
	}
}

function capacityOf(rate: number): number {
	return Math.max(1, rate * BURST_SECONDS)
}

/** Fills the bucket up to `now`; gives the ms until `amount` may be taken. */
function waitFor(
	bucket: Bucket,
	rate: number,
	amount: number,
	now: number,
): number {
	const capacity = capacityOf(rate)
	const gained = ((now - bucket.filledAt) / MS) * rate
	bucket.level = Math.min(capacity, bucket.level + gained)
	bucket.filledAt = now
	// A request larger than the bucket may go when the bucket is full.
	const needed = Math.min(amount, capacity)
	if (bucket.level >= needed) return 0
	return ((needed - bucket.level) / rate) * MS
}

function refuse(kind: ErrorKind, waitMs: number): NotRun {
	return notRun(kind, Math.ceil(waitMs))
}
