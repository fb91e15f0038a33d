/** Guards against an entry that SIGTERM never ends because a part of its stop fails. */

import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CONFIG } from './fakeBackends.ts'
import type { GatewayProcessSettings } from './gatewayProcess.ts'

const PROCESS = fileURLToPath(new URL('gatewayProcess.ts', import.meta.url))
/** Far above the time that the stop is given, ms. */
const EXIT_TIMEOUT_MS = 20_000

const SETTINGS: GatewayProcessSettings = {
	firstPort: 28_500,
	stopMs: 2_000,
	config: CONFIG,
	listed: [],
}

// An open request that throws when it is refused once kept the process for ever.
for (const hasFailingRefusal of [false, true])
	test(`stop: an entry ends ${hasFailingRefusal ? 'though a refusal fails' : 'without requests'}`, async () => {
		const settings = JSON.stringify({ ...SETTINGS, hasFailingRefusal })
		const args = ['--import', 'tsx', PROCESS, settings]
		const child = spawn(process.execPath, args)
		const exit = once(child, 'exit')
		let output = ''
		for await (const part of child.stdout) {
			output += String(part)
			if (output.includes('serves')) break
		}
		const timer = setTimeout(() => child.kill('SIGKILL'), EXIT_TIMEOUT_MS)
		child.kill('SIGTERM')
		assert.equal(await exit, [0, null])
		clearTimeout(timer)
	})

test.run()
