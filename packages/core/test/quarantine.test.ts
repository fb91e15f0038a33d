/** Which requests are quarantined for crashing servers, and which are not. */

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

/** Crash, and how long each request had been in flight there, ms. */
type CrashCase = readonly [server: string, at: number, ran: object]

function crashOf([server, at, ran]: CrashCase): ServerCrash {
	return { server, at, ran: new Map(Object.entries(ran)) }
}

function record(quarantine: Quarantine, ...ends: CrashCase[]): void {
	const evidence = { ends: ends.map(crashOf), served: [] }
	mergeCrashEvidence(
		quarantine,
		evidence,
		Math.max(...ends.map(([, at]) => at)),
	)
}

const DAY_MS = 86_400_000

const CASES: {
	name: string
	ends: readonly CrashCase[]
	served?: readonly { subject: string; at: number }[]
	quarantined: readonly string[]
}[] = [
	{
		name: 'one crash is not enough',
		ends: [['a', 0, { bad: 40 }]],
		quarantined: [],
	},
	{
		name: 'the only request in flight that was in flight at an earlier crash',
		ends: [
			['a', 0, { bad: 40, x: 900 }],
			['b', 4_000, { bad: 40, y: 30 }],
		],
		quarantined: ['bad'],
	},
	{
		name: 'two requests in flight at the same two crashes',
		ends: [
			['a', 0, { bad: 40, x: 900 }],
			['b', 4_000, { bad: 40, x: 900 }],
		],
		quarantined: [],
	},
	{
		name: 'the third crash identifies one of two suspects',
		ends: [
			['a', 0, { bad: 40, x: 900 }],
			['b', 4_000, { bad: 40, x: 900 }],
			['c', 8_000, { bad: 40, y: 900 }],
		],
		quarantined: ['bad'],
	},
	{
		name: 'requests next to a poison request once or twice are not quarantined',
		ends: [
			['a', 0, { bad: 40, x: 900, y: 10 }],
			['b', 4_000, { bad: 40, x: 5, y: 5, z: 100 }],
			['c', 8_000, { bad: 40, w: 300 }],
		],
		quarantined: ['bad'],
	},
	{
		name: 'a request next to it at all three crashes, in flight for longer',
		ends: [
			['a', 0, { x: 900, bad: 40 }],
			['b', 4_000, { x: 50, bad: 40 }],
			['c', 8_000, { x: 45, bad: 40 }],
		],
		quarantined: ['bad'],
	},
	{
		name: 'a wrong suspect is released after further crashes without it',
		ends: [
			['a', 0, { x: 10, bad: 40 }],
			['b', 4_000, { x: 10, bad: 40 }],
			['c', 8_000, { x: 10, bad: 40 }],
			['d', 12_000, { bad: 40 }],
			['e', 16_000, { bad: 40 }],
		],
		quarantined: ['bad'],
	},
	{
		name: 'servers of a data centre crash together, three times',
		ends: [
			['a1', 0, { x: 500 }],
			['b1', 2, { y: 500 }],
			['c1', 5, { z: 500 }],
			['a2', 6_000, { x: 500 }],
			['b2', 6_001, { y: 500 }],
			['a3', 12_000, { x: 500, y: 10 }],
			['b3', 12_004, { z: 10 }],
		],
		quarantined: [],
	},
	{
		name: 'the same popular request at all servers that crash together',
		ends: [
			['a', 0, { popular: 500 }],
			['b', 2, { popular: 100 }],
			['c', 5, { popular: 300 }],
			['d', 9, { popular: 900 }],
		],
		quarantined: [],
	},
	{
		name: 'servers that crash one by one under a request sent before the first crash',
		ends: [
			['a', 0, { popular: 500 }],
			['b', 600, { popular: 1_000 }],
			['c', 1_200, { popular: 1_600 }],
		],
		quarantined: [],
	},
	{
		name: 'concurrent copies of a request, and their retries',
		ends: [
			['a', 0, { bad: 40 }],
			['b', 3, { bad: 41 }],
			['c', 50, { bad: 35 }],
			['d', 110, { bad: 20 }],
			['e', 180, { bad: 20 }],
		],
		quarantined: ['bad'],
	},
	{
		name: 'six crashes, each next to an unrelated one',
		ends: [0, 1, 2, 3, 4, 5].flatMap((at): CrashCase[] => [
			[`a${at}`, at * 4_000, { bad: 40 }],
			[`b${at}`, at * 4_000 + 100, { [`other${at}`]: 70 }],
		]),
		quarantined: ['bad'],
	},
	{
		name: 'a request answered completely after two crashes',
		ends: [
			['a', 0, { x: 40 }],
			['b', 4_000, { x: 40 }],
			['c', 8_000, { x: 40 }],
		],
		served: [{ subject: 'x', at: 6_000 }],
		quarantined: [],
	},
]

