/**
 * Limits of teams, kept by the sum of all entries. Where a limit gives every entry enough
 * to keep its part alone, each has a whole part. The others one entry keeps for all: the
 * team's home, which the others ask. A part of less than a few requests for each entry
 * would do neither: rounded up it is too much in all, rounded down some get nothing.
 */

import type { ErrorKind, NotRun, TeamConfig, TokenBucket } from '../internal.ts'
import {
	BURST_SECONDS,
	createTokenBucket,
	notRun,
	pickByRendezvous,
	refillBucket,
	takeTokens,
} from '../internal.ts'

const MS = 1000
/** Least requests, under way or in a bucket, with which an entry keeps its part. */
const LEAST_REQUESTS = 4
/** Least tokens in a bucket with which an entry keeps its part: some large requests. */
const LEAST_TOKENS = 16_384

/** What one entry knows of one team's use. */
export interface TeamRow {
	readonly requests: TokenBucket
	readonly tokens: TokenBucket
	/** Requests under way at this entry. */
	inFlight: number
	/** Requests of this entry about which the team's home has been asked. */
	pendingAtHome: number
	/** What the team's home was last told that this entry holds. */
	reportedToHome: number
	/** Whether that was told by a question: the home adds what it admits. */
	isReportedByRequest: boolean
	/** At the team's home: requests under way at the others, by entry. */
	readonly inFlightElsewhere: Map<string, number>
}

/** All teams seen at this entry. */
export type LimitTable = Map<string, TeamRow>

/** One of the entries that share the limits. */
export interface LimitShare {
	/** Live entries, this one counted. */
	readonly count: number
	/** Its place in their order, which all share, from 0. */
	readonly index: number
}

/** The part of an entry that is alone. */
export const FULL_SHARE: LimitShare = { count: 1, index: 0 }

/** What an entry asks a team's home. */
export interface TeamAdmissionRequest {
	readonly entry: string
	/** Requests under way there, and asked about before this one. */
	readonly held: number
	/** Tokens that the request is expected to cost. */
	readonly tokens: number
}

/** Makes an empty table. */
export function createLimits(): LimitTable {
	return new Map()
}

/** Whether a team's home decides for all of `entries` live entries. */
export function isEnforcedAtTeamHome(limit: TeamConfig, entries: number): boolean {
	if (entries <= 1) return false
	const { concurrency, ratePerSecond, tokensPerSecond } = limit
	return (
		concurrency < LEAST_REQUESTS * entries ||
		ratePerSecond * BURST_SECONDS < LEAST_REQUESTS * entries ||
		tokensPerSecond * BURST_SECONDS < LEAST_TOKENS * entries
	)
}

/** Which of the live entries keeps a team's limit for all. */
export function findTeamHome(
	team: string,
	entries: readonly string[],
): string | undefined {
	return pickByRendezvous(team, entries)
}

/**
 * Admits a request of `tokens` expected tokens within this entry's part of the limit, or
 * refuses it with the time at which the part will allow it.
 */
export function admitWithinShare(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	tokens: number,
	part: LimitShare,
	now: number,
): NotRun | undefined {
	const share = 1 / part.count
	const row = teamRow(table, team, limit, share, now)
	// One at least: an entry whose team's home is silent goes on.
	const most = Math.max(1, wholePart(limit.concurrency, part))
	const refusal = admit(row, limit, share, row.inFlight, most, tokens, now)
	if (!refusal) row.inFlight++
	return refusal
}

/** Admits a request of another entry at the team's home. */
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

/** Admits a request of the team's home itself. */
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

/** Notes that the team's home is about to be asked; gives what to tell it as held. */
export function beginTeamHomeAdmission(
	table: LimitTable,
	team: string,
	limit: TeamConfig,
	now: number,
): number {
	const row = teamRow(table, team, limit, 1, now)
	row.reportedToHome = heldByEntry(row)
	row.isReportedByRequest = true
	row.pendingAtHome++
	return row.reportedToHome
}

