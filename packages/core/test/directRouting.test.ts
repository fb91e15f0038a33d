/** Decisions of an entry that sends to servers itself, on small cases. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ListedServer, TrafficConfig, TryResult } from '../src/index.ts'
import {
	allowedHeld,
	chooseRow,
	createRandom,
	createRetryWindow,
	createRouteTable,
	createServerList,
	createServerTable,
	doubtRemoval,
	drawService,
	findMissing,
	findRoute,
	isBeyondLimits,
	listFullGroups,
	listServing,
	mayEnter,
	noteClosed,
	noteDisplaced,
	noteOpen,
	noteRequest,
	noteTry,
	settleRemovals,
	TRY_AGAIN_MS,
	takeRecord,
	takeRetry,
} from '../src/index.ts'

const ROUTE = {
	name: 'r',
	host: 'huts.example',
	pathPrefix: '/a/',
	shares: [{ service: 'plain', weight: 1 }],
	kind: 'repeatable',
	timeoutMs: 1_000,
	targetMs: 100,
	priority: 5,
	maxAttempts: 2,
	anonymous: false,
	resumable: false,
	maxPauseMs: 0,
} as const

const CONFIG: TrafficConfig = {
	version: 3,
	routes: [
		{ ...ROUTE, name: 'short' },
		{ ...ROUTE, name: 'long', pathPrefix: '/a/b/' },
		{ ...ROUTE, name: 'other', host: 'Lifts.example' },
	],
	services: [],
	teams: [],
	limits: {
		maxHeaderBytes: 1,
		maxBodyBytes: 1,
		headerTimeoutMs: 1,
		idleTimeoutMs: 1,
	},
}

const ROUTES: { host: string; path: string; route: string | undefined }[] = [
	{ host: 'huts.example', path: '/a/x', route: 'short' },
	{ host: 'huts.example', path: '/a/b/x?q=1', route: 'long' },
	{ host: 'HUTS.example:8080', path: '/a/b', route: 'short' },
	{ host: 'lifts.example', path: '/a/', route: 'other' },
	{ host: 'huts.example', path: '/ab/', route: undefined },
	{ host: 'unknown.example', path: '/a/', route: undefined },
]

for (const { host, path, route } of ROUTES)
	test(`route of ${host}${path} is ${route}`, () => {
		const found = findRoute(createRouteTable(CONFIG), host, path)
		assert.is(found?.name, route)
	})

test('service by weight: shares follow the weights', () => {
	const random = createRandom(7)
	const shares = [
		{ service: 'a', weight: 90 },
		{ service: 'b', weight: 10 },
	]
	let toB = 0
	for (let draw = 0; draw < 2_000; draw++)
		if (drawService(shares, random) === 'b') toB++
	assert.ok(toB > 140 && toB < 260, `${toB} of 2000`)
})

function serverOf(id: string, address = `10.0.0.1:${id}`): ListedServer {
	return {
		id,
		service: 'plain',
		address,
		dataCentre: 'north',
		slots: 4,
		leaving: false,
		coldMs: 0,
	}
}

function idsOf(list: ReturnType<typeof createServerList>): string[] {
	return listServing(list).map(server => server.id)
}

test('server list: an older record never wins', () => {
	const list = createServerList()
	assert.ok(takeRecord(list, { id: '1', revision: 9, server: undefined }))
	assert.not(takeRecord(list, { id: '1', revision: 5, server: serverOf('1') }))
	assert.equal(idsOf(list), [])
})

test('server list: one that leaves does not come back', () => {
	const list = createServerList()
	const leaving = { ...serverOf('1'), leaving: true }
	takeRecord(list, { id: '1', revision: 2, server: leaving })
	assert.not(takeRecord(list, { id: '1', revision: 3, server: serverOf('1') }))
	assert.equal(idsOf(list), [])
})

test('server list: a removal while the source was away is doubted', () => {
	const list = createServerList()
	takeRecord(list, { id: '1', revision: 2, server: serverOf('1') })
	takeRecord(list, { id: '2', revision: 2, server: serverOf('2') })
	for (const record of findMissing(list, new Set(), 7))
		doubtRemoval(list, record, 1_000)
	assert.equal(idsOf(list), ['1', '2'])
	takeRecord(list, { id: '2', revision: 8, server: serverOf('2') })
	assert.equal(settleRemovals(list, 999), [])
	assert.equal(settleRemovals(list, 1_000), ['1'])
	assert.equal(idsOf(list), ['2'])
})

test('server list: the newest id of an address is the one there', () => {
	const list = createServerList()
	const there = '10.0.0.9:80'
	takeRecord(list, { id: 'old', revision: 2, server: serverOf('old', there) })
	takeRecord(list, { id: 'new', revision: 6, server: serverOf('new', there) })
	assert.equal(idsOf(list), ['new'])
	noteDisplaced(list, 'new')
	assert.equal(idsOf(list), [])
})

const ALLOWANCE = { ratio: 0.2, slack: 40, windowMs: 10_000 }

const BUDGETS: {
	name: string
	entries: number
	requests: number
	most: number
}[] = [
	{ name: 'alone, no requests', entries: 1, requests: 0, most: 20 },
	{ name: 'one of four, no requests', entries: 4, requests: 0, most: 5 },
	{ name: 'one of four, 100 requests', entries: 4, requests: 100, most: 15 },
]

for (const { name, entries, requests, most } of BUDGETS)
	test(`retry window: ${name} allows ${most}`, () => {
		const window = createRetryWindow()
		for (let count = 0; count < requests; count++)
			noteRequest(window, ALLOWANCE, 100)
		let taken = 0
		while (takeRetry(window, ALLOWANCE, entries, 200)) taken++
		assert.is(taken, most)
		assert.ok(takeRetry(window, ALLOWANCE, entries, 10_700))
	})

const RESULTS: {
	name: string
	results: readonly (readonly [number, TryResult])[]
	/** Row that is not chosen any more. */
	avoided: number
}[] = [
	{
		name: 'one that fails while the others serve',
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
		name: 'one that no connection reaches',
		results: [[2, { kind: 'unreached' }]],
		avoided: 2,
	},
]

