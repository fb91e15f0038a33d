/** Small cases of routing, limits, queueing and retries. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { TeamConfig } from '../src/index.ts'
import {
	admitWithinShare,
	applyReport,
	chooseServer,
	createAffinity,
	createFairQueue,
	createLimits,
	createRandom,
	createRetryBudget,
	createServerTable,
	dequeue,
	enqueue,
	FULL_SHARE,
	findKeyHomeSince,
	findPrefix,
	makeKey,
	mayRetry,
	readKeyTime,
	recordFirstAttempt,
	recordPrefix,
	recordResult,
	recordSent,
	recordServerSet,
	releaseTeam,
	spendRetry,
} from '../src/index.ts'

function tableOf(loads: readonly number[]) {
	const table = createServerTable(loads.map((_, n) => `s${n}`))
	table.open.fill(1)
	table.slots.fill(4)
	for (const [row, load] of loads.entries())
		applyReport(table, row, { load, serviceMs: 10, stepShare: 1 }, 0)
	return table
}

/** Returns how often each row is chosen in 2,000 draws. */
function countChoices(
	table: ReturnType<typeof tableOf>,
	query: Partial<Parameters<typeof chooseServer>[1]> = {},
	now = 1,
): number[] {
	const random = createRandom(1)
	const counts = table.names.map(() => 0)
	const rows = [...counts.keys()]
	const fullQuery = {
		rows,
		avoid: -1,
		cachedRow: -1,
		cacheConfidence: 0,
		...query,
	}
	for (let n = 0; n < 2_000; n++) {
		const row = chooseServer(table, fullQuery, now, random)
		if (row >= 0) counts[row]!++
	}
	return counts
}

const ROUTES: {
	name: string
	prepare(): number[]
	expect(counts: readonly number[]): boolean
}[] = [
	{
		name: 'the busiest server gets the fewest requests',
		prepare: () => countChoices(tableOf([0, 0, 40])),
		expect: ([a, b, c]) => c! < a! / 3 && c! < b! / 3,
	},
	{
		name: 'own requests since the last report are counted',
		prepare() {
			const table = tableOf([0, 0])
			for (let n = 0; n < 40; n++) recordSent(table, 0, 1)
			return countChoices(table)
		},
		expect: ([a, b]) => a! < b! / 2,
	},
	{
		name: 'an old report has less weight',
		prepare: () => countChoices(tableOf([40, 41]), {}, 60_000),
		expect: ([a, b]) => Math.abs(a! - b!) < 1_100,
	},
	{
		name: 'a server with the cached prefix is preferred',
		prepare: () =>
			countChoices(tableOf([0, 0, 0]), { cachedRow: 1, cacheConfidence: 1 }),
		expect: ([, b]) => b! === 2_000,
	},
	{
		name: 'a cached prefix does not outweigh a long queue',
		prepare: () =>
			countChoices(tableOf([0, 80, 0]), { cachedRow: 1, cacheConfidence: 1 }),
		expect: ([, b]) => b! < 400,
	},
	{
		name: 'an ejected server gets no requests',
		prepare() {
			const table = tableOf([0, 0, 0])
			for (let n = 0; n < 3; n++) recordResult(table, 0, false, 0)
			return countChoices(table)
		},
		expect: ([a]) => a === 0,
	},
	{
		name: 'when most servers are ejected, all are used',
		prepare() {
			const table = tableOf([0, 0, 0])
			for (const row of [0, 1])
				for (let n = 0; n < 3; n++) recordResult(table, row, false, 0)
			return countChoices(table)
		},
		expect: counts => counts.every(count => count > 300),
	},
	{
		name: 'a server that is not open gets no requests',
		prepare() {
			const table = tableOf([0, 0])
			table.open[0] = 0
			return countChoices(table)
		},
		expect: ([a, b]) => a === 0 && b === 2_000,
	},
	{
		name: 'the slowest rank of a group gets fewer requests',
		prepare() {
			const table = tableOf([4, 4])
			table.group.fill(0)
			applyReport(table, 0, { load: 4, serviceMs: 10, stepShare: 1.5 }, 0)
			return countChoices(table)
		},
		expect: ([a, b]) => a! < b! / 2,
	},
]

for (const { name, prepare, expect } of ROUTES)
	test(`route: ${name}`, () => {
		const counts = prepare()
		assert.ok(expect(counts), counts.join(' '))
	})

const LIMIT: TeamConfig = {
	keyDigests: [],
	ratePerSecond: 10,
	concurrency: 4,
	tokensPerSecond: 1_000,
	weight: 1,
	bestPriority: 0,
}

