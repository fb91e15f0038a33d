/**
 * Team limits on concurrency, request rate and token rate, enforced across all entries.
 * Where a limit is large enough, it is divided and each entry enforces its own share.
 * Smaller limits are enforced by one entry for all, the team home, from which the others
 * request admission. Dividing a limit of only a few requests per entry would not work:
 * rounded up, the shares exceed the limit; rounded down, some entries get nothing.
 */

import type { ErrorKind, NotRun, TeamConfig, TokenBucket } from '../internal.ts'
import {
	BURST_SECONDS,
	createTokenBucket,
	notRun,
	pickByRendezvous,
	refillAndGetWaitMs,
	takeTokens,
} from '../internal.ts'

const CONCURRENCY_RETRY_MS = 1000
/** Minimum share, in concurrent requests or bucket size, that an entry enforces itself. */
const MIN_REQUESTS_PER_ENTRY = 4
/** Minimum token bucket that an entry enforces itself: a few large requests. */
const MIN_TOKENS_PER_ENTRY = 16_384

/** One entry's record of a team's usage. */
export interface TeamRow {
	readonly requests: TokenBucket
	readonly tokens: TokenBucket
	/** Requests in flight at this entry. */
	inFlight: number
	/** Admission requests of this entry that the team home has not answered yet. */
	pendingAtTeamHome: number
	/** Number of requests that this entry last reported to the team home. */
	reportedToTeamHome: number
	/**
	 * Whether the last report was part of an admission request: the team home then adds
	 * the requests that it admits.
	 */
	isReportedByRequest: boolean
	/** At the team home: requests in flight at the other entries, by entry. */
	readonly inFlightElsewhere: Map<string, number>
}

/** Usage of all teams seen at this entry. */
export type LimitTable = Map<string, TeamRow>

/** An entry's share of the limits. */
export interface LimitShare {
	/** Live entries, including this one. */
	readonly count: number
	/** Index of this entry in the order that all entries use, from 0. */
	readonly index: number
}

/** Share of a single entry. */
export const FULL_SHARE: LimitShare = { count: 1, index: 0 }

/** Request of an entry to the team home for the admission of one request. */
export interface TeamAdmissionRequest {
	readonly entry: string
	/** Requests in flight at the entry, plus its admission requests not yet answered. */
	readonly held: number
	/** Expected token cost of the request. */
	readonly tokens: number
}

/** Creates an empty table. */
export function createLimits(): LimitTable {
	return new Map()
}

/** Whether the team home enforces the limit for all of `entries` live entries. */
export function isEnforcedAtTeamHome(
	limit: TeamConfig,
	entries: number,
): boolean {
	if (entries <= 1) return false
	const { concurrency, ratePerSecond, tokensPerSecond } = limit
	return (
		concurrency < MIN_REQUESTS_PER_ENTRY * entries ||
		ratePerSecond * BURST_SECONDS < MIN_REQUESTS_PER_ENTRY * entries ||
		tokensPerSecond * BURST_SECONDS < MIN_TOKENS_PER_ENTRY * entries
	)
}

/** Returns the team home among the live entries, by rendezvous hashing. */
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
export function admitWithinShare(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	tokens: number,
	share: LimitShare,
	now: number,
): NotRun | undefined {
	const fraction = 1 / share.count
	const row = teamRow(table, team, limit, fraction, now)
	// At least one, so that an entry keeps serving while the team home does not answer.
	const maxInFlight = Math.max(1, integerShare(limit.concurrency, share))
	const refusal = admit(
		row,
		limit,
		fraction,
		row.inFlight,
		maxInFlight,
		tokens,
		now,
	)
	if (!refusal) row.inFlight++
	return refusal
}

/** Admits or refuses a request of another entry, at the team home. */
export function admitForEntry(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	{ entry, held, tokens }: TeamAdmissionRequest,
	now: number,
): NotRun | undefined {
	const row = teamRow(table, team, limit, 1, now)
	row.inFlightElsewhere.set(entry, held)
	const refusal = admitForAll(row, limit, tokens, now)
	if (!refusal) row.inFlightElsewhere.set(entry, held + 1)
	return refusal
}

