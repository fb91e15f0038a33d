/**
 * Summarizes a run from the logs of all its processes: the results of requests per second
 * and per route, how well passes were predicted, and the causes of most failures.
 */

import type { LogLine } from './logLines.ts'
import { readLogLine } from './logLines.ts'
import type { RoundReport } from './roundReport.ts'
import { formatRounds, reportRounds } from './roundReport.ts'
import type { ResultCounts, RouteReport } from './routeReport.ts'
import {
	createResultCounts,
	formatCells,
	formatRoutes,
	REQUEST_RESULTS,
	reportRoutes,
	reportTeams,
	reportUrgencies,
	resultOfLine,
} from './routeReport.ts'

const MS_PER_SECOND = 1_000
/** Maximum number of causes shown. */
const MAX_CAUSES = 10

/** Counts of one second of a run. */
export interface ReportRow {
	/** Seconds since the first line. */
	readonly second: number
	/** Results of the requests that ended in it. */
	readonly results: ResultCounts
	/** Attempts without a complete answer. */
	failedAttempts: number
	/** Lowest limit per rank in a group report to entries; undefined without one. */
	limit: number | undefined
	shifts: number
	copies: number
	rounds: number
	/** Mean time of the observed passes, ms; undefined if none was timed. */
	passMs: number | undefined
}

/** A cause and the number of requests or attempts that failed by it. */
export interface ReportCause {
	readonly cause: string
	readonly count: number
}

/** Report of a run. */
export interface Report {
	readonly rows: readonly ReportRow[]
	readonly causes: readonly ReportCause[]
	readonly rounds: RoundReport
	readonly routes: readonly RouteReport[]
	/** By urgency and by team; empty unless room is allocated by them. */
	readonly urgencies: readonly RouteReport[]
	readonly teams: readonly RouteReport[]
	/** Relative errors of predicted pass times; undefined without any. */
	readonly passError: { readonly p50: number; readonly p90: number } | undefined
	/** Number of lines that are not log lines of juniperhook. */
	readonly unreadLines: number
}

/** Creates a report from log lines; text before a line's JSON is ignored. */
export function makeReport(lines: readonly string[]): Report {
	const parsed = lines.map(readLogLine)
	const logLines = parsed.filter(line => line !== undefined)
	const startTime = logLines.reduce(
		(min, { time }) => Math.min(min, time),
		Infinity,
	)
	const rows = new Map<number, ReportRow>()
	const causes = new Map<string, number>()
	const errors: number[] = []
	for (const line of logLines) {
		const second = Math.floor((line.time - startTime) / MS_PER_SECOND)
		const row = rows.get(second) ?? createRow(second)
		rows.set(second, row)
		addLine(row, line)
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
		rounds: reportRounds(logLines),
		routes: reportRoutes(logLines),
		urgencies: reportUrgencies(logLines),
		teams: reportTeams(logLines),
		passError: percentilesOf(errors),
		unreadLines: parsed.length - logLines.length,
	}
}

function createRow(second: number): ReportRow {
	return {
		second,
		results: createResultCounts(),
		failedAttempts: 0,
		limit: undefined,
		shifts: 0,
		copies: 0,
		rounds: 0,
		passMs: undefined,
	}
}

function addLine(row: ReportRow, line: LogLine): void {
	const result = resultOfLine(line)
	if (result) row.results[result]++
	switch (line.event) {
		case 'attempt':
			if (line.outcome !== 'answered') row.failedAttempts++
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

/** Returns why a line's request or attempt failed; undefined if it did not. */
function causeOf({
	event,
	error,
	outcome,
	reason,
}: LogLine): string | undefined {
	if (event === 'request failed') return `request failed: ${error}`
	if (event !== 'attempt' || outcome === 'answered') return undefined
	// The status may be followed by the server's name, which would split the cause.
	return `send ${outcome}: ${reason?.trim().split(' i-')[0]}`
}

function percentilesOf(errors: readonly number[]): Report['passError'] {
	if (errors.length === 0) return undefined
	const sorted = [...errors].sort((a, b) => a - b)
	const at = (quantile: number) =>
		sorted[Math.floor(quantile * (sorted.length - 1))]!
	return { p50: at(0.5), p90: at(0.9) }
}

const TABLE_HEAD = [
	'second',
	...REQUEST_RESULTS,
	'sends lost',
	'limit',
	'shifts',
	'copies',
	'rounds',
	'pass ms',
]

/** Formats a report as text for a terminal. */
export function formatReport(report: Report): string[] {
	const { rows, causes, rounds, routes, passError, unreadLines } = report
	const out = [formatCells(TABLE_HEAD)]
	for (const row of rows)
		out.push(
			formatCells([
				row.second,
				...REQUEST_RESULTS.map(result => row.results[result] || ''),
				row.failedAttempts || '',
				row.limit ?? '',
				row.shifts || '',
				row.copies || '',
				row.rounds || '',
				row.passMs ?? '',
			]),
		)
	out.push(...formatRoutes(routes))
	out.push(...formatRoutes(report.urgencies, 'urgency'))
	out.push(...formatRoutes(report.teams, 'team, most refused first'))
	out.push('', 'causes that cost most')
	for (const { cause, count } of causes)
		out.push(`${String(count).padStart(6)}  ${cause}`)
	out.push(...formatRounds(rounds))
	if (passError)
		out.push(
			'',
			`passes predicted within ${percent(passError.p50)} (p50) and ${percent(passError.p90)} (p90)`,
		)
	if (unreadLines > 0) out.push(`${unreadLines} lines are no log lines`)
	return out
}

function percent(share: number): string {
	return `${Math.round(share * 100)}%`
}
