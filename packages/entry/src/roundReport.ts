/**
 * What became of the changes of expert maps in a run: how many were begun and
 * done, why others ended, and who coordinated. Passes of a group whose rounds all
 * fail are as long as those of its first map, and no single line says so.
 */

import type { LogLine } from './logLines.ts'

/** What became of the rounds of a run. */
export interface RoundReport {
	readonly begun: number
	readonly done: number
	/** Why others ended, the commonest first. */
	readonly ends: readonly { readonly end: string; readonly count: number }[]
	/** Time of those that were done, ms; undefined without any. */
	readonly tookMs: { readonly p50: number; readonly most: number } | undefined
	/** VMs whose agents began rounds, with their number. */
	readonly by: readonly { readonly node: string; readonly count: number }[]
}

/** Sums up the rounds that log lines tell of. */
export function reportRounds(lines: readonly LogLine[]): RoundReport {
	const begun = lines.filter(line => line.event === 'round begun')
	const over = lines.filter(line => line.event === 'round over')
	const done = over.filter(line => line.phase === 'done')
	const others = over.filter(line => line.phase !== 'done')
	const took = done.map(line => line.tookMs ?? 0).sort((a, b) => a - b)
	const middle = took[Math.floor(took.length / 2)]
	return {
		begun: begun.length,
		done: done.length,
		ends: countAlike(others.map(endOf)).map(([end, count]) => ({ end, count })),
		tookMs:
			middle === undefined ? undefined : { p50: middle, most: took.at(-1)! },
		by: countAlike(begun.map(line => line.node ?? 'unknown')).map(
			([node, count]) => ({ node, count }),
		),
	}
}

function endOf({ phase, reason }: LogLine): string {
	return reason ? `${phase}: ${reason}` : `given up while ${phase}`
}

function countAlike(names: readonly string[]): [string, number][] {
	const counts = new Map<string, number>()
	for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
	return [...counts].sort((a, b) => b[1] - a[1])
}

/** The rounds as text, for a terminal; nothing for a run without any. */
export function formatRounds(report: RoundReport): string[] {
	const { begun, done, ends, tookMs, by } = report
	if (begun === 0) return []
	const times = tookMs ? `, ${tookMs.p50} ms (p50), ${tookMs.most} at most` : ''
	return [
		'',
		`changes of expert maps: ${done} of ${begun} done${times}`,
		...ends.map(({ end, count }) => `${String(count).padStart(6)}  ${end}`),
		...by.map(({ node, count }) => `${String(count).padStart(6)}  by ${node}`),
	]
}
