/**
 * What bound a run, from the logs of all its processes: a row a second and a route
 * of how requests ended, how well passes were predicted, and the causes that cost
 * most requests.
 */

import type { LogLine } from './logLines.ts'
import { readLogLine } from './logLines.ts'
import type { RoundReport } from './roundReport.ts'
import { formatRounds, reportRounds } from './roundReport.ts'
import type { EndCounts, RouteReport } from './routeReport.ts'
import {
	createEndCounts,
	endOfLine,
	formatCells,
	formatRoutes,
	REQUEST_ENDS,
	reportRoutes,
} from './routeReport.ts'

const SECOND_MS = 1_000
/** Causes that are shown. */
const MAX_CAUSES = 10

/** What one second of a run held. */
export interface ReportRow {
	/** Seconds since the first line. */
	readonly second: number
	/** How requests ended that ended in it. */
	readonly ends: EndCounts
	/** Sends that failed or broke off. */
	failedSends: number
	/** Least limit told to entries; undefined when none was. */
	limit: number | undefined
	shifts: number
	copies: number
	rounds: number
	/** Mean time of the passes seen, ms; undefined when none was timed. */
	passMs: number | undefined
}

/** A cause and how many requests or sends it cost. */
export interface ReportCause {
	readonly cause: string
	readonly count: number
}

/** A whole report. */
export interface Report {
	readonly rows: readonly ReportRow[]
	readonly causes: readonly ReportCause[]
	readonly rounds: RoundReport
	readonly routes: readonly RouteReport[]
	/** Relative errors of predicted passes; undefined without any. */
	readonly passError: { readonly p50: number; readonly p90: number } | undefined
	/** Lines that are no log lines of ours. */
	readonly unread: number
}

/** Makes a report of log lines; text before a line's JSON is left out. */
export function makeReport(lines: readonly string[]): Report {
	const told = lines.map(readLogLine)
	const read = told.filter(line => line !== undefined)
	const first = read.reduce((so, { time }) => Math.min(so, time), Infinity)
	const rows = new Map<number, ReportRow>()
	const causes = new Map<string, number>()
	const errors: number[] = []
	for (const line of read) {
		const second = Math.floor((line.time - first) / SECOND_MS)
		const row = rows.get(second) ?? createRow(second)
		rows.set(second, row)
		takeLine(row, line)
		const cause = causeOf(line)
		if (cause) causes.set(cause, (causes.get(cause) ?? 0) + 1)
		const { passMs, predictedMs } = line
		if (line.event === 'passes seen' && passMs && predictedMs)
			errors.push(Math.abs(predictedMs / passMs - 1))
	}
	return {
		rows: [...rows.values()].sort((a, b) => a.second - b.second),
		causes: [...causes]
			.map(([cause, count]) => ({ cause, count }))
			.sort((a, b) => b.count - a.count)
			.slice(0, MAX_CAUSES),
		rounds: reportRounds(read),
		routes: reportRoutes(read),
		passError: spreadOf(errors),
		unread: told.length - read.length,
	}
}

function createRow(second: number): ReportRow {
	return {
		second,
		ends: createEndCounts(),
		failedSends: 0,
		limit: undefined,
		shifts: 0,
		copies: 0,
		rounds: 0,
		passMs: undefined,
	}
}

function takeLine(row: ReportRow, line: LogLine): void {
	const end = endOfLine(line)
	if (end) row.ends[end]++
	switch (line.event) {
		case 'attempt':
			if (line.outcome !== 'answered') row.failedSends++
			return
		case 'paces told':
			if (line.limit !== undefined)
				row.limit = Math.min(row.limit ?? line.limit, line.limit)
			return
		case 'demand shifted':
			row.shifts++
			return
		case 'map planned':
			row.copies += line.copies ?? 0
			return
		case 'round over':
			row.rounds++
			return
		case 'passes seen':
			row.passMs = line.passMs
			return
		default:
			return
	}
}

/** Why a line's request or send came to nothing. */
function causeOf({
	event,
	error,
	outcome,
	reason,
}: LogLine): string | undefined {
	if (event === 'request failed') return `request failed: ${error}`
	if (event !== 'attempt' || outcome === 'answered') return undefined
	// The server at fault may follow the status: it would split the cause.
	return `send ${outcome}: ${reason?.trim().split(' i-')[0]}`
}

function spreadOf(errors: readonly number[]): Report['passError'] {
	if (errors.length === 0) return undefined
	const sorted = [...errors].sort((a, b) => a - b)
	const at = (share: number) => sorted[Math.floor(share * (sorted.length - 1))]!
	return { p50: at(0.5), p90: at(0.9) }
}

const HEAD = [
	'second',
	...REQUEST_ENDS,
	'sends lost',
	'limit',
	'shifts',
	'copies',
	'rounds',
	'pass ms',
]

/** The report as text, for a terminal. */
export function formatReport(report: Report): string[] {
	const { rows, causes, rounds, routes, passError, unread } = report
	const out = [formatCells(HEAD)]
	for (const row of rows)
		out.push(
			formatCells([
				row.second,
				...REQUEST_ENDS.map(end => row.ends[end] || ''),
				row.failedSends || '',
				row.limit ?? '',
				row.shifts || '',
				row.copies || '',
				row.rounds || '',
				row.passMs ?? '',
			]),
		)
	out.push(...formatRoutes(routes))
	out.push('', 'causes that cost most')
	for (const { cause, count } of causes)
		out.push(`${String(count).padStart(6)}  ${cause}`)
	out.push(...formatRounds(rounds))
	if (passError)
		out.push(
			'',
			`passes predicted within ${percent(passError.p50)} (p50) and ${percent(passError.p90)} (p90)`,
		)
	if (unread > 0) out.push(`${unread} lines are no log lines`)
	return out
}

function percent(share: number): string {
	return `${Math.round(share * 100)}%`
}
