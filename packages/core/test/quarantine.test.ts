/** Which requests are taken for those that end servers, and which are not. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Quarantine, ServerCrash } from '../src/index.ts'
import {
	createQuarantine,
	listCrashEvidence,
	listQuarantined,
	mergeCrashEvidence,
	quarantineLeftMs,
} from '../src/index.ts'

/** An end, and for how long each request had been there. */
type EndCase = readonly [server: string, at: number, ran: object]

function endOf([server, at, ran]: EndCase): ServerCrash {
	return { server, at, ran: new Map(Object.entries(ran)) }
}

function take(quarantine: Quarantine, ...ends: EndCase[]): void {
	const news = { ends: ends.map(endOf), served: [] }
	mergeCrashEvidence(quarantine, news, Math.max(...ends.map(([, at]) => at)))
}

const DAY_MS = 86_400_000

const CASES: {
	name: string
	ends: readonly EndCase[]
	served?: readonly { fingerprint: string; at: number }[]
	barred: readonly string[]
}[] = [
	{
		name: 'one end is not enough',
		ends: [['a', 0, { bad: 40 }]],
		barred: [],
	},
	{
		name: 'the only one of those there that was under an end before',
		ends: [
			['a', 0, { bad: 40, x: 900 }],
			['b', 4_000, { bad: 40, y: 30 }],
		],
		barred: ['bad'],
	},
	{
		name: 'two that were under the same two ends',
		ends: [
			['a', 0, { bad: 40, x: 900 }],
			['b', 4_000, { bad: 40, x: 900 }],
		],
		barred: [],
	},
	{
		name: 'the third end tells which of two it is',
		ends: [
			['a', 0, { bad: 40, x: 900 }],
			['b', 4_000, { bad: 40, x: 900 }],
			['c', 8_000, { bad: 40, y: 900 }],
		],
		barred: ['bad'],
	},
	{
		name: 'who ran beside it once or twice is not barred',
		ends: [
			['a', 0, { bad: 40, x: 900, y: 10 }],
			['b', 4_000, { bad: 40, x: 5, y: 5, z: 100 }],
			['c', 8_000, { bad: 40, w: 300 }],
		],
		barred: ['bad'],
	},
	{
		name: 'who was beside it at all three ends, and had been there before it',
		ends: [
			['a', 0, { x: 900, bad: 40 }],
			['b', 4_000, { x: 50, bad: 40 }],
			['c', 8_000, { x: 45, bad: 40 }],
		],
		barred: ['bad'],
	},
	{
		name: 'who was taken for it is released when it ends more',
		ends: [
			['a', 0, { x: 10, bad: 40 }],
			['b', 4_000, { x: 10, bad: 40 }],
			['c', 8_000, { x: 10, bad: 40 }],
			['d', 12_000, { bad: 40 }],
			['e', 16_000, { bad: 40 }],
		],
		barred: ['bad'],
	},
	{
		name: 'servers of a data centre end at once, three times',
		ends: [
			['a1', 0, { x: 500 }],
			['b1', 2, { y: 500 }],
			['c1', 5, { z: 500 }],
			['a2', 6_000, { x: 500 }],
			['b2', 6_001, { y: 500 }],
			['a3', 12_000, { x: 500, y: 10 }],
			['b3', 12_004, { z: 10 }],
		],
		barred: [],
	},
	{
		name: 'the same popular request at all servers that end at once',
		ends: [
			['a', 0, { popular: 500 }],
			['b', 2, { popular: 100 }],
			['c', 5, { popular: 300 }],
			['d', 9, { popular: 900 }],
		],
		barred: [],
	},
	{
		name: 'servers that end one by one under what was sent before the first end',
		ends: [
			['a', 0, { popular: 500 }],
			['b', 600, { popular: 1_000 }],
			['c', 1_200, { popular: 1_600 }],
		],
		barred: [],
	},
	{
		name: 'copies at once, and their repeats',
		ends: [
			['a', 0, { bad: 40 }],
			['b', 3, { bad: 41 }],
			['c', 50, { bad: 35 }],
			['d', 110, { bad: 20 }],
			['e', 180, { bad: 20 }],
		],
		barred: ['bad'],
	},
	{
		name: 'each end beside another, six times',
		ends: [0, 1, 2, 3, 4, 5].flatMap((at): EndCase[] => [
			[`a${at}`, at * 4_000, { bad: 40 }],
			[`b${at}`, at * 4_000 + 100, { [`other${at}`]: 70 }],
		]),
		barred: ['bad'],
	},
	{
		name: 'answered whole after two ends',
		ends: [
			['a', 0, { x: 40 }],
			['b', 4_000, { x: 40 }],
			['c', 8_000, { x: 40 }],
		],
		served: [{ fingerprint: 'x', at: 6_000 }],
		barred: [],
	},
]

