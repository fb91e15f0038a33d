/**
 * How each route's requests ended, and what its callers lost: the profile that
 * tells whether answers begin late, pause for too long, or do not come.
 */

import { ERRORS, isErrorKind } from '@juniperhook/core'
import type { LogLine } from './logLines.ts'

/** How a request ended for its caller. */
export type RequestEnd =
	| 'inTime'
	| 'lateStart'
	| 'latePause'
	/** Proved not to have run. */
	| 'refused'
	/** It may have run, and its answer never came or broke off. */
	| 'lost'

/** All ends, in the order in which they are shown. */
export const REQUEST_ENDS = [
	'inTime',
	'lateStart',
	'latePause',
	'refused',
	'lost',
] as const satisfies readonly RequestEnd[]

/** Requests by their end. */
export type EndCounts = Record<RequestEnd, number>

/** How the requests of one route ended. */
export interface RouteReport {
	readonly route: string
	readonly ends: EndCounts
	/** From arrival to first byte, ms; undefined without an answer. */
	readonly startMs: { readonly p50: number; readonly p95: number } | undefined
}

/** Counts of nothing. */
export function createEndCounts(): EndCounts {
	return { inTime: 0, lateStart: 0, latePause: 0, refused: 0, lost: 0 }
}

/** How a line says that a request ended; undefined if it says nothing of that. */
export function endOfLine(line: LogLine): RequestEnd | undefined {
	const { event, outcome, timeliness, error } = line
	if (event === 'attempt' && outcome === 'answered')
		return REQUEST_ENDS.find(end => end === timeliness)
	if (event !== 'request failed' || !isErrorKind(error)) return undefined
	return ERRORS[error].ran === 'no' ? 'refused' : 'lost'
}

/** Sums up how the requests of each route ended, the busiest first. */
export function reportRoutes(lines: readonly LogLine[]): RouteReport[] {
	const routes = new Map<string, { ends: EndCounts; starts: number[] }>()
	for (const line of lines) {
		const end = endOfLine(line)
		if (!end || line.route === undefined) continue
		const known = routes.get(line.route)
		const row = known ?? { ends: createEndCounts(), starts: [] }
		if (!known) routes.set(line.route, row)
		row.ends[end]++
		if (line.startMs !== undefined) row.starts.push(line.startMs)
	}
	return [...routes]
		.map(([route, { ends, starts }]) => ({
			route,
			ends,
			startMs: spreadOf(starts),
		}))
		.sort((a, b) => totalOf(b.ends) - totalOf(a.ends))
}

/** All requests of some counts. */
export function totalOf(ends: EndCounts): number {
	return REQUEST_ENDS.reduce((sum, end) => sum + ends[end], 0)
}

function spreadOf(times: readonly number[]): RouteReport['startMs'] {
	if (times.length === 0) return undefined
	const sorted = [...times].sort((a, b) => a - b)
	const at = (share: number) => sorted[Math.floor(share * (sorted.length - 1))]!
	return { p50: at(0.5), p95: at(0.95) }
}

/** The routes as text, for a terminal; nothing for a run without any. */
export function formatRoutes(routes: readonly RouteReport[]): string[] {
	if (routes.length === 0) return []
	const head = ['requests', ...REQUEST_ENDS, 'start p50', 'p95']
	const rows = routes.map(({ route, ends, startMs }) => {
		const counts = REQUEST_ENDS.map(end => ends[end])
		const times = [startMs?.p50 ?? '', startMs?.p95 ?? '']
		return formatCells([totalOf(ends), ...counts, ...times], route)
	})
	return ['', formatCells(head, 'route'), ...rows]
}

const CELL_WIDTH = 10

/** A row of a table; `last` stands at its end as it is. */
export function formatCells(
	cells: readonly (string | number)[],
	last = '',
): string {
	const padded = cells.map(cell => String(cell).padStart(CELL_WIDTH))
	return `${padded.join('')}  ${last}`.trimEnd()
}