test('limit: an entry enforces its share of the concurrency and releases it', () => {
	const limits = createLimits()
	const admit = () =>
		admitWithinShare(limits, 't', LIMIT, 0, { count: 2, index: 0 }, 0)
	assert.is(admit(), undefined)
	assert.is(admit(), undefined)
	assert.is(admit()?.kind, 'teamConcurrency')
	releaseTeam(limits, 't')
	assert.is(admit(), undefined)
})

const RATES: { entries: number; admitted: [number, number] }[] = [
	{ entries: 1, admitted: [100, 121] },
	{ entries: 2, admitted: [50, 61] },
	{ entries: 5, admitted: [20, 25] },
]

for (const { entries, admitted } of RATES)
	test(`limit: requests admitted in 10 s at one of ${entries} entries`, () => {
		const limits = createLimits()
		let count = 0
		for (let now = 0; now < 10_000; now += 5) {
			const refused = admitWithinShare(
				limits,
				't',
				LIMIT,
				0,
				{ count: entries, index: 0 },
				now,
			)
			if (refused) {
				assert.ok(refused.retryAfterMs > 0)
				continue
			}
			releaseTeam(limits, 't')
			count++
		}
		assert.ok(count >= admitted[0] && count <= admitted[1], `${count}`)
	})

test('limit: a request larger than the bucket is admitted when the bucket is full', () => {
	const limits = createLimits()
	assert.is(
		admitWithinShare(limits, 't', LIMIT, 50_000, FULL_SHARE, 0),
		undefined,
	)
	const next = admitWithinShare(limits, 't', LIMIT, 10, FULL_SHARE, 100)
	assert.is(next?.kind, 'teamTokens')
	assert.ok((next?.retryAfterMs ?? 0) > 40_000)
})

const QUEUES: {
	name: string
	/** `team:priority:weight` in order of arrival. */
	arrivals: string[]
	order: string[]
}[] = [
	{
		name: 'the most urgent priority first',
		arrivals: ['a:6:1', 'b:0:1', 'a:6:1'],
		order: ['b', 'a', 'a'],
	},
	{
		name: 'a team with many requests does not delay one with few',
		arrivals: ['a:1:1', 'a:1:1', 'a:1:1', 'b:1:1'],
		order: ['a', 'b', 'a', 'a'],
	},
	{
		name: 'twice the weight, twice the starts',
		arrivals: ['a:1:1', 'a:1:1', 'b:1:2', 'b:1:2', 'b:1:2', 'b:1:2'],
		order: ['a', 'b', 'b', 'a', 'b', 'b'],
	},
]

for (const { name, arrivals, order } of QUEUES)
	test(`queue: ${name}`, () => {
		const queue = createFairQueue()
		for (const arrival of arrivals) {
			const [team = '', priority, weight] = arrival.split(':')
			enqueue(queue, {
				team,
				priority: Number(priority),
				weight: Number(weight),
				virtualStart: 0,
				order: 0,
			})
		}
		const actual = arrivals.map(() => dequeue(queue)?.team)
		assert.equal(actual, order)
	})

test('retry budget: retries are limited to a tenth of first attempts', () => {
	const budget = createRetryBudget()
	let retries = 0
	for (let n = 0; n < 1_000; n++) {
		recordFirstAttempt(budget)
		while (mayRetry(budget)) {
			spendRetry(budget)
			retries++
		}
	}
	assert.ok(retries >= 100 && retries <= 106, `${retries}`)
})

test('affinity: confidence decays and the newest record wins', () => {
	const table = createAffinity()
	recordPrefix(table, 1, 'a', 0)
	recordPrefix(table, 1, 'b', 1_000)
	const found = findPrefix(table, 1, 61_000)
	assert.is(found?.server, 'b')
	assert.ok(Math.abs((found?.credit ?? 0) - 0.5) < 0.01)
})

test('key home: a server is the key home of a moved key only since the move', () => {
	const history: Parameters<typeof recordServerSet>[0] = []
	recordServerSet(history, ['a', 'b'], 1_000)
	recordServerSet(history, ['b', 'a'], 2_000)
	recordServerSet(history, ['a', 'b', 'c'], 3_000)
	const homes = Array.from({ length: 200 }, (_, n) => ({
		a: findKeyHomeSince(history, `k${n}`, 'a'),
		c: findKeyHomeSince(history, `k${n}`, 'c'),
	}))
	assert.ok(homes.some(home => home.c === 3_000))
	assert.ok(homes.every(home => home.c === undefined || home.c === 3_000))
	assert.ok(homes.every(home => home.a === undefined || home.a === 1_000))
})

test('key: the creation time of a UUIDv7 is read', () => {
	const key = makeKey(1_733_000_000_123, new Uint8Array(16).fill(171))
	assert.is(readKeyTime(key), 1_733_000_000_123)
	assert.is(readKeyTime('6ba7b810-9dad-11d1-80b4-00c04fd430c8'), undefined)
})

test.run()
