/** Tests urgency: the order of requests, and which services' streams compete by it. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { RouteKind, TrafficConfig } from '../src/index.ts'
import { hasCompetingStreams, urgencyOf } from '../src/index.ts'

const ORDERED = [
	{ name: 'team before route', first: [0, 9], second: [1, 0] },
	{ name: 'route within a team', first: [1, 0], second: [1, 2] },
	{
		name: 'a team without priority in the middle',
		first: [4, 9],
		second: [undefined, 0],
	},
	{
		name: 'larger priorities as the least urgent',
		first: [1, 8],
		second: [1, 40],
	},
] as const

for (const { name, first, second } of ORDERED)
	test(`urgency: ${name}`, () => {
		assert.ok(urgencyOf(first[0], first[1]) < urgencyOf(second[0], second[1]))
	})

function createConfig(
	routes: readonly (readonly [RouteKind, number, string])[],
): TrafficConfig {
	return {
		version: 1,
		routes: routes.map(([kind, priority, service], index) => ({
			name: `r${index}`,
			host: 'h',
			pathPrefix: `/${index}/`,
			shares: [{ service, weight: 1 }],
			kind,
			timeoutMs: 1_000,
			targetMs: 100,
			priority,
			maxAttempts: 1,
			anonymous: false,
			resumable: false,
			maxPauseMs: 0,
		})),
		services: [],
		teams: [],
		limits: {
			maxHeaderBytes: 1,
			maxBodyBytes: 1,
			headerTimeoutMs: 1,
			idleTimeoutMs: 1,
		},
	}
}

const COMPETING = [
	{
		name: 'two priorities',
		routes: [
			['stream', 0, 'a'],
			['stream', 2, 'a'],
		],
		competing: true,
	},
	{
		name: 'one priority',
		routes: [
			['stream', 1, 'a'],
			['stream', 1, 'a'],
		],
		competing: false,
	},
	{
		name: 'another service',
		routes: [
			['stream', 0, 'a'],
			['stream', 2, 'b'],
		],
		competing: false,
	},
	{
		name: 'plain requests',
		routes: [
			['stream', 0, 'a'],
			['once', 2, 'a'],
		],
		competing: false,
	},
] as const

for (const { name, routes, competing } of COMPETING)
	test(`streams that compete by urgency: ${name}`, () => {
		assert.is(hasCompetingStreams(createConfig(routes), 'a'), competing)
	})

test.run()
