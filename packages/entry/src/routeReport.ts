/**
 * Results of each route's requests for their callers: shows whether answers start late,
 * pause for too long, or do not arrive.
 */

import { ERRORS, isErrorKind } from '@juniperhook/core'
import type { LogLine } from './logLines.ts'

/** Result of a request for its caller. */
export type RequestResult =
	| 'inTime'
	| 'lateStart'
	| 'latePause'
	/** Certain not to have run. */
	| 'refused'
	/** May have run; its answer did not arrive or is incomplete. */
	| 'lost'

/** All results, in the order in which they are shown. */
export const REQUEST_RESULTS = [
	'inTime',
	'lateStart',
	'latePause',
	'refused',
	'lost',
] as const satisfies readonly RequestResult[]

/** Number of requests by result. */
export type ResultCounts = Record<RequestResult, number>

/** Results of the requests of one route, urgency or team. */
export interface RouteReport {
	/** Its name. */
	readonly route: string
	readonly results: ResultCounts
	/** Time from arrival to first byte, ms; undefined without an answer. */
	readonly startMs: { readonly p50: number; readonly p95: number } | undefined
}

/** Maximum number of teams shown. */
const MAX_TEAMS = 10

/** Creates counts of 0. */
export function createResultCounts(): ResultCounts {
	return { inTime: 0, lateStart: 0, latePause: 0, refused: 0, lost: 0 }
}

/** Returns the request's result in a line; undefined if it contains none. */
export function resultOfLine(line: LogLine): RequestResult | undefined {
	const { event, outcome, timeliness, error } = line
	if (event === 'attempt' && outcome === 'answered')
		return REQUEST_RESULTS.find(result => result === timeliness)
	if (event !== 'request failed' || !isErrorKind(error)) return undefined
	return ERRORS[error].ran === 'no' ? 'refused' : 'lost'
}

/** Summarizes the results of each route's requests, the busiest route first. */
export function reportRoutes(lines: readonly LogLine[]): RouteReport[] {
	return reportBy(lines, ({ route }) => route)
}

/** The same by urgency, where room is allocated by it. */
export function reportUrgencies(lines: readonly LogLine[]): RouteReport[] {
	return reportBy(lines, ({ urgency }) =>
		urgency === undefined ? undefined : `urgency ${urgency}`,
	)
}

/** The same by team, where room is allocated by it; those refused most often first. */
export function reportTeams(lines: readonly LogLine[]): RouteReport[] {
	return reportBy(lines, ({ team }) => team)
		.sort((a, b) => b.results.refused - a.results.refused)
		.slice(0, MAX_TEAMS)
}

function reportBy(
	lines: readonly LogLine[],
	nameOf: (line: LogLine) => string | undefined,
): RouteReport[] {
	const routes = new Map<string, { results: ResultCounts; starts: number[] }>()
	for (const line of lines) {
		const result = resultOfLine(line)
		const name = nameOf(line)
		if (!result || name === undefined) continue
		const known = routes.get(name)
		const row = known ?? { results: createResultCounts(), starts: [] }
		if (!known) routes.set(name, row)
		row.results[result]++
		if (line.startMs !== undefined) row.starts.push(line.startMs)
	}
	return [...routes]
		.map(([route, { results, starts }]) => ({
			route,
			results,
			startMs: percentilesOf(starts),
		}))
		.sort((a, b) => totalOf(b.results) - totalOf(a.results))
}

/** Returns the total of all results. */
export function totalOf(results: ResultCounts): number {
	return REQUEST_RESULTS.reduce((sum, result) => sum + results[result], 0)
}

function percentilesOf(times: readonly number[]): RouteReport['startMs'] {
	if (times.length === 0) return undefined
	const sorted = [...times].sort((a, b) => a - b)
	const at = (quantile: number) =>
		sorted[Math.floor(quantile * (sorted.length - 1))]!
	return { p50: at(0.5), p95: at(0.95) }
}

/** Formats the routes as text for a terminal; empty for a run without any. */
export function formatRoutes(
	routes: readonly RouteReport[],
	title = 'route',
): string[] {
	if (routes.length === 0) return []
	const head = ['requests', ...REQUEST_RESULTS, 'start p50', 'p95']
	const rows = routes.map(({ route, results, startMs }) => {
		const counts = REQUEST_RESULTS.map(result => results[result])
		const times = [startMs?.p50 ?? '', startMs?.p95 ?? '']
		return formatCells([totalOf(results), ...counts, ...times], route)
	})
	return ['', formatCells(head, title), ...rows]
}

const CELL_WIDTH = 10

/** Formats a row of a table; `last` is appended without padding. */
export function formatCells(
	cells: readonly (string | number)[],
	last = '',
): string {
	const padded = cells.map(cell => String(cell).padStart(CELL_WIDTH))
	return `${padded.join('')}  ${last}`.trimEnd()
}
