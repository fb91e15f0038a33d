/** Which requests are taken for those that end servers, and which are not. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Quarantine, ServerEnd } from '../src/index.ts'
import {
	barredForMs,
	createQuarantine,
	isBarred,
	listBarred,
	listEndNews,
	takeEndNews,
} from '../src/index.ts'

/** An end, and for how long each request had been there. */
type EndCase = readonly [server: string, at: number, ran: object]

function endOf([server, at, ran]: EndCase): ServerEnd {
	return { server, at, ran: new Map(Object.entries(ran)) }
}

function take(quarantine: Quarantine, ...ends: EndCase[]): void {
	const news = { ends: ends.map(endOf), served: [] }
	takeEndNews(quarantine, news, Math.max(...ends.map(([, at]) => at)))
}

const HOUR_MS = 3_600_000

const CASES: {
	name: string
	ends: readonly EndCase[]
	served?: readonly { fingerprint: string; at: number }[]
	barred: readonly string[]
}[] = [
	{
		name: 'two ends are not enough',
		ends: [
			['a', 0, { bad: 40 }],
			['b', 4_000, { bad: 40 }],
		],
		barred: [],
	},
	{
		name: 'three ends one after the other',
		ends: [
			['a', 0, { bad: 40 }],
			['b', 4_000, { bad: 2_000 }],
			['c', 8_000, { bad: 40 }],
		],
		barred: ['bad'],
	},
	{
		name: 'who ran beside it once or twice is not barred',
		ends: [
			['a', 0, { bad: 40, x: 900, y: 10 }],
			['b', 4_000, { bad: 40, x: 5, z: 100 }],
			['c', 8_000, { bad: 40, y: 300 }],
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
		served: [{ fingerprint: 'x', at: 5_000 }],
		barred: [],
	},
]

for (const { name, ends, served = [], barred } of CASES) {
	test(name, () => {
		const quarantine = createQuarantine()
		take(quarantine, ...ends)
		takeEndNews(quarantine, { ends: [], served }, 9_000)
		assert.equal(listBarred(quarantine), [...barred])
	})

	test(`${name}: the same whatever comes first, and twice`, () => {
		const quarantine = createQuarantine()
		for (const end of [...ends].reverse()) take(quarantine, end)
		takeEndNews(quarantine, { ends: [], served }, 9_000)
		take(quarantine, ...ends)
		assert.equal(listBarred(quarantine), [...barred])
	})
}

test('an end that several entries saw is one, with all that ran there', () => {
	const quarantine = createQuarantine()
	take(quarantine, ['a', 3, { bad: 40 }])
	const news = { ends: [endOf(['a', 0, { bad: 40, x: 2 }])], served: [] }
	const first = takeEndNews(quarantine, news, 5)
	const second = takeEndNews(quarantine, news, 5)
	assert.is(first.ends.length, 1)
	assert.is(second.ends.length, 0)
	const [end] = listEndNews(quarantine).ends
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
		takeEndNews(quarantine, { ends: [], served: [{ fingerprint, at }] }, at)
			.served.length
	assert.equal([tell('x', 10), tell('x', 11), tell('y', 12)], [1, 0, 0])
	assert.is(quarantine.suspects.size, 0)
})

test('a barred request may be sent again an hour after its last end', () => {
	const quarantine = createQuarantine()
	take(
		quarantine,
		['a', 0, { bad: 40 }],
		['b', 4_000, { bad: 40 }],
		['c', 8_000, { bad: 40 }],
	)
	assert.is(barredForMs(quarantine, 'bad', 10_000), HOUR_MS - 2_000)
	assert.is(barredForMs(quarantine, 'other', 10_000), 0)
	take(quarantine, ['z', 8_000 + HOUR_MS, { other: 1 }])
	assert.not(isBarred(quarantine, 'bad'))
})

test('a flood of ends is forgotten before what bars a request', () => {
	const quarantine = createQuarantine()
	take(
		quarantine,
		['a', 0, { bad: 40 }],
		['b', 4_000, { bad: 40 }],
		['c', 8_000, { bad: 40 }],
	)
	for (let at = 0; at < 1_000; at++) {
		const crowd = Array.from({ length: 50 }, (_, one) => [`x${at}-${one}`, 5])
		take(quarantine, [`s${at}`, 10_000 + at * 1_000, Object.fromEntries(crowd)])
	}
	assert.ok(quarantine.ends.size <= 256)
	assert.ok(
		Math.max(...[...quarantine.ends.values()].map(e => e.ran.size)) <= 16,
	)
	assert.ok(isBarred(quarantine, 'bad'))
})

test.run()
