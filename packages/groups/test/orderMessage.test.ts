/** Orders between agents: what is sent is what is received. */

import type { EngineOrder } from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { MapBase } from '../src/index.ts'
import {
	createKnownMaps,
	fromOrderMessage,
	noteMap,
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
		assert.equal(fromOrderMessage(JSON.parse(line), createKnownMaps()), order)
	})

test('order message: a map of 72 ranks is less than half of its JSON', () => {
	const map = largeMap()
	assert.ok(packMap(map).length * 2 < JSON.stringify(map).length)
})

const DEALT: MapBase = {
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
	/** What the receiving agent remembers. */
	known?: MapBase
	/** Whether it can tell the map. */
	told: boolean
}[] = [
	{ name: 'of the dealt map', base: DEALT, told: true },
	{ name: 'of the map in use', base: USED, known: USED, told: true },
	{ name: 'of a map never seen', base: USED, told: false },
	{
		name: 'of a map of another epoch',
		base: USED,
		known: { ...USED, epoch: 1 },
		told: false,
	},
	{
		name: 'of a version that is another map here',
		base: USED,
		known: { ...USED, map: DEALT.map },
		told: false,
	},
]

for (const { name, base, known, told } of BASES)
	test(`order message: changes ${name}, ${told ? 'told' : 'asked for whole'}`, () => {
		const memory = createKnownMaps()
		if (known) noteMap(memory, known.epoch, known.version, known.map)
		const order = {
			...SHARED,
			type: 'prepare',
			version: 14,
			map: NEXT,
		} as const
		const line = JSON.stringify(toOrderMessage(order, base))
		const got = fromOrderMessage(JSON.parse(line), memory)
		assert.equal(got, told ? order : undefined)
	})

test('order message: two changes take a fraction of a map of 72 ranks', () => {
	const base = { ...DEALT, map: largeMap(), experts: 144 }
	const map = largeMap()
	map[0]![0] = [5]
	map[11]![71] = []
	const order = { ...SHARED, type: 'prepare', version: 14, map } as const
	const changed = JSON.stringify(toOrderMessage(order, base))
	const whole = JSON.stringify(toOrderMessage(order))
	assert.ok(changed.length * 10 < whole.length)
})

function largeMap(): number[][][] {
	const rank = (at: number) => [at, (at + 1) % 144, (at + 72) % 144]
	const set = () => Array.from({ length: 72 }, (_, at) => rank(at))
	return Array.from({ length: 12 }, set)
}

test('order message: a map that is cut short is refused', () => {
	const packed = packMap([[[1, 2], [3]]])
	assert.throws(() => unpackMap(packed.slice(0, 4)))
})

test.run()
