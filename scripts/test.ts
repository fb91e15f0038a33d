/**
 * Runs each test file in its own process and sums the counts that uvu prints. Only
 * tests listed in KNOWN-RED.txt may fail.
 */

import { existsSync, globSync, readFileSync } from './files.ts'
import type { FileResult } from './testFile.ts'
import { endRunningFiles, runFile } from './testFile.ts'

const FILE_TIMEOUT_MS = 600_000
/** Time for a file's output to end once its process has exited. */
const OUTPUT_END_MS = 5_000
const PARALLEL = 4
const KNOWN_RED = 'KNOWN-RED.txt'

/** Reads the entries of known failures: a line each, the test's name and a comma first. */
function readKnownRed(): string[] {
	if (!existsSync(KNOWN_RED)) return []
	const lines = readFileSync(KNOWN_RED, 'utf8').split('\n')
	return lines.filter(line => line.trim() !== '')
}

async function runAll(files: readonly string[]): Promise<FileResult[]> {
	const results: FileResult[] = []
	// Process tests start fleets; they run one at a time, so that none lacks CPU time.
	const sequential = files.filter(file => file.includes('.process.'))
	const queue = files.filter(file => !file.includes('.process.'))
	const work = async () => {
		for (let file = queue.shift(); file; file = queue.shift())
			results.push(show(await run(file)))
	}
	await Promise.all(Array.from({ length: PARALLEL }, work))
	for (const file of sequential) results.push(show(await run(file)))
	return results
}

function run(file: string): Promise<FileResult> {
	return runFile(file, FILE_TIMEOUT_MS, OUTPUT_END_MS)
}

function show(result: FileResult): FileResult {
	const isPassed = result.consistent && result.failed.length === 0
	const mark = isPassed ? 'ok  ' : 'FAIL'
	const counts = `${result.passed}/${result.total}`
	process.stdout.write(`${mark} ${result.file} ${counts}\n`)
	if (!isPassed) process.stdout.write(result.output)
	return result
}

for (const signal of ['SIGINT', 'SIGTERM'] as const)
	process.once(signal, () => {
		endRunningFiles()
		process.exit(1)
	})
const filter = process.argv[2] ?? ''
const files = ['packages', 'platform', 'scripts', 'soak']
	.flatMap(folder => globSync(folder, /\.test\.ts$/))
	.filter(file => file.includes(filter))
const results = await runAll(files)
const known = readKnownRed()
const failed = results.flatMap(result => result.failed)
const broken = results.filter(result => !result.consistent)
const red = failed.filter(name =>
	known.some(line => line.startsWith(`${name},`)),
)
const unexpected = failed.length - red.length + broken.length
for (const name of red) process.stdout.write(`known red: ${name}\n`)
for (const { file } of broken)
	process.stdout.write(
		`counts missing or contradicting the exit code: ${file}\n`,
	)
const passed = results.reduce((sum, result) => sum + result.passed, 0)
process.stdout.write(
	`${passed} passed, ${failed.length + broken.length} failed\n`,
)
process.exit(unexpected === 0 && passed > 0 ? 0 : 1)
