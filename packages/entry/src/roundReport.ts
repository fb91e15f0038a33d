/**
 * Summarizes the rounds in which expert maps were changed: how many were begun and done,
 * why others failed, and which agents coordinated them. Passes of a group whose rounds all
 * fail stay as long as with its first map, which no single log line shows.
 */

import type { LogLine } from './logLines.ts'

/** Outcomes of the rounds of a run. */
export interface RoundReport {
	readonly begun: number
	readonly done: number
	/** Why others failed, the most frequent first. */
	readonly failures: readonly {
		readonly failure: string
		readonly count: number
	}[]
	/** Duration of the rounds that were done, ms; undefined without any. */
	readonly tookMs: { readonly p50: number; readonly max: number } | undefined
	/** VMs whose agents began rounds, with the number of rounds. */
	readonly coordinators: readonly {
		readonly node: string
		readonly count: number
	}[]
}

/** Summarizes the rounds in log lines. */
export function reportRounds(lines: readonly LogLine[]): RoundReport {
	const begun = lines.filter(line => line.event === 'round begun')
	const ended = lines.filter(line => line.event === 'round over')
	const done = ended.filter(line => line.phase === 'done')
	const failed = ended.filter(line => line.phase !== 'done')
	const durations = done.map(line => line.tookMs ?? 0).sort((a, b) => a - b)
	const median = durations[Math.floor(durations.length / 2)]
	return {
		begun: begun.length,
		done: done.length,
		failures: countByName(failed.map(describeFailure)).map(
			([failure, count]) => ({
				failure,
				count,
			}),
		),
		tookMs:
			median === undefined
				? undefined
				: { p50: median, max: durations.at(-1)! },
		coordinators: countByName(begun.map(line => line.node ?? 'unknown')).map(
			([node, count]) => ({ node, count }),
		),
	}
}

function describeFailure({ phase, reason }: LogLine): string {
	return reason ? `${phase}: ${reason}` : `abandoned while ${phase}`
}

function countByName(names: readonly string[]): [string, number][] {
	const counts = new Map<string, number>()
	for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
	return [...counts].sort((a, b) => b[1] - a[1])
}

/** Formats the rounds as text for a terminal; empty for a run without any. */
export function formatRounds(report: RoundReport): string[] {
	const { begun, done, failures, tookMs, coordinators } = report
	if (begun === 0) return []
	const times = tookMs ? `, ${tookMs.p50} ms (p50), ${tookMs.max} at most` : ''
	return [
		'',
		`changes of expert maps: ${done} of ${begun} done${times}`,
		...failures.map(
			({ failure, count }) => `${String(count).padStart(6)}  ${failure}`,
		),
		...coordinators.map(
			({ node, count }) => `${String(count).padStart(6)}  by ${node}`,
		),
	]
}
