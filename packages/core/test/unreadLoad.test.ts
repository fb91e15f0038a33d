/** Tests the choice of server by its unread prompts, and the choice without them. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { DispatchQuery, Random, ServerTable } from '../src/index.ts'
import {
	chooseRow,
	copyServerRow,
	countInFlight,
	createRandom,
	createServerTable,
	estimateUnreportedLoad,
	loadPerUnreadToken,
	randomIndex,
	recordAttempt,
} from '../src/index.ts'

const ENGINE = { prefillTokensPerSecond: 60_000 }
const TARGET_MS = 400

function createQuery(rows: readonly number[], unreadLoad?: number) {
	return {
		rows,
		tried: new Set<number>(),
		queueCapacity: 0,
		permitted: new Set<number>(),
		withheld: new Set<number>(),
		closedGroups: new Set<number>(),
		localRows: new Set(rows),
		unreportedSends: 0,
		...(unreadLoad === undefined ? {} : { unreadLoad }),
	}
}

const UNREAD_LOAD = loadPerUnreadToken(ENGINE, TARGET_MS)

const CHOICES: {
	name: string
	unread: readonly number[]
	inFlight: readonly number[]
	chosen: readonly number[]
}[] = [
	{ name: 'none', unread: [0, 0, 0], inFlight: [1, 1, 1], chosen: [0, 1, 2] },
	{
		name: 'the fewest',
		unread: [900, 40, 900],
		inFlight: [1, 1, 1],
		chosen: [1],
	},
	{
		name: 'a long prompt against one more request',
		unread: [2_900, 0, 2_900],
		inFlight: [1, 2, 1],
		chosen: [1],
	},
	{
		name: 'a short prompt against one more request',
		unread: [400, 0, 400],
		inFlight: [1, 2, 1],
		chosen: [0, 2],
	},
	{
		name: 'all alike',
		unread: [800, 800, 800],
		inFlight: [2, 2, 1],
		chosen: [2],
	},
]

for (const { name, unread, inFlight, chosen } of CHOICES)
	test(`choice by unread prompts: ${name}`, () => {
		const table = createServerTable(['a', 'b', 'c'])
		table.open.fill(1)
		table.slots.fill(7)
		table.unreadTokens.set(unread)
		table.sentSinceReport.set(inFlight)
		const random = createRandom(3)
		const seen = new Set<number>()
		for (let draw = 0; draw < 60; draw++) {
			const choice = chooseRow(
				table,
				createQuery([0, 1, 2], UNREAD_LOAD),
				0,
				random,
			)
			if (choice.kind === 'row') seen.add(choice.row)
		}
		assert.equal([...seen].sort(), chosen)
	})

const LOADS = [
	{ perSecond: 60_000, targetMs: 400, tokens: 12_000, load: 1 },
	{ perSecond: 60_000, targetMs: 800, tokens: 12_000, load: 0.5 },
	{ perSecond: 0, targetMs: 400, tokens: 12_000, load: 0 },
	{ perSecond: 60_000, targetMs: 0, tokens: 12_000, load: 0 },
]

for (const { perSecond, targetMs, tokens, load } of LOADS)
	test(`${tokens} unread tokens at ${perSecond} a second, target ${targetMs} ms: load ${load}`, () => {
		const engine = { prefillTokensPerSecond: perSecond }
		const actual = tokens * loadPerUnreadToken(engine, targetMs)
		assert.ok(Math.abs(actual - load) < 1e-9)
	})

test('unread prompts stay with a server, and a new incarnation begins without', () => {
	const before = createServerTable(['a-1', 'b-1'])
	before.unreadTokens.fill(500)
	const after = createServerTable(['a-1', 'b-2'])
	for (const name of after.names) copyServerRow(before, after, name)
	assert.equal([...after.unreadTokens], [500, 0])
})

/** Penalties as before they were computed row by row. */
function penaltyLoads(
	table: ServerTable,
	rows: readonly number[],
	now: number,
): Map<number, number> {
	const decay = (row: number) => 0.5 ** ((now - table.smoothedAt[row]!) / 3_000)
	const rates = rows.map(row => table.failureRate[row]! * decay(row))
	const times = rows.map(row => table.serviceMs[row]!).filter(time => time > 0)
	const [lowestRate, fastest] = [Math.min(...rates), Math.min(...times)]
	const slowness = (row: number) => {
		const time = table.serviceMs[row]!
		if (time === 0) return 0
		return 0.25 * (Math.min(6, time / fastest) - 1) * decay(row)
	}
	return new Map(
		rows.map((row, at) => [row, 3 * (rates[at]! - lowestRate) + slowness(row)]),
	)
}

