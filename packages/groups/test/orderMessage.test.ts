/** Orders between agents: what is sent is what is received. */

import type { EngineOrder } from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	fromOrderMessage,
	packMap,
	toOrderMessage,
	unpackMap,
} from '../src/index.ts'

const SHARED = { fence: 7, epoch: 2 }

const ORDERS: { name: string; order: EngineOrder }[] = [
	{
		name: 'a small map',
		order: {
			...SHARED,
			type: 'prepare',
			version: 14,
			map: [
				[[0, 2], [1], []],
				[[255], [0, 1], [2]],
			],
		},
	},
	{
		name: 'a map with many experts',
		order: {
			...SHARED,
			type: 'prepare',
			version: 14,
			map: [[[256, 4_000], [1]]],
		},
	},
	{ name: 'an arm', order: { ...SHARED, type: 'arm', version: 14, step: 9 } },
	{ name: 'a hold', order: { ...SHARED, type: 'hold', step: 9 } },
	{ name: 'a probe', order: { type: 'probe', epoch: 2 } },
]

for (const { name, order } of ORDERS)
	test(`order message: ${name} arrives as it was sent`, () => {
		const line = JSON.stringify(toOrderMessage(order))
		assert.equal(fromOrderMessage(JSON.parse(line)), order)
	})

test('order message: a map of 72 ranks is less than half of its JSON', () => {
	const rank = (at: number) => [at, (at + 1) % 144, (at + 72) % 144]
	const set = Array.from({ length: 72 }, (_, at) => rank(at))
	const map = Array.from({ length: 12 }, () => set)
	assert.ok(packMap(map).length * 2 < JSON.stringify(map).length)
})

test('order message: a map that is cut short is refused', () => {
	const packed = packMap([[[1, 2], [3]]])
	assert.throws(() => unpackMap(packed.slice(0, 4)))
})

test.run()
