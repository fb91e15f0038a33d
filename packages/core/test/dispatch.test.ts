/** Selection of a server for a request, and probes of closed groups. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { AttemptOutcome } from '../src/index.ts'
import {
	chooseRow,
	clearGroupClosure,
	createRandom,
	createServerTable,
	GROUP_PROBE_INTERVAL_MS,
	listFullGroups,
	recordAttempt,
	recordGroupRefused,
	tryEnterGroup,
} from '../src/index.ts'

const OUTCOMES: {
	name: string
	results: readonly (readonly [number, AttemptOutcome])[]
	/** Row that must not be selected. */
	avoided: number
}[] = [
	{
		name: 'one that fails while the others succeed',
		results: [
			[0, { kind: 'failed' }],
			[0, { kind: 'failed' }],
			[1, { kind: 'good', tookMs: 20 }],
			[2, { kind: 'good', tookMs: 20 }],
		],
		avoided: 0,
	},
	{
		name: 'one that takes five times as long',
		results: [
			[0, { kind: 'good', tookMs: 20 }],
			[1, { kind: 'good', tookMs: 100 }],
			[2, { kind: 'good', tookMs: 20 }],
		],
		avoided: 1,
	},
	{
		name: 'one that cannot be connected to',
		results: [[2, { kind: 'unreached' }]],
		avoided: 2,
	},
]

const QUERY = {
	rows: [0, 1, 2],
	tried: new Set<number>(),
	queueCapacity: 0,
	permitted: new Set<number>(),
	withheld: new Set<number>(),
	closedGroups: new Set<number>(),
	localRows: new Set([0, 1, 2]),
	unreportedSends: 0,
}

for (const { name, results, avoided } of OUTCOMES)
	test(`server selection avoids ${name}`, () => {
		const table = createServerTable(['a', 'b', 'c'])
		table.open.fill(1)
		table.slots.fill(4)
		for (const [row, result] of results)
			recordAttempt(table, row, result, 1_000)
		const random = createRandom(1)
		for (let draw = 0; draw < 30; draw++) {
			const choice = chooseRow(table, QUERY, 1_100, random)
			assert.is(choice.kind, 'row')
			if (choice.kind === 'row') assert.is.not(choice.row, avoided)
		}
	})

test('server selection: a slow rank gets fewer requests', () => {
	const table = createServerTable(['a', 'b', 'c'])
	table.open.fill(1)
	table.slots.fill(8)
	table.slowdown[1] = 4
	const random = createRandom(1)
	const sent = [0, 0, 0]
	for (let count = 0; count < 16; count++) {
		const choice = chooseRow(table, QUERY, 0, random)
		if (choice.kind !== 'row') break
		table.sentSinceReport[choice.row]!++
		sent[choice.row]!++
	}
	assert.equal(sent, [8, 0, 8])
})

test('server selection: all full, none open, and all failing equally', () => {
	const table = createServerTable(['a', 'b', 'c'])
	const random = createRandom(1)
	assert.is(chooseRow(table, QUERY, 0, random).kind, 'none')
	table.open.fill(1)
	table.slots.fill(1)
	table.sentSinceReport.fill(1)
	assert.is(chooseRow(table, QUERY, 0, random).kind, 'full')
	table.sentSinceReport.fill(0)
	for (const row of QUERY.rows)
		for (let count = 0; count < 9; count++)
			recordAttempt(table, row, { kind: 'failed' }, 0)
	assert.is(chooseRow(table, QUERY, 1, random).kind, 'row')
})

const FULL_GROUPS = [
	{
		name: 'without a limit',
		maxInFlight: Number.POSITIVE_INFINITY,
		full: false,
	},
	{ name: 'with capacity for one request', maxInFlight: 2.5, full: false },
	{ name: 'with capacity for less than one', maxInFlight: 2.25, full: true },
]

for (const { name, maxInFlight, full } of FULL_GROUPS)
	test(`a group ${name} is ${full ? 'full' : 'not full'}`, () => {
		const table = createServerTable(['a', 'b', 'c', 'd'])
		table.group.fill(0)
		table.maxInFlight.fill(maxInFlight)
		table.sentSinceReport.set([3, 2, 2, 2])
		assert.is(listFullGroups(table).has(0), full)
	})

