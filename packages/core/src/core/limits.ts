/**
 * Team limits on concurrency, request rate and token rate, enforced across all entries.
 * Where a limit is large enough, it is divided and each entry enforces its own share.
 * Smaller limits are enforced by one entry for all, the team's home, which the others
 * ask for admission. Dividing a limit of only a few requests per entry would not work:
 * rounded up the shares exceed the limit, rounded down some entries get nothing.
 */

import type { Bucket, ErrorKind, NotRun, TeamConfig } from '../internal.ts'
import {
	BURST_SECONDS,
	fullBucket,
	notRun,
	pickByRendezvous,
	takeFrom,
	waitFor,
} from '../internal.ts'

const CONCURRENCY_RETRY_MS = 1000
/** Minimum share, in concurrent requests or bucket size, that an entry enforces itself. */
const MIN_REQUESTS_PER_ENTRY = 4
/** Minimum token bucket that an entry enforces itself: a few large requests. */
const MIN_TOKENS_PER_ENTRY = 16_384

/** One entry's record of a team's usage. */
export interface TeamRow {
	readonly requests: Bucket
	readonly tokens: Bucket
	/** Requests in flight at this entry. */
	inFlight: number
	/** Admission requests of this entry that the team's home has not answered yet. */
	asking: number
	/** Number of requests that this entry last reported to the team's home. */
	told: number
	/**
	 * Whether the last report was part of an admission request: the home then adds the
	 * requests that it admits.
	 */
	isToldByAsk: boolean
	/** At the team's home: requests in flight at the other entries, by entry. */
	readonly elsewhere: Map<string, number>
}

/** Usage of all teams seen at this entry. */
export type LimitTable = Map<string, TeamRow>

/** An entry's share of the limits. */
export interface EntryPart {
	/** Live entries, including this one. */
	readonly count: number
	/** Index of this entry in the order that all entries use, from 0. */
	readonly place: number
}

/** Share of a single entry. */
export const WHOLE_PART: EntryPart = { count: 1, place: 0 }

/** Request of an entry to a team's home for the admission of one request. */
export interface TeamAsk {
	readonly entry: string
	/** Requests in flight at the entry, plus earlier admission requests not yet answered. */
	readonly held: number
	/** Expected token cost of the request. */
	readonly tokens: number
}

/** Creates an empty table. */
export function createLimits(): LimitTable {
	return new Map()
}

/** Whether the team's home enforces the limit for all of `entries` live entries. */
export function isKeptAtHome(limit: TeamConfig, entries: number): boolean {
	if (entries <= 1) return false
	const { concurrency, ratePerSecond, tokensPerSecond } = limit
	return (
		concurrency < MIN_REQUESTS_PER_ENTRY * entries ||
		ratePerSecond * BURST_SECONDS < MIN_REQUESTS_PER_ENTRY * entries ||
		tokensPerSecond * BURST_SECONDS < MIN_TOKENS_PER_ENTRY * entries
	)
}

/** Returns the team's home among the live entries, by rendezvous hashing. */
export function findTeamHome(
	team: string,
	entries: readonly string[],
): string | undefined {
	return pickByRendezvous(team, entries)
}

/**
 * Admits a request of `tokens` expected tokens within this entry's share of the limit,
 * or refuses it with the time until the share allows it.
 */
export function admitTeam(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	tokens: number,
	part: EntryPart,
	now: number,
): NotRun | undefined {
	const share = 1 / part.count
	const row = teamRow(table, team, limit, share, now)
	// At least one, so that an entry keeps serving while the team's home does not answer.
	const maxRunning = Math.max(1, integerShare(limit.concurrency, part))
	const refusal = admit(
		row,
		limit,
		share,
		row.inFlight,
		maxRunning,
		tokens,
		now,
	)
	if (!refusal) row.inFlight++
	return refusal
}

/** Admits or refuses a request of another entry, at the team's home. */
export function admitForEntry(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	{ entry, held, tokens }: TeamAsk,
	now: number,
): NotRun | undefined {
	const row = teamRow(table, team, limit, 1, now)
	row.elsewhere.set(entry, held)
	const refusal = admitForAll(row, limit, tokens, now)
	if (!refusal) row.elsewhere.set(entry, held + 1)
	return refusal
}