const QUERY = {
	rows: [0, 1, 2],
	tried: new Set<number>(),
	queueRoom: 0,
	shutGroups: new Set<number>(),
	near: new Set([0, 1, 2]),
}

for (const { name, results, avoided } of RESULTS)
	test(`choice of a server avoids ${name}`, () => {
		const table = createServerTable(['a', 'b', 'c'])
		table.open.fill(1)
		table.slots.fill(4)
		for (const [row, result] of results) noteTry(table, row, result, 1_000)
		const random = createRandom(1)
		for (let draw = 0; draw < 30; draw++) {
			const choice = chooseRow(table, QUERY, 1_100, random)
			assert.is(choice.kind, 'row')
			if (choice.kind === 'row') assert.is.not(choice.row, avoided)
		}
	})

test('choice of a server: a slow rank gets less', () => {
	const table = createServerTable(['a', 'b', 'c'])
	table.open.fill(1)
	table.slots.fill(8)
	table.pace[1] = 4
	const random = createRandom(1)
	const sent = [0, 0, 0]
	for (let count = 0; count < 16; count++) {
		const choice = chooseRow(table, QUERY, 0, random)
		if (choice.kind !== 'row') break
		table.sentSince[choice.row]!++
		sent[choice.row]!++
	}
	assert.equal(sent, [8, 0, 8])
})

test('choice of a server: full, none, and all failing alike', () => {
	const table = createServerTable(['a', 'b', 'c'])
	const random = createRandom(1)
	assert.is(chooseRow(table, QUERY, 0, random).kind, 'none')
	table.open.fill(1)
	table.slots.fill(1)
	table.sentSince.fill(1)
	assert.is(chooseRow(table, QUERY, 0, random).kind, 'full')
	table.sentSince.fill(0)
	for (const row of QUERY.rows)
		for (let count = 0; count < 9; count++)
			noteTry(table, row, { kind: 'failed' }, 0)
	assert.is(chooseRow(table, QUERY, 1, random).kind, 'row')
})

