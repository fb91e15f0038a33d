/** Retries that entries may make without coordination. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRetryWindow, recordRequest, takeRetry } from '../src/index.ts'

const ALLOWANCE = { ratio: 0.2, slack: 40, windowMs: 10_000 }

const BUDGETS: {
	name: string
	entries: number
	requests: number
	allowed: number
}[] = [
	{ name: 'a single entry, no requests', entries: 1, requests: 0, allowed: 20 },
	{ name: 'one of four, no requests', entries: 4, requests: 0, allowed: 5 },
	{ name: 'one of four, 100 requests', entries: 4, requests: 100, allowed: 15 },
]

for (const { name, entries, requests, allowed } of BUDGETS)
	test(`retry window: ${name} allows ${allowed}`, () => {
		const window = createRetryWindow()
		for (let count = 0; count < requests; count++)
			recordRequest(window, ALLOWANCE, 100)
		let taken = 0
		while (takeRetry(window, ALLOWANCE, entries, 200)) taken++
		assert.is(taken, allowed)
		assert.ok(takeRetry(window, ALLOWANCE, entries, 10_700))
	})

test.run()