for (const { name, ends, served = [], barred } of CASES) {
	test(name, () => {
		const quarantine = createQuarantine()
		take(quarantine, ...ends)
		mergeCrashEvidence(quarantine, { ends: [], served }, 9_000)
		assert.equal(listQuarantined(quarantine), [...barred])
	})

	test(`${name}: the same whatever comes first, and twice`, () => {
		const quarantine = createQuarantine()
		for (const end of [...ends].reverse()) take(quarantine, end)
		mergeCrashEvidence(quarantine, { ends: [], served }, 9_000)
		take(quarantine, ...ends)
		assert.equal(listQuarantined(quarantine), [...barred])
	})
}

test('an end that several entries saw is one, with all that ran there', () => {
	const quarantine = createQuarantine()
	take(quarantine, ['a', 3, { bad: 40 }])
	const news = { ends: [endOf(['a', 0, { bad: 40, x: 2 }])], served: [] }
	const first = mergeCrashEvidence(quarantine, news, 5)
	const second = mergeCrashEvidence(quarantine, news, 5)
	assert.is(first.ends.length, 1)
	assert.is(second.ends.length, 0)
	const [end] = listCrashEvidence(quarantine).ends
	assert.equal(
		[end!.at, [...end!.ran]],
		[
			0,
			[
				['bad', 40],
				['x', 2],
			],
		],
	)
})

test('an answer is news once, and only for who is suspected', () => {
	const quarantine = createQuarantine()
	take(quarantine, ['a', 0, { x: 40 }])
	const tell = (fingerprint: string, at: number) =>
		mergeCrashEvidence(
			quarantine,
			{ ends: [], served: [{ fingerprint, at }] },
			at,
		).served.length
	assert.equal([tell('x', 10), tell('x', 11), tell('y', 12)], [1, 0, 0])
	assert.is(quarantine.suspects.size, 0)
})

const BARRED_FOR: { ends: number; barredMs: number }[] = [
	{ ends: 1, barredMs: 0 },
	{ ends: 2, barredMs: 600_000 },
	{ ends: 3, barredMs: 1_200_000 },
	{ ends: 4, barredMs: 2_400_000 },
]

for (const { ends, barredMs } of BARRED_FOR)
	test(`after ${ends} ends a request is barred for ${barredMs} ms`, () => {
		const quarantine = createQuarantine()
		const at = (one: number) => one * 700_000
		for (let one = 0; one < ends; one++)
			take(quarantine, [`s${one}`, at(one), { bad: 40 }])
		const lastAt = at(ends - 1)
		assert.is(quarantineLeftMs(quarantine, 'bad', lastAt), barredMs)
		assert.is(quarantineLeftMs(quarantine, 'bad', lastAt + barredMs), 0)
		assert.is(quarantineLeftMs(quarantine, 'other', lastAt), 0)
	})

test('ends are forgotten after a day', () => {
	const quarantine = createQuarantine()
	take(quarantine, ['a', 0, { bad: 40 }], ['b', 4_000, { bad: 40 }])
	take(quarantine, ['z', DAY_MS + 4_000, { other: 1 }])
	assert.equal([...quarantine.crashes.keys()], ['z'])
})

test('a flood of ends is forgotten before what bars a request', () => {
	const quarantine = createQuarantine()
	take(quarantine, ['a', 0, { bad: 40 }], ['b', 4_000, { bad: 40 }])
	for (let at = 0; at < 1_000; at++) {
		const crowd = Array.from({ length: 50 }, (_, one) => [`x${at}-${one}`, 5])
		take(quarantine, [`s${at}`, 10_000 + at * 1_000, Object.fromEntries(crowd)])
	}
	assert.ok(quarantine.crashes.size <= 256)
	assert.ok(
		Math.max(...[...quarantine.crashes.values()].map(e => e.ran.size)) <= 16,
	)
	assert.equal(listQuarantined(quarantine), ['bad'])
})

test.run()
