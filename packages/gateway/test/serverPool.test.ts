/** Tests how many idle connections all entries together keep to a server. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { maxIdlePerServer } from '../src/serverPool.ts'

const CASES = [
	{ name: 'one entry', maxConnections: 200, entries: 1, idle: 12 },
	{
		name: 'five entries and a small server',
		maxConnections: 51,
		entries: 5,
		idle: 5,
	},
	{ name: 'thirty-six entries', maxConnections: 390, entries: 36, idle: 5 },
	{
		name: 'more entries than connections',
		maxConnections: 40,
		entries: 60,
		idle: 0,
	},
]

for (const { name, maxConnections, entries, idle } of CASES)
	test(`idle connections: ${name} keep at most half of the server's connections`, () => {
		assert.is(maxIdlePerServer(maxConnections, entries), idle)
		assert.ok(idle * entries <= maxConnections / 2)
	})

test.run()
