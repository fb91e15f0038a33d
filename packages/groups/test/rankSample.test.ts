/** Samples of expert choices: only increments, in a compact encoding. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EnginePort, RankCounts } from '../src/index.ts'
import {
	createCountCursor,
	decodeSample,
	encodeSample,
	readSample,
} from '../src/index.ts'

const REPORT = {
	group: 'g',
	rank: 0,
	size: 1,
	epoch: 1,
	open: true,
	step: 1,
	map: 0,
	prepared: undefined,
	armed: undefined,
	held: undefined,
	running: 3,
	waiting: 1,
	pace: 1,
}

const READINGS: {
	name: string
	first: RankCounts
	second: RankCounts
	chosen: readonly number[]
}[] = [
	{
		name: 'increments since the last reading',
		first: { epoch: 1, counts: [5, 7] },
		second: { epoch: 1, counts: [5, 9] },
		chosen: [0, 2],
	},
	{
		name: 'none in the first reading of a new epoch',
		first: { epoch: 1, counts: [5, 7] },
		second: { epoch: 2, counts: [6, 8] },
		chosen: [],
	},
	{
		name: 'none in the first reading of a new incarnation in the same epoch',
		first: { epoch: 1, counts: [5, 7], bornAt: 10 },
		second: { epoch: 1, counts: [6, 8], bornAt: 20 },
		chosen: [],
	},
	{
		name: 'no negative increments',
		first: { epoch: 1, counts: [5, 7] },
		second: { epoch: 1, counts: [1, 8] },
		chosen: [0, 1],
	},
]

for (const { name, first, second, chosen } of READINGS)
	test(`choices: ${name}`, async () => {
		const readings = [first, second]
		const port = {
			counts: async () => readings.shift(),
		} as unknown as EnginePort
		const cursor = createCountCursor()
		const one = await readSample(port, '', cursor, REPORT)
		assert.equal(one?.chosen, [])
		const two = await readSample(port, '', cursor, REPORT)
		assert.equal(two?.chosen, chosen)
		assert.is(two?.running, 3)
	})

const SAMPLES: { name: string; chosen: readonly number[] }[] = [
	{ name: 'none', chosen: [] },
	{ name: 'small numbers', chosen: [0, 1, 255] },
	{ name: 'large numbers', chosen: [0, 900, 51_000] },
]

for (const { name, chosen } of SAMPLES)
	test(`choices: ${name} are decoded to within a 255th of the largest`, () => {
		const rest = { epoch: 1, running: 1, waiting: 0, pace: 1 }
		const line = JSON.stringify(encodeSample({ ...rest, chosen }))
		const { length } = chosen
		const decoded = decodeSample(JSON.parse(line), length).chosen
		assert.is(decoded.length, chosen.length)
		const unit = Math.max(1, Math.max(0, ...chosen) / 255)
		for (const [at, count] of chosen.entries())
			assert.ok(Math.abs(decoded[at]! - count) <= unit / 2)
	})

/** Counts of 0.2 s of a rank whose 3,839 experts are chosen unevenly. */
const MANY = Array.from({ length: 3_839 }, (_, at) => (at * 7_919) % 225)

test('choices: counts of many experts are decoded to within half a root step', () => {
	const sample = { epoch: 1, chosen: MANY, running: 1, waiting: 0, pace: 1 }
	const line = JSON.stringify(encodeSample(sample))
	assert.ok(line.length < 2_700, `${line.length} bytes`)
	const decoded = decodeSample(JSON.parse(line), MANY.length).chosen
	assert.is(decoded.length, MANY.length)
	for (const [at, count] of MANY.entries())
		assert.ok(Math.abs(Math.sqrt(decoded[at]!) - Math.sqrt(count)) <= 0.5)
})

test('choices: counts of 1,728 experts take less than 3 KB', () => {
	const chosen = Array.from({ length: 1_728 }, (_, at) => at)
	const sample = { epoch: 1, chosen, running: 1, waiting: 0, pace: 1 }
	assert.ok(JSON.stringify(encodeSample(sample)).length < 3_000)
})

test.run()
