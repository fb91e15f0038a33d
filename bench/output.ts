/** Output of the benchmarks. */

/** Whether the short form of a benchmark was requested. */
export function isQuick(): boolean {
	return process.argv.includes('--quick')
}

/** Prints a line. */
export function print(text: string): void {
	process.stdout.write(`${text}\n`)
}

/** Prints a table with aligned columns. */
export function printTable(
	head: readonly string[],
	rows: readonly (readonly string[])[],
): void {
	const all = [head, ...rows]
	const widths = head.map((_, at) =>
		Math.max(...all.map(row => row[at]?.length ?? 0)),
	)
	for (const row of all) {
		const cells = row.map((cell, at) =>
			at === 0 ? cell.padEnd(widths[at]!) : cell.padStart(widths[at]!),
		)
		print(`  ${cells.join('  ')}`)
	}
}
