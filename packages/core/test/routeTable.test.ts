/** Which route and service a request has. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { TrafficConfig } from '../src/index.ts'
import {
	createRandom,
	createRouteTable,
	findRoute,
	pickService,
} from '../src/index.ts'

const ROUTE = {
	name: 'r',
	host: 'huts.example',
	pathPrefix: '/a/',
	shares: [{ service: 'plain', weight: 1 }],
	kind: 'repeatable',
	timeoutMs: 1_000,
	targetMs: 100,
	priority: 5,
	maxAttempts: 2,
	anonymous: false,
	resumable: false,
	maxPauseMs: 0,
} as const

const CONFIG: TrafficConfig = {
	version: 3,
	routes: [
		{ ...ROUTE, name: 'short' },
		{ ...ROUTE, name: 'long', pathPrefix: '/a/b/' },
		{ ...ROUTE, name: 'other', host: 'Lifts.example' },
	],
	services: [],
	teams: [],
	limits: {
		maxHeaderBytes: 1,
		maxBodyBytes: 1,
		headerTimeoutMs: 1,
		idleTimeoutMs: 1,
	},
}

const ROUTES: { host: string; path: string; route: string | undefined }[] = [
	{ host: 'huts.example', path: '/a/x', route: 'short' },
	{ host: 'huts.example', path: '/a/b/x?q=1', route: 'long' },
	{ host: 'HUTS.example:8080', path: '/a/b', route: 'short' },
	{ host: 'lifts.example', path: '/a/', route: 'other' },
	{ host: 'huts.example', path: '/ab/', route: undefined },
	{ host: 'unknown.example', path: '/a/', route: undefined },
]

for (const { host, path, route } of ROUTES)
	test(`route of ${host}${path} is ${route}`, () => {
		const found = findRoute(createRouteTable(CONFIG), host, path)
		assert.is(found?.name, route)
	})

test('service by weight: shares follow the weights', () => {
	const random = createRandom(7)
	const shares = [
		{ service: 'a', weight: 90 },
		{ service: 'b', weight: 10 },
	]
	let toB = 0
	for (let draw = 0; draw < 2_000; draw++)
		if (pickService(shares, random) === 'b') toB++
	assert.ok(toB > 140 && toB < 260, `${toB} of 2000`)
})

test.run()