for (const { name, ends, served = [], quarantined } of CASES) {
	test(name, () => {
		const quarantine = createQuarantine()
		record(quarantine, ...ends)
		mergeCrashEvidence(quarantine, { ends: [], served }, 9_000)
		assert.equal(listQuarantined(quarantine), [...quarantined])
	})

	test(`${name}: independent of order and repetition`, () => {
		const quarantine = createQuarantine()
		for (const end of [...ends].reverse()) record(quarantine, end)
		mergeCrashEvidence(quarantine, { ends: [], served }, 9_000)
		record(quarantine, ...ends)
		assert.equal(listQuarantined(quarantine), [...quarantined])
	})
}

test('reports of several entries about a crash merge, with all requests in flight', () => {
	const quarantine = createQuarantine()
	record(quarantine, ['a', 3, { bad: 40 }])
	const evidence = { ends: [crashOf(['a', 0, { bad: 40, x: 2 }])], served: [] }
	const first = mergeCrashEvidence(quarantine, evidence, 5)
	const second = mergeCrashEvidence(quarantine, evidence, 5)
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

test('an answer is new once, and only for a suspected request', () => {
	const quarantine = createQuarantine()
	record(quarantine, ['a', 0, { x: 40 }])
	const merge = (subject: string, at: number) =>
		mergeCrashEvidence(quarantine, { ends: [], served: [{ subject, at }] }, at)
			.served.length
	assert.equal([merge('x', 10), merge('x', 11), merge('y', 12)], [1, 0, 0])
	assert.is(quarantine.suspects.size, 0)
})

const DURATIONS: { ends: number; quarantineMs: number }[] = [
	{ ends: 1, quarantineMs: 0 },
	{ ends: 2, quarantineMs: 600_000 },
	{ ends: 3, quarantineMs: 1_200_000 },
	{ ends: 4, quarantineMs: 2_400_000 },
]

for (const { ends, quarantineMs } of DURATIONS)
	test(`after ${ends} crashes a request is quarantined for ${quarantineMs} ms`, () => {
		const quarantine = createQuarantine()
		const at = (one: number) => one * 700_000
		for (let one = 0; one < ends; one++)
			record(quarantine, [`s${one}`, at(one), { bad: 40 }])
		const lastAt = at(ends - 1)
		assert.is(quarantineLeftMs(quarantine, 'bad', lastAt), quarantineMs)
		assert.is(quarantineLeftMs(quarantine, 'bad', lastAt + quarantineMs), 0)
		assert.is(quarantineLeftMs(quarantine, 'other', lastAt), 0)
	})

test('crashes expire after a day', () => {
	const quarantine = createQuarantine()
	record(quarantine, ['a', 0, { bad: 40 }], ['b', 4_000, { bad: 40 }])
	record(quarantine, ['z', DAY_MS + 4_000, { other: 1 }])
	assert.equal([...quarantine.crashes.keys()], ['z'])
})

test('a flood of crashes is evicted before the evidence of a quarantine', () => {
	const quarantine = createQuarantine()
	record(quarantine, ['a', 0, { bad: 40 }], ['b', 4_000, { bad: 40 }])
	for (let at = 0; at < 1_000; at++) {
		const others = Array.from({ length: 50 }, (_, one) => [`x${at}-${one}`, 5])
		record(quarantine, [
			`s${at}`,
			10_000 + at * 1_000,
			Object.fromEntries(others),
		])
	}
	assert.ok(quarantine.crashes.size <= 256)
	assert.ok(
		Math.max(...[...quarantine.crashes.values()].map(e => e.ran.size)) <= 16,
	)
	assert.equal(listQuarantined(quarantine), ['bad'])
})

test.run()