/** Compares loads as before there were unread prompts; draws like `chooseRow`. */
function chooseWithoutUnread(
	table: ServerTable,
	{ rows, localRows, unreportedSends }: DispatchQuery,
	now: number,
	random: Random,
): number {
	const assigned = rows.filter(row => table.assignedElsewhere[row] === 0)
	const unreported = estimateUnreportedLoad(unreportedSends, assigned.length)
	const reserved = Math.max(1, Math.floor(unreported))
	const isFree = (row: number) =>
		countInFlight(table, row) <
		table.slots[row]! - reserved * table.assignedElsewhere[row]!
	const free = rows.filter(isFree)
	const preferred = free.filter(row => table.assignedElsewhere[row] === 0)
	const others = free.filter(row => table.assignedElsewhere[row] === 1)
	const sampleSize = Math.max(2, 4 - preferred.length)
	const compared = [...preferred, ...sample(others, sampleSize, random)]
	const penalties = penaltyLoads(table, rows, now)
	let best = -1
	let bestLoad = Number.POSITIVE_INFINITY
	for (const row of sample(compared, compared.length, random)) {
		const remote = localRows.has(row) ? 0 : 0.02
		const ofGroup = 0.6 * (table.groupSlowdown[row]! - 1)
		const slow = 0.5 * (table.slowdown[row]! - 1) + Math.min(1, ofGroup)
		const inFlight =
			countInFlight(table, row) + unreported * table.assignedElsewhere[row]!
		const load =
			inFlight / table.slots[row]! + remote + slow + penalties.get(row)!
		if (load >= bestLoad) continue
		best = row
		bestLoad = load
	}
	return best
}

function sample(rows: readonly number[], count: number, random: Random) {
	const remaining = [...rows]
	const sampled: number[] = []
	while (remaining.length > 0 && sampled.length < count) {
		const at = randomIndex(random, remaining.length)
		sampled.push(remaining[at]!)
		remaining[at] = remaining.at(-1)!
		remaining.pop()
	}
	return sampled
}

const EQUAL: {
	name: string
	unreadLoad: number | undefined
	tokens: number
}[] = [
	{ name: 'the feature off', unreadLoad: undefined, tokens: 0 },
	{ name: 'the feature off, tokens left over', unreadLoad: 0, tokens: 900 },
	{ name: 'nothing unread', unreadLoad: UNREAD_LOAD, tokens: 0 },
]

for (const { name, unreadLoad, tokens } of EQUAL)
	test(`choice as without unread prompts, draw for draw: ${name}`, () => {
		const world = createRandom(5)
		const [ours, theirs] = [createRandom(9), createRandom(9)]
		for (let round = 0; round < 400; round++) {
			const count = 1 + randomIndex(world, 40)
			const rows = Array.from({ length: count }, (_, row) => row)
			const table = createServerTable(rows.map(String))
			table.open.fill(1)
			table.slots.fill(7)
			for (const row of rows) {
				table.unreadTokens[row] = tokens * world()
				table.sentSinceReport[row] = randomIndex(world, 8)
				table.reportedLoad[row] = randomIndex(world, 3)
				table.assignedElsewhere[row] = randomIndex(world, 2)
				table.slowdown[row] = 1 + world()
				table.groupSlowdown[row] = 1 + 3 * world()
				if (world() < 0.1) recordAttempt(table, row, { kind: 'failed' }, 0)
				const tookMs = 20 + 100 * world()
				if (world() < 0.3)
					recordAttempt(table, row, { kind: 'good', tookMs }, 50)
			}
			const query = {
				...createQuery(rows, unreadLoad),
				localRows: new Set(rows.filter(() => world() < 0.5)),
				unreportedSends: randomIndex(world, 30),
			}
			const choice = chooseRow(table, query, 100, ours)
			const expected = chooseWithoutUnread(table, query, 100, theirs)
			assert.is(choice.kind === 'row' ? choice.row : -1, expected)
		}
	})

test('mutant: unread prompts that always count change choices', () => {
	const table = createServerTable(['a', 'b'])
	table.open.fill(1)
	table.slots.fill(7)
	table.sentSinceReport.set([0, 1])
	table.unreadTokens.set([2_900, 0])
	const query = createQuery([0, 1], UNREAD_LOAD)
	const choice = chooseRow(table, query, 0, createRandom(1))
	const expected = chooseWithoutUnread(table, query, 0, createRandom(1))
	assert.is.not(choice.kind === 'row' ? choice.row : -1, expected)
})

test.run()