/** Admits or refuses a request that the team home itself received. */
export function admitAtTeamHome(
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

/** Begins an admission request to the team home; returns its `held` count. */
export function beginTeamHomeAdmission(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	now: number,
): number {
	const row = teamRow(table, team, limit, 1, now)
	row.reportedToTeamHome = countOwnInFlight(row)
	row.isReportedByRequest = true
	row.pendingAtTeamHome++
	return row.reportedToTeamHome
}

/**
 * Ends an admission request to the team home; answers arrive in the order of the
 * requests. Returns true if the team home's count differs from the requests in flight,
 * so that a new report is needed.
 */
export function endTeamHomeAdmission(
	table: LimitTable,
	team: string,
	isAdmitted: boolean,
): boolean {
	const row = table.get(team)
	if (!row) return false
	row.pendingAtTeamHome--
	if (isAdmitted) row.inFlight++
	if (row.pendingAtTeamHome > 0) return false
	const added = row.isReportedByRequest && isAdmitted ? 1 : 0
	return row.reportedToTeamHome + added !== row.inFlight
}

/** Records at the team home the requests in flight at another entry. */
export function recordTeamInFlight(
	table: LimitTable,
	team: string,
	entry: string,
	inFlight: number,
): void {
	const row = table.get(team)
	if (!row) return
	if (inFlight > 0) row.inFlightElsewhere.set(entry, inFlight)
	else row.inFlightElsewhere.delete(entry)
}

/** Records a report to the team home and returns the count to report. */
export function reportTeamInFlight(table: LimitTable, team: string): number {
	const row = table.get(team)
	if (!row) return 0
	row.reportedToTeamHome = countOwnInFlight(row)
	row.isReportedByRequest = false
	return row.reportedToTeamHome
}

/**
 * Removes the counts of entries that are no longer live, and those of teams whose team
 * home is another entry.
 */
export function pruneInFlightElsewhere(
	table: LimitTable,
	entries: ReadonlySet<string>,
	isTeamHome: (team: string) => boolean,
): void {
	for (const [team, { inFlightElsewhere }] of table)
		for (const entry of inFlightElsewhere.keys())
			if (!entries.has(entry) || !isTeamHome(team))
				inFlightElsewhere.delete(entry)
}

/** Records that an admitted request has ended. */
export function releaseTeam(table: LimitTable, team: string): void {
	const row = table.get(team)
	if (row) row.inFlight--
}

function countOwnInFlight({ inFlight, pendingAtTeamHome }: TeamRow): number {
	return inFlight + pendingAtTeamHome
}

function countAllInFlight({ inFlight, inFlightElsewhere }: TeamRow): number {
	return [...inFlightElsewhere.values()].reduce(
		(sum, count) => sum + count,
		inFlight,
	)
}

/** Returns an entry's share of an integer; the shares of all entries add up to it. */
function integerShare(whole: number, { count, index }: LimitShare): number {
	return Math.floor(whole / count) + (index < whole % count ? 1 : 0)
}

function teamRow(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	fraction: number,
	now: number,
): TeamRow {
	const known = table.get(team)
	if (known) return known
	const row: TeamRow = {
		requests: createTokenBucket(limit.ratePerSecond * fraction, now),
		tokens: createTokenBucket(limit.tokensPerSecond * fraction, now),
		inFlight: 0,
		pendingAtTeamHome: 0,
		reportedToTeamHome: 0,
		isReportedByRequest: false,
		inFlightElsewhere: new Map(),
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
	return admit(row, limit, 1, countAllInFlight(row), concurrency, tokens, now)
}

/** Takes a request from both buckets, or returns a refusal with its waiting time. */
function admit(
	row: TeamRow,
	limit: TeamConfig,
	fraction: number,
	inFlight: number,
	maxInFlight: number,
	tokens: number,
	now: number,
): NotRun | undefined {
	if (inFlight >= maxInFlight)
		return notRun('teamConcurrency', CONCURRENCY_RETRY_MS)
	const wait = refillAndGetWaitMs(
		row.requests,
		limit.ratePerSecond * fraction,
		1,
		now,
	)
	if (wait > 0) return refuse('teamRate', wait)
	const tokenRate = limit.tokensPerSecond * fraction
	const tokenWait = refillAndGetWaitMs(row.tokens, tokenRate, tokens, now)
	if (tokenWait > 0) return refuse('teamTokens', tokenWait)
	takeTokens(row.requests, 1)
	takeTokens(row.tokens, tokens)
	return undefined
}

function refuse(kind: ErrorKind, waitMs: number): NotRun {
	return notRun(kind, Math.ceil(waitMs))
}
