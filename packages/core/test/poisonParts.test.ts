/** Which prompt parts are suspected and quarantined for crashing servers. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { CrashEvidence, ServerCrash } from '../src/index.ts'
import {
	createQuarantine,
	listQuarantined,
	MAX_PARTS_PER_CRASH,
	mergeCrashEvidence,
	quarantineLeftMs,
	subjectKeyOf,
	subjectOf,
} from '../src/index.ts'

/** A crash, and how long each subject had been in flight there, ms. */
type CrashCase = readonly [server: string, at: number, ran: object]

function crashOf([server, at, ran]: CrashCase): ServerCrash {
	return { server, at, ran: new Map(Object.entries(ran)) }
}

interface SuspicionCase {
	readonly name: string
	readonly ends: readonly CrashCase[]
	readonly served?: readonly (readonly [subject: string, at: number])[]
	readonly quarantined: readonly string[]
	/** Suspected without being quarantined; requests left out. */
	readonly suspected: readonly string[]
}

const CASES: readonly SuspicionCase[] = [
	{
		name: 'one crash',
		ends: [['a', 0, { r1: 40, '#bad': 40, '#x': 40 }]],
		quarantined: [],
		suspected: ['#bad', '#x'],
	},
	{
		name: 'one crash, beside a part that was answered before',
		ends: [['a', 5_000, { r1: 40, '#bad': 40, '#x': 40 }]],
		served: [['#x', 1_000]],
		quarantined: [],
		suspected: ['#bad'],
	},
	{
		name: 'two crashes under different requests',
		ends: [
			['a', 0, { r1: 40, '#bad': 40, '#x': 40 }],
			['b', 4_000, { r2: 40, '#bad': 40, '#y': 40 }],
		],
		quarantined: ['#bad'],
		suspected: [],
	},
	{
		name: 'two crashes beside a part that was answered before the first',
		ends: [
			['a', 5_000, { r1: 40, '#bad': 40, '#popular': 40 }],
			['b', 9_000, { r2: 40, '#bad': 40, '#popular': 40 }],
		],
		served: [['#popular', 1_000]],
		quarantined: ['#bad'],
		suspected: [],
	},
	{
		name: 'two crashes beside a part that was answered between them',
		ends: [
			['a', 5_000, { r1: 40, '#bad': 40, '#popular': 40 }],
			['b', 9_000, { r2: 40, '#bad': 40, '#popular': 40 }],
		],
		served: [['#popular', 7_000]],
		quarantined: ['#bad'],
		suspected: [],
	},
	{
		name: 'a part that was last answered more than ten minutes before',
		ends: [
			['a', 700_000, { r1: 40, '#x': 40 }],
			['b', 704_000, { r2: 40, '#x': 40 }],
		],
		served: [['#x', 1_000]],
		quarantined: ['#x'],
		suspected: [],
	},
	{
		name: 'two crashes under the same two parts',
		ends: [
			['a', 0, { r1: 40, '#bad': 40, '#x': 40 }],
			['b', 4_000, { r2: 40, '#bad': 40, '#x': 40 }],
		],
		quarantined: [],
		suspected: ['#bad', '#x'],
	},
	{
		name: 'three crashes under the same two parts',
		ends: [
			['a', 0, { r1: 40, '#bad': 40, '#x': 40 }],
			['b', 4_000, { r2: 40, '#bad': 40, '#x': 40 }],
			['c', 8_000, { r3: 40, '#bad': 40, '#x': 40 }],
		],
		quarantined: ['#bad', '#x'],
		suspected: [],
	},
	{
		name: 'three crashes under the same two parts, one of them then answered',
		ends: [
			['a', 0, { r1: 40, '#bad': 40, '#x': 40 }],
			['b', 4_000, { r2: 40, '#bad': 40, '#x': 40 }],
			['c', 8_000, { r3: 40, '#bad': 40, '#x': 40 }],
		],
		served: [['#x', 9_000]],
		quarantined: ['#bad'],
		suspected: [],
	},
	{
		name: 'the same request at both crashes explains them',
		ends: [
			['a', 0, { bad: 40, '#x': 40 }],
			['b', 4_000, { bad: 40, '#x': 40 }],
		],
		quarantined: ['bad'],
		suspected: ['#x'],
	},
	{
		name: 'the same request at two crashes, another with the same part at a third',
		ends: [
			['a', 0, { r1: 40, '#bad': 40 }],
			['b', 4_000, { r1: 40, '#bad': 40 }],
			['c', 8_000, { r2: 40, '#bad': 40 }],
		],
		quarantined: ['r1', '#bad'],
		suspected: [],
	},
	{
		name: 'a part beside the cause twice and at a crash of its own',
		ends: [
			['a', 0, { r1: 40, '#bad': 40, '#x': 10, '#y': 40 }],
			['b', 4_000, { r2: 40, '#x': 10 }],
			['c', 8_000, { r3: 40, '#bad': 9_000, '#x': 10 }],
			['d', 12_000, { r4: 40, '#bad': 40, '#y': 40 }],
			['e', 16_000, { r5: 40, '#bad': 40 }],
			['z', 20_000, { r6: 40 }],
		],
		quarantined: ['#bad'],
		suspected: ['#x'],
	},
	{
		name: 'two parts whose servers crash together, twice',
		ends: [
			['a', 0, { r1: 40, '#bad1': 40 }],
			['b', 100, { r2: 40, '#bad2': 40 }],
			['c', 4_000, { r3: 40, '#bad1': 40 }],
			['d', 4_050, { r4: 40, '#bad2': 40 }],
		],
		quarantined: ['#bad1', '#bad2'],
		suspected: [],
	},
	{
		name: 'a new part at all servers of a data centre that crash together',
		ends: [
			['a', 0, { r1: 500, '#popular': 500 }],
			['b', 2, { r2: 100, '#popular': 100 }],
			['c', 5, { r3: 300, '#popular': 300 }],
		],
		quarantined: [],
		suspected: ['#popular'],
	},
	{
		name: 'one crash of the only suspected part, beside a quarantined part',
		ends: [
			['a', 0, { r1: 40, '#bad1': 40 }],
			['b', 4_000, { r2: 40, '#bad2': 40 }],
			['c', 8_000, { r3: 40, '#bad1': 40 }],
			['d', 12_000, { r4: 40, '#bad3': 40 }],
		],
		quarantined: ['#bad1', '#bad2', '#bad3'],
		suspected: [],
	},
	{
		name: 'one crash of the only suspected part, beside a quarantined part and a server that crashes by itself',
		ends: [
			['a', 0, { r1: 40, '#x': 40 }],
			['b', 1_000, { r2: 40 }],
			['c', 4_000, { r3: 40, '#bad': 40 }],
			['d', 8_000, { r4: 40, '#bad': 40 }],
		],
		quarantined: ['#bad'],
		suspected: ['#x'],
	},
	{
		name: 'one crash of two suspected parts, beside a quarantined part',
		ends: [
			['a', 0, { r1: 40, '#bad': 40 }],
			['b', 4_000, { r2: 40, '#bad': 40 }],
			['c', 8_000, { r3: 40, '#x': 40, '#y': 40 }],
		],
		quarantined: ['#bad'],
		suspected: ['#x', '#y'],
	},
	{
		name: 'one crash of the only suspected part, long after a quarantined part',
		ends: [
			['a', 0, { r1: 40, '#bad': 40 }],
			['b', 4_000, { r2: 40, '#bad': 40 }],
			['c', 100_000, { r3: 40, '#x': 40 }],
		],
		quarantined: ['#bad'],
		suspected: ['#x'],
	},
	{
		name: 'one crash each of many parts',
		ends: [0, 1, 2, 3, 4, 5].map(at => [
			`s${at}`,
			at * 4_000,
			{ [`r${at}`]: 40, [`#p${at}`]: 40 },
		]),
		quarantined: [],
		suspected: ['#p0', '#p1', '#p2', '#p3', '#p4', '#p5'],
	},
]

