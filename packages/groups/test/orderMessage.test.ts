/** Encoding of orders between agents. */

import type { EngineOrder } from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { MapBase } from '../src/index.ts'
import {
	cacheMap,
	createMapCache,
	decodeOrder,
	encodeOrder,
	packMap,
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
	test(`order message: ${name} is decoded as it was encoded`, () => {
		const line = JSON.stringify(encodeOrder(order))
		assert.equal(decodeOrder(JSON.parse(line), createMapCache()), order)
	})

test('order message: a packed map of 72 ranks takes less than half of its JSON', () => {
	const map = largeMap()
	assert.ok(packMap(map).length * 2 < JSON.stringify(map).length)
})

const INITIAL: MapBase = {
	epoch: 2,
	version: 0,
	map: Array.from({ length: 2 }, () => [[0, 2], [1]]),
	experts: 3,
}
const USED: MapBase = {
	epoch: 2,
	version: 8,
	map: [
		[[0, 1], [2]],
		[[0], [1, 2]],
	],
	experts: 3,
}
const NEXT = [
	[[0, 1, 2], [2]],
	[[0], [1, 2]],
]

const BASES: {
	name: string
	base: MapBase
	/** Map in the receiver's cache. */
	cached?: MapBase
	/** Whether the receiver can decode the map. */
	decoded: boolean
}[] = [
	{ name: 'against the initial map', base: INITIAL, decoded: true },
	{ name: 'against the map in use', base: USED, cached: USED, decoded: true },
	{ name: 'against an unknown map', base: USED, decoded: false },
	{
		name: 'against a map of another epoch',
		base: USED,
		cached: { ...USED, epoch: 1 },
		decoded: false,
	},
	{
		name: 'against a version that is another map at the receiver',
		base: USED,
		cached: { ...USED, map: INITIAL.map },
		decoded: false,
	},
]

for (const { name, base, cached, decoded } of BASES)
	test(`order message: delta ${name}, ${decoded ? 'decoded' : 'not decoded'}`, () => {
		const cache = createMapCache()
		if (cached) cacheMap(cache, cached.epoch, cached.version, cached.map)
		const order = {
			...SHARED,
			type: 'prepare',
			version: 14,
			map: NEXT,
		} as const
		const line = JSON.stringify(encodeOrder(order, base))
		const result = decodeOrder(JSON.parse(line), cache)
		assert.equal(result, decoded ? order : undefined)
	})

test('order message: a delta of two ranks takes a fraction of a map of 72 ranks', () => {
	const base = { ...INITIAL, map: largeMap(), experts: 144 }
	const map = largeMap()
	map[0]![0] = [5]
	map[11]![71] = []
	const order = { ...SHARED, type: 'prepare', version: 14, map } as const
	const changed = JSON.stringify(encodeOrder(order, base))
	const whole = JSON.stringify(encodeOrder(order))
	assert.ok(changed.length * 10 < whole.length)
})

function largeMap(): number[][][] {
	const rank = (at: number) => [at, (at + 1) % 144, (at + 72) % 144]
	const set = () => Array.from({ length: 72 }, (_, at) => rank(at))
	return Array.from({ length: 12 }, set)
}

test('order message: a truncated map is refused', () => {
	const packed = packMap([[[1, 2], [3]]])
	assert.throws(() => unpackMap(packed.slice(0, 4)))
})

test.run()
