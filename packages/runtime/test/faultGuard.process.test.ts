/** Guards against processes that end because of an error in one callback (rule FAULT). */

import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

test('faults: a process survives what its callbacks throw, and logs it', async () => {
	const path = fileURLToPath(new URL('faultyProcess.ts', import.meta.url))
	const child = spawn(process.execPath, ['--import', 'tsx', path], {
		stdio: ['ignore', 'pipe', 'inherit'],
	})
	let output = ''
	child.stdout.on('data', data => {
		output += data
	})
	const [code] = await once(child, 'close')
	assert.is(code, 0)
	for (const text of ['thrown in a timer', 'rejected', 'no error'])
		assert.match(output, text)
	assert.match(output, '"event":"goes on"')
	assert.match(output, '"faults":"3"')
})

test.run()