const NOW = 800_000

function merge(evidence: Partial<CrashEvidence>[]) {
	const quarantine = createQuarantine()
	for (const { ends = [], served = [] } of evidence)
		mergeCrashEvidence(quarantine, { ends, served }, NOW)
	const quarantined = new Set(listQuarantined(quarantine))
	const suspected = [...quarantine.suspects.keys()].filter(
		key => !quarantined.has(key) && subjectOf(key).kind === 'part',
	)
	return [[...quarantined].sort(), suspected.sort()]
}

for (const { name, ends, served = [], quarantined, suspected } of CASES) {
	const crashes = ends.map(crashOf)
	const answers = served.map(([subject, at]) => ({ subject, at }))
	const expected = [[...quarantined].sort(), suspected]
	test(`poison parts: ${name}`, () => {
		assert.equal(merge([{ ends: crashes, served: answers }]), expected)
	})

	test(`poison parts: ${name}; in another order and repeated`, () => {
		const reversed = [...crashes].reverse().map(one => ({ ends: [one] }))
		const all = { ends: crashes, served: answers }
		assert.equal(merge([...reversed, { served: answers }, all]), expected)
	})
}

test('poison parts: what is in flight at a crash is bounded by kind', () => {
	const quarantine = createQuarantine()
	const ids = Array.from({ length: 2 * MAX_PARTS_PER_CRASH }, (_, at) => at)
	const keys = ids.map(id => subjectKeyOf({ kind: 'part', id: String(id) }))
	const ran = new Map([...keys, 'r1'].map(key => [key, 40]))
	const ends = [{ server: 'a', at: 0, ran }]
	mergeCrashEvidence(quarantine, { ends, served: [] }, 0)
	const kept = [...quarantine.crashes.get('a')!.ran.keys()]
	assert.is(kept.length, MAX_PARTS_PER_CRASH + 1)
	assert.ok(kept.includes('r1'))
})