/**
 * Notes what came of a question to the team's home; answers come in the order of the
 * questions. True when the home believes something else than what is under way.
 */
export function endTeamHomeAdmission(
	table: LimitTable,
	team: string,
	isAdmitted: boolean,
): boolean {
	const row = table.get(team)
	if (!row) return false
	row.pendingAtHome--
	if (isAdmitted) row.inFlight++
	if (row.pendingAtHome > 0) return false
	const added = row.isReportedByRequest && isAdmitted ? 1 : 0
	return row.reportedToHome + added !== row.inFlight
}

/** Notes at the team's home what another entry has under way. */
export function recordTeamInFlight(
	table: LimitTable,
	team: string,
	entry: string,
	held: number,
): void {
	const row = table.get(team)
	if (!row) return
	if (held > 0) row.inFlightElsewhere.set(entry, held)
	else row.inFlightElsewhere.delete(entry)
}

/** Notes that the team's home is told what this entry holds; gives that. */
export function reportTeamInFlight(table: LimitTable, team: string): number {
	const row = table.get(team)
	if (!row) return 0
	row.reportedToHome = heldByEntry(row)
	row.isReportedByRequest = false
	return row.reportedToHome
}

/** Forgets what entries held that are gone, or all of a team that has another home. */
export function pruneInFlightElsewhere(
	table: LimitTable,
	entries: ReadonlySet<string>,
	isHome: (team: string) => boolean,
): void {
	for (const [team, { inFlightElsewhere: elsewhere }] of table)
		for (const entry of elsewhere.keys())
			if (!entries.has(entry) || !isHome(team)) elsewhere.delete(entry)
}

/** Notes that an admitted request ended. */
export function releaseTeam(table: LimitTable, team: string): void {
	const row = table.get(team)
	if (row) row.inFlight--
}

function heldByEntry({ inFlight, pendingAtHome: asking }: TeamRow): number {
	return inFlight + asking
}

function countRunning({
	inFlight,
	inFlightElsewhere: elsewhere,
}: TeamRow): number {
	return [...elsewhere.values()].reduce((sum, held) => sum + held, inFlight)
}

/** An entry's part of a whole number; all parts add up to it. */
function wholePart(whole: number, { count, index: place }: LimitShare): number {
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
		requests: createTokenBucket(limit.ratePerSecond * share, now),
		tokens: createTokenBucket(limit.tokensPerSecond * share, now),
		inFlight: 0,
		pendingAtHome: 0,
		reportedToHome: 0,
		isReportedByRequest: false,
		inFlightElsewhere: new Map(),
	}
	table.set(team, row)
	return row
}

/** Admits a request within the whole limit, as all entries use it. */
function admitForAll(
	row: TeamRow,
	limit: TeamConfig,
	tokens: number,
	now: number,
): NotRun | undefined {
	const { concurrency } = limit
	return admit(row, limit, 1, countRunning(row), concurrency, tokens, now)
}

/** Takes a request out of both buckets, or tells what it is to wait for. */
function admit(
	row: TeamRow,
	limit: TeamConfig,
	share: number,
	running: number,
	most: number,
	tokens: number,
	now: number,
): NotRun | undefined {
	if (running >= most) return notRun('teamConcurrency', MS)
	const wait = refillBucket(row.requests, limit.ratePerSecond * share, 1, now)
	if (wait > 0) return refuse('teamRate', wait)
	const tokenRate = limit.tokensPerSecond * share
	const tokenWait = refillBucket(row.tokens, tokenRate, tokens, now)
	if (tokenWait > 0) return refuse('teamTokens', tokenWait)
	takeTokens(row.requests, 1)
	takeTokens(row.tokens, tokens)
	return undefined
}

function refuse(kind: ErrorKind, waitMs: number): NotRun {
	return notRun(kind, Math.ceil(waitMs))
}
