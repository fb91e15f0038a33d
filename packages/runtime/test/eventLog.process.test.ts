/**
 * Guards against processes that end, grow or do not exit because nobody reads their log,
 * or because the disk that it is written to is full.
 */

import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { on, once } from 'node:events'
import { closeSync, openSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { LogKind } from './loggingProcess.ts'

/** Bound of the output that waits in a process's memory, bytes. */
const MAX_WAITING_BYTES = 300_000
/** Far above the time that an exit takes, ms. */
const EXIT_TIMEOUT_MS = 10_000
/** A file on which each write fails as on a full disk. */
const FULL_DISK = '/dev/full'
/** Time for a process to fail after its output has been closed, ms. */
const FAILURE_MS = 500

interface Case {
	readonly log: LogKind
	/** What becomes of the reader before the process is told to stop. */
	readonly reader:
		| 'reads'
		| 'stalls'
		| 'exits'
		| 'exits while lines wait'
		| 'is a full disk'
}

const CASES: readonly Case[] = (['events', 'namespaces'] as const).flatMap(
	log => [
		{ log, reader: 'reads' } as const,
		{ log, reader: 'stalls' } as const,
		{ log, reader: 'exits' } as const,
		{ log, reader: 'exits while lines wait' } as const,
		{ log, reader: 'is a full disk' } as const,
	],
)

function startProcess({ log, reader }: Case): ChildProcess {
	const path = fileURLToPath(new URL('loggingProcess.ts', import.meta.url))
	const start = (output: 'pipe' | number) =>
		spawn(process.execPath, ['--import', 'tsx', path, log], {
			stdio: ['ignore', output, output, 'ipc'],
		})
	if (reader !== 'is a full disk') return start('pipe')
	const fd = openSync(FULL_DISK, 'w')
	try {
		return start(fd)
	} finally {
		closeSync(fd)
	}
}

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

for (const { log, reader } of CASES)
	test(`log of ${log}: a process stops in time if the reader ${reader}`, async () => {
		const child = startProcess({ log, reader })
		const exit = once(child, 'exit')
		const disconnect = once(child, 'disconnect')
		const timeout = setTimeout(() => child.kill('SIGKILL'), EXIT_TIMEOUT_MS)
		const output = log === 'events' ? child.stdout : child.stderr
		const closed = output && once(output, 'close')
		const messages = on(child, 'message')
		await messages.next()
		let text = ''
		if (reader === 'reads')
			output!.on('data', data => {
				text += data.toString()
			})
		if (reader !== 'exits') {
			child.send('write')
			await messages.next()
		}
		if (reader === 'reads') await messages.next()
		if (reader.startsWith('exits')) {
			output!.destroy()
			await pause(FAILURE_MS)
		}
		let waitingBytes: unknown
		child.on('message', message => {
			waitingBytes = message
		})
		child.kill('SIGTERM')
		const [code, signal] = await exit
		await disconnect
		clearTimeout(timeout)
		if (reader === 'reads') await closed
		assert.equal({ code, signal }, { code: 0, signal: null })
		assert.type(waitingBytes, 'number')
		assert.ok(
			Number(waitingBytes) <= MAX_WAITING_BYTES,
			`${waitingBytes} bytes`,
		)
		if (reader === 'reads') assert.match(text, '"stopped"')
	})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