const HELDS: {
	name: string
	factor: number
	shiftedFactor: number
	steadyMs: number
	allowed: number | undefined
}[] = [
	{
		name: 'passes in time',
		factor: 1.2,
		shiftedFactor: 1,
		steadyMs: 10_000,
		allowed: undefined,
	},
	{
		name: 'longer',
		factor: 1.6,
		shiftedFactor: 1,
		steadyMs: 10_000,
		allowed: 7.74,
	},
	{
		name: 'shifts that come often are prepared for',
		factor: 1.1,
		shiftedFactor: 2.2,
		steadyMs: 3_500,
		allowed: 5.79,
	},
	{
		name: 'rare ones are not',
		factor: 1.1,
		shiftedFactor: 2.2,
		steadyMs: 20_000,
		allowed: undefined,
	},
	{
		name: 'far too long: half of the slots at least',
		factor: 8,
		shiftedFactor: 1,
		steadyMs: 10_000,
		allowed: 4,
	},
]

for (const { name, allowed, ...state } of HELDS)
	test(`requests let in, ${name}`, () => {
		const limits = { maxPauseMs: 120, slots: 8 }
		const cost = { stepMs: 4.55, perRequestMs: 1.3575, stepsPerPass: 4 }
		const fit = { base: 1, stepSkew: 0.3 }
		const held = allowedHeld({ ...state, fit }, limits, cost)
		assert.is(held && Number(held.toFixed(2)), allowed)
	})

const FULL_GROUPS = [
	{ name: 'without a limit', most: Number.POSITIVE_INFINITY, full: false },
	{ name: 'with room for one', most: 2.5, full: false },
	{ name: 'with less room than one', most: 2.25, full: true },
]

for (const { name, most, full } of FULL_GROUPS)
	test(`a group ${name} is ${full ? 'full' : 'not full'}`, () => {
		const table = createServerTable(['a', 'b', 'c', 'd'])
		table.group.fill(0)
		table.most.fill(most)
		table.sentSince.set([3, 2, 2, 2])
		assert.is(listFullGroups(table).has(0), full)
	})

const PACES: { pace: number; maxPauseMs: number; beyond: boolean }[] = [
	{ pace: 1, maxPauseMs: 120, beyond: false },
	{ pace: 3, maxPauseMs: 120, beyond: false },
	{ pace: 12, maxPauseMs: 120, beyond: true },
	{ pace: 12, maxPauseMs: 0, beyond: false },
]

for (const { pace, maxPauseMs, beyond } of PACES)
	test(`pace ${pace}, pauses up to ${maxPauseMs} ms: a limit ${beyond ? 'cannot help' : 'may help'}`, () => {
		const cost = { stepMs: 5.85, perRequestMs: 0.53, stepsPerPass: 5 }
		assert.is(isBeyondLimits({ maxPauseMs, slots: 8 }, cost, pace), beyond)
	})

test('a choice keeps to what a server may hold', () => {
	const table = createServerTable(['a', 'b', 'c'])
	table.open.fill(1)
	table.slots.fill(8)
	table.sentSince.fill(5)
	const random = createRandom(1)
	table.most.fill(5)
	assert.is(chooseRow(table, QUERY, 0, random).kind, 'full')
	table.most.fill(6)
	assert.is(chooseRow(table, QUERY, 0, random).kind, 'row')
})

test('a choice leaves out ranks of a group that is shut', () => {
	const table = createServerTable(['a', 'b', 'c'])
	table.open.fill(1)
	table.slots.fill(8)
	table.group.set([0, 0, 1])
	table.sentSince[2] = 7
	const random = createRandom(1)
	const shut = (...groups: number[]) => ({
		...QUERY,
		shutGroups: new Set(groups),
	})
	assert.equal(chooseRow(table, shut(0), 0, random), { kind: 'row', row: 2 })
	assert.is(chooseRow(table, shut(0, 1), 0, random).kind, 'full')
})

test('a closed group takes one try at a time', () => {
	const closures = new Map()
	noteClosed(closures, 's', 0)
	assert.not(mayEnter(closures, 's', TRY_AGAIN_MS - 1))
	assert.ok(mayEnter(closures, 's', TRY_AGAIN_MS))
	assert.not(mayEnter(closures, 's', TRY_AGAIN_MS + 1))
	assert.ok(noteOpen(closures, 's'))
	assert.ok(mayEnter(closures, 's', TRY_AGAIN_MS + 1))
})

test.run()