test('server selection respects the maximum in flight at a server', () => {
	const table = createServerTable(['a', 'b', 'c'])
	table.open.fill(1)
	table.slots.fill(8)
	table.sentSinceReport.fill(5)
	const random = createRandom(1)
	table.maxInFlight.fill(5)
	assert.is(chooseRow(table, QUERY, 0, random).kind, 'full')
	table.maxInFlight.fill(6)
	assert.is(chooseRow(table, QUERY, 0, random).kind, 'row')
})

// An entry whose assigned server was in backoff reserved all capacity at the others for
// their entries and refused callers.
test("server selection uses other entries' servers while its own are withheld", () => {
	const table = createServerTable(['a', 'b', 'c'])
	table.open.fill(1)
	table.slots.fill(4)
	table.assignedElsewhere[1] = 1
	table.assignedElsewhere[2] = 1
	const query = { ...QUERY, withheld: new Set([0]), unreportedSends: 20 }
	const choice = chooseRow(table, query, 0, createRandom(1))
	assert.is(choice.kind, 'row')
})

test('server selection excludes ranks of a closed group', () => {
	const table = createServerTable(['a', 'b', 'c'])
	table.open.fill(1)
	table.slots.fill(8)
	table.group.set([0, 0, 1])
	table.sentSinceReport[2] = 7
	const random = createRandom(1)
	const closed = (...groups: number[]) => ({
		...QUERY,
		closedGroups: new Set(groups),
	})
	assert.equal(chooseRow(table, closed(0), 0, random), { kind: 'row', row: 2 })
	assert.is(chooseRow(table, closed(0, 1), 0, random).kind, 'full')
})

const SLOW_GROUP_CASES: {
	name: string
	/** Slowdown of each of two groups of four ranks with four slots. */
	slowdowns: readonly [number, number]
	/** Requests sent before any slot becomes free. */
	requests: number
	/** Minimum and maximum of those at the first group. */
	first: readonly [number, number]
}[] = [
	{
		name: 'both at normal speed',
		slowdowns: [1, 1],
		requests: 12,
		first: [4, 8],
	},
	{
		name: 'a rank of the first 14 times slower, capacity at the other',
		slowdowns: [14, 1],
		requests: 12,
		first: [0, 0],
	},
	{
		name: 'a rank of the first 14 times slower, the other full',
		slowdowns: [14, 1],
		requests: 20,
		first: [4, 4],
	},
	{
		name: 'a rank of each equally slow',
		slowdowns: [14, 14],
		requests: 12,
		first: [4, 8],
	},
	{
		name: 'a rank of the first a quarter slower',
		slowdowns: [1.25, 1],
		requests: 12,
		first: [3, 6],
	},
]

for (const { name, slowdowns, requests, first } of SLOW_GROUP_CASES)
	test(`selection between groups that wait for their slowest rank: ${name}`, () => {
		const rows = [0, 1, 2, 3, 4, 5, 6, 7]
		const table = createServerTable(rows.map(String))
		table.open.fill(1)
		table.slots.fill(4)
		for (const row of rows) {
			table.group[row] = row < 4 ? 0 : 1
			table.groupSlowdown[row] = slowdowns[table.group[row]!]!
		}
		const query = { ...QUERY, rows, localRows: new Set(rows) }
		const random = createRandom(1)
		let atFirst = 0
		for (let sent = 0; sent < requests; sent++) {
			const choice = chooseRow(table, query, 0, random)
			assert.is(choice.kind, 'row')
			if (choice.kind !== 'row') return
			table.sentSinceReport[choice.row]!++
			if (choice.row < 4) atFirst++
		}
		const [min, max] = first
		assert.ok(atFirst >= min && atFirst <= max, `${atFirst} at the first group`)
	})

test('a closed group gets one probe at a time', () => {
	const closures = new Map()
	recordGroupRefused(closures, 's', 0)
	assert.not(tryEnterGroup(closures, 's', GROUP_PROBE_INTERVAL_MS - 1))
	assert.ok(tryEnterGroup(closures, 's', GROUP_PROBE_INTERVAL_MS))
	assert.not(tryEnterGroup(closures, 's', GROUP_PROBE_INTERVAL_MS + 1))
	assert.ok(clearGroupClosure(closures, 's'))
	assert.ok(tryEnterGroup(closures, 's', GROUP_PROBE_INTERVAL_MS + 1))
})

test.run()