/** Admits or refuses a request that the team's home itself received. */
export function admitAtHome(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	tokens: number,
	now: number,
): NotRun | undefined {
	const row = teamRow(table, team, limit, 1, now)
	const refusal = admitForAll(row, limit, tokens, now)
	if (!refusal) row.inFlight++
	return refusal
}

/** Begins an admission request to the team's home; returns its `held` count. */
export function beginTeamAsk(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	now: number,
): number {
	const row = teamRow(table, team, limit, 1, now)
	row.told = countOwn(row)
	row.isToldByAsk = true
	row.asking++
	return row.told
}

/**
 * Ends an admission request to the team's home; answers arrive in the order of the
 * requests. Returns true if the home's count differs from the requests in flight, so
 * that a new report is needed.
 */
export function endTeamAsk(
	table: LimitTable,
	team: string,
	isAdmitted: boolean,
): boolean {
	const row = table.get(team)
	if (!row) return false
	row.asking--
	if (isAdmitted) row.inFlight++
	if (row.asking > 0) return false
	const added = row.isToldByAsk && isAdmitted ? 1 : 0
	return row.told + added !== row.inFlight
}

/** Records at the team's home the requests in flight at another entry. */
export function noteTeamHeld(
	table: LimitTable,
	team: string,
	entry: string,
	held: number,
): void {
	const row = table.get(team)
	if (!row) return
	if (held > 0) row.elsewhere.set(entry, held)
	else row.elsewhere.delete(entry)
}

/** Records a report to the team's home and returns the count to report. */
export function tellTeamHeld(table: LimitTable, team: string): number {
	const row = table.get(team)
	if (!row) return 0
	row.told = countOwn(row)
	row.isToldByAsk = false
	return row.told
}

/** Drops the counts of entries that are gone, and of teams whose home is another entry. */
export function forgetElsewhere(
	table: LimitTable,
	entries: ReadonlySet<string>,
	isHome: (team: string) => boolean,
): void {
	for (const [team, { elsewhere }] of table)
		for (const entry of elsewhere.keys())
			if (!entries.has(entry) || !isHome(team)) elsewhere.delete(entry)
}

/** Records that an admitted request has ended. */
export function releaseTeam(table: LimitTable, team: string): void {
	const row = table.get(team)
	if (row) row.inFlight--
}

function countOwn({ inFlight, asking }: TeamRow): number {
	return inFlight + asking
}

function countRunning({ inFlight, elsewhere }: TeamRow): number {
	return [...elsewhere.values()].reduce((sum, held) => sum + held, inFlight)
}

/** Returns an entry's share of an integer; the shares of all entries add up to it. */
function integerShare(whole: number, { count, place }: EntryPart): number {
	return Math.floor(whole / count) + (place < whole % count ? 1 : 0)
}

function teamRow(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	share: number,
	now: number,
): TeamRow {
	const known = table.get(team)
	if (known) return known
	const row: TeamRow = {
		requests: fullBucket(limit.ratePerSecond * share, now),
		tokens: fullBucket(limit.tokensPerSecond * share, now),
		inFlight: 0,
		asking: 0,
		told: 0,
		isToldByAsk: false,
		elsewhere: new Map(),
	}
	table.set(team, row)
	return row
}

/** Admits or refuses a request against the whole limit, counting all entries. */
function admitForAll(
	row: TeamRow,
	limit: TeamConfig,
	tokens: number,
	now: number,
): NotRun | undefined {
	const { concurrency } = limit
	return admit(row, limit, 1, countRunning(row), concurrency, tokens, now)
}

/** Takes a request from both buckets, or returns a refusal with its waiting time. */
function admit(
	row: TeamRow,
	limit: TeamConfig,
	share: number,
	running: number,
	maxRunning: number,
	tokens: number,
	now: number,
): NotRun | undefined {
	if (running >= maxRunning)
		return notRun('teamConcurrency', CONCURRENCY_RETRY_MS)
	const wait = waitFor(row.requests, limit.ratePerSecond * share, 1, now)
	if (wait > 0) return refuse('teamRate', wait)
	const tokenRate = limit.tokensPerSecond * share
	const tokenWait = waitFor(row.tokens, tokenRate, tokens, now)
	if (tokenWait > 0) return refuse('teamTokens', tokenWait)
	takeFrom(row.requests, 1)
	takeFrom(row.tokens, tokens)
	return undefined
}

function refuse(kind: ErrorKind, waitMs: number): NotRun {
	return notRun(kind, Math.ceil(waitMs))
}
