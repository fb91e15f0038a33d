/** Runs a test file in a process of its own and reads the counts that uvu prints. */

import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { once } from 'node:events'

/** Outcome of a test file. */
export interface FileResult {
	readonly file: string
	readonly total: number
	readonly passed: number
	/** Names of failed tests. */
	readonly failed: readonly string[]
	/**
	 * Whether the counts were printed and agree with the exit code, and no process that
	 * the file started outlived it.
	 */
	readonly consistent: boolean
	readonly output: string
}

/** A process that is paused meanwhile sees the end of the output at a later check. */
const OUTPUT_CHECKS = 10

/** Files being run. */
const running = new Set<ChildProcess>()

/** Ends all files being run, with the processes that they started. */
export function endRunningFiles(): void {
	for (const child of running) endGroup(child)
}

/**
 * Runs `file`, which is ended after `timeoutMs`. Processes that it started and that still
 * hold its output `outputEndMs` after its exit are ended as well.
 */
export async function runFile(
	file: string,
	timeoutMs: number,
	outputEndMs: number,
): Promise<FileResult> {
	const child = spawn(process.execPath, ['--import', 'tsx', file], {
		stdio: ['ignore', 'pipe', 'pipe'],
		// A process group of its own, so that all its processes can be ended.
		detached: true,
	})
	let output = ''
	const add = (data: Buffer) => {
		output += data.toString()
	}
	child.stdout.on('data', add)
	child.stderr.on('data', add)
	running.add(child)
	const closed = once(child, 'close')
	const timeout = setTimeout(() => endGroup(child), timeoutMs)
	await once(child, 'exit')
	clearTimeout(timeout)
	let isClosed = false
	const closing = closed.then(() => {
		isClosed = true
	})
	for (let check = 0; check < OUTPUT_CHECKS && !isClosed; check++)
		await Promise.race([closing, pause(outputEndMs / OUTPUT_CHECKS)])
	const hasLeftProcesses = !isClosed
	if (hasLeftProcesses) {
		output += `${file} left processes behind\n`
		endGroup(child)
		child.stdout.destroy()
		child.stderr.destroy()
	}
	running.delete(child)
	return readResult(file, output, child.exitCode, hasLeftProcesses)
}

function pause(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}

function endGroup({ pid }: ChildProcess): void {
	try {
		process.kill(-pid!, 'SIGKILL')
	} catch {
		// All its processes have exited.
	}
}

function readResult(
	file: string,
	output: string,
	code: number | null,
	hasLeftProcesses: boolean,
): FileResult {
	// biome-ignore lint/suspicious/noControlCharactersInRegex: terminal colours
	const plain = output.replace(/\u001b\[\d+m/g, '')
	const total = Number(/Total:\s+(\d+)/.exec(plain)?.[1] ?? 0)
	const passed = Number(/Passed:\s+(\d+)/.exec(plain)?.[1] ?? 0)
	const failed = [...plain.matchAll(/FAIL\s+.*?"(.*)"/g)].map(
		match => match[1] ?? '',
	)
	const hasAgreed = total > 0 && (code === 0) === (failed.length === 0)
	const consistent = hasAgreed && !hasLeftProcesses
	return { file, total, passed, failed, consistent, output }
}
