/** Guards against processes that end because of an error in one callback (rule FAULT). */

import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

async function runFaulty(
	...args: readonly string[]
): Promise<{ code: unknown; output: string }> {
	const path = fileURLToPath(new URL('faultyProcess.ts', import.meta.url))
	const child = spawn(process.execPath, ['--import', 'tsx', path, ...args], {
		stdio: ['ignore', 'pipe', 'inherit'],
	})
	let output = ''
	child.stdout.on('data', data => {
		output += data
	})
	const [code] = await once(child, 'close')
	return { code, output }
}

test('faults: a process survives what its callbacks throw, and logs it', async () => {
	const { code, output } = await runFaulty()
	assert.is(code, 0)
	for (const text of ['thrown in a timer', 'rejected', 'no error'])
		assert.match(output, text)
	assert.match(output, '"event":"goes on"')
	assert.match(output, '"faults":"5"')
})

// What the handler of errors throws itself ends Node, with code 7.
test('faults: a process survives that its log of faults throws', async () => {
	const { code, output } = await runFaulty('unlogged')
	assert.is(code, 0)
	assert.match(output, '"event":"goes on"')
	assert.match(output, '"faults":"5"')
})

test.run()