const OTHERS = {
	none: [],
	/** A crash under other requests, which raises doubt. */
	near: [crashOf(['z', 20_000, { r9: 40 }])],
	far: [crashOf(['z', 200_000, { r9: 40 }])],
}
const DURATIONS: {
	crashes: number
	others: keyof typeof OTHERS
	quarantineMs: number
}[] = [
	{ crashes: 1, others: 'none', quarantineMs: 0 },
	{ crashes: 2, others: 'none', quarantineMs: 600_000 },
	{ crashes: 2, others: 'near', quarantineMs: 60_000 },
	{ crashes: 2, others: 'far', quarantineMs: 600_000 },
	{ crashes: 3, others: 'none', quarantineMs: 1_200_000 },
	{ crashes: 3, others: 'near', quarantineMs: 1_200_000 },
]

for (const { crashes, others, quarantineMs } of DURATIONS)
	test(`after ${crashes} crashes, others: ${others}, a part is quarantined for ${quarantineMs} ms`, () => {
		const quarantine = createQuarantine()
		const ends = Array.from({ length: crashes }, (_, at) =>
			crashOf([`s${at}`, at * 4_000, { [`r${at}`]: 40, '#bad': 40 }]),
		)
		const lastAt = ends.at(-1)!.at
		const evidence = { ends: [...ends, ...OTHERS[others]], served: [] }
		mergeCrashEvidence(quarantine, evidence, lastAt)
		assert.is(quarantineLeftMs(quarantine, '#bad', lastAt), quarantineMs)
		assert.is(quarantineLeftMs(quarantine, '#bad', lastAt + quarantineMs), 0)
	})

test.run()
