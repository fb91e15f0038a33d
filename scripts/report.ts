/** The demo's report. */

import type { LoadReport } from './load.ts'
import { LOAD_KINDS } from './load.ts'

const MICROS_PER_MS = 1_000
const COLUMNS = [
	'kind',
	'sent',
	'answered',
	'not run',
	'unknown',
	'p50 ms',
	'p99 ms',
	'added p50',
	'added p99',
]

/** Formats the report for a terminal. */
export function formatReport(report: LoadReport): string {
	const direct = report.rows.direct.latency
	const rows = LOAD_KINDS.map(kind => {
		const row = report.rows[kind]
		const latencyMs = (percentile: number) =>
			row.latency.getValueAtPercentile(percentile) / MICROS_PER_MS
		const addedMs = (percentile: number) =>
			latencyMs(percentile) -
			direct.getValueAtPercentile(percentile) / MICROS_PER_MS
		const comparable = kind === 'roster' || kind === 'booking'
		return [
			kind,
			String(row.sent),
			String(row.answered),
			String(row.notRun),
			String(row.unknown),
			latencyMs(50).toFixed(2),
			latencyMs(99).toFixed(2),
			comparable ? addedMs(50).toFixed(2) : '-',
			comparable ? addedMs(99).toFixed(2) : '-',
		]
	})
	const lines = [COLUMNS, ...rows].map(cells =>
		cells.map((cell, column) => cell.padStart(column === 0 ? 0 : 10)).join(''),
	)
	return [
		'',
		...lines.map(line => line.trimEnd()),
		'',
		`unaccounted for: ${report.unaccounted}`,
		`step-time skew: first ${report.skewBefore.toFixed(2)}, worst ${report.skewAfterStorm.toFixed(2)}, at the end ${report.skewEnd.toFixed(2)}`,
		`map changes: ${report.changes}; steps with two maps: ${report.violations}`,
	].join('\n')
}
