/** Connections that entries keep to a server together. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { maxIdlePerServer } from '../src/serverPool.ts'

const CASES = [
	{ name: 'one entry', most: 200, entries: 1, idle: 12 },
	{ name: 'five entries and a small server', most: 51, entries: 5, idle: 5 },
	{ name: 'thirty-six entries', most: 390, entries: 36, idle: 5 },
	{ name: 'more entries than connections', most: 40, entries: 60, idle: 0 },
]

for (const { name, most, entries, idle } of CASES)
	test(`idle connections: ${name} never keep more than half`, () => {
		assert.is(maxIdlePerServer(most, entries), idle)
		assert.ok(idle * entries <= most / 2)
	})

test.run()
