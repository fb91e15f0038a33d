/** Tests servers that refuse requests and request a backoff with `Retry-After`. */

import type { ServerBackoffs, TrafficConfig } from '@juniperhook/core'
import {
	backoffLeftMs,
	endBackoff,
	recordBackoffProbe,
	startBackoff,
} from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ENGINE } from './fakeBackends.ts'
import type { LimitedServer } from './limitedServers.ts'
import {
	ACCEPTED,
	closeWorld,
	createLimitedWorlds,
	LONG_TIMEOUT_CONFIG,
	pause,
	relist,
	sendSteadily,
} from './limitedServers.ts'

const openWorld = createLimitedWorlds(25_900)
/** Allowance for requests in flight when a server requests a backoff, ms. */
const IN_FLIGHT_MS = 500
/** Requests that an entry may send to a server during its backoff after that. */
const MAX_IN_BACKOFF = 2
const SECOND_MS = 1_000

/**
 * Makes a server refuse the requests of each entry, with a backoff that ends `seconds`
 * after the first refusal; afterwards it serves them.
 */
function requestBackoff(server: LimitedServer, seconds: number): void {
	server.answer = entry => {
		const now = performance.now()
		const refusedAt = firstRefusalAt(server, entry) ?? now
		const leftSeconds = seconds - (now - refusedAt) / SECOND_MS
		if (leftSeconds <= 0) return ACCEPTED
		return { status: 503, retryAfter: leftSeconds.toFixed(3) }
	}
}

/** Returns when an entry was first refused with a backoff, ms. */
function firstRefusalAt(
	{ notices }: LimitedServer,
	entry: string,
): number | undefined {
	return notices.find(one => one.entry === entry && one.kind === 'rest')?.at
}

/** Returns the maximum number of requests that an entry sent during its backoff. */
function maxInBackoff(server: LimitedServer, seconds: number): number {
	const entries = new Set(server.arrivals.map(({ entry }) => entry))
	const counts = [...entries].map(entry => {
		const from = firstRefusalAt(server, entry) ?? Number.POSITIVE_INFINITY
		return server.arrivals.filter(
			one =>
				one.entry === entry &&
				one.at >= from + IN_FLIGHT_MS &&
				one.at < from + seconds * SECOND_MS,
		).length
	})
	return Math.max(0, ...counts)
}

interface BackoffCase {
	readonly name: string
	readonly entries: number
	readonly servers: number
	/** Number of servers, the first ones, that request a backoff. */
	readonly backingOff: number
	readonly seconds: number
	/** Load, requests a second. */
	readonly perSecond: number
}
const BACKOFF_CASES: readonly BackoffCase[] = [
	{
		name: 'one entry, one of two servers',
		entries: 1,
		servers: 2,
		backingOff: 1,
		seconds: 3,
		perSecond: 30,
	},
	{
		name: 'three entries, two of four servers',
		entries: 3,
		servers: 4,
		backingOff: 2,
		seconds: 3,
		perSecond: 60,
	},
	{
		name: 'twelve entries, low load',
		entries: 12,
		servers: 2,
		backingOff: 1,
		seconds: 3,
		perSecond: 20,
	},
	{
		name: 'less than a second',
		entries: 1,
		servers: 2,
		backingOff: 1,
		seconds: 0.8,
		perSecond: 60,
	},
	{
		name: 'all servers',
		entries: 3,
		servers: 2,
		backingOff: 2,
		seconds: 3,
		perSecond: 30,
	},
]

/** Runs a case and describes requests sent during backoffs. */
async function findBackoffFault(backoffCase: BackoffCase): Promise<string[]> {
	const { name, entries, servers, backingOff, seconds, perSecond } = backoffCase
	const world = await openWorld(entries, servers)
	const refusing = world.servers.slice(0, backingOff)
	for (const server of refusing) requestBackoff(server, seconds)
	await sendSteadily(world, { perSecond, forMs: (seconds + 1) * SECOND_MS })
	closeWorld(world)
	return refusing
		.map(server => maxInBackoff(server, seconds))
		.filter(max => max > MAX_IN_BACKOFF)
		.map(max => `${name}: ${max} requests in a backoff of ${seconds} s`)
}

// Guards against entries that ignore a backoff and send the server its usual share.
test('a server gets no requests during its backoff', async () => {
	const faults: string[] = []
	// Run one after the other: concurrent cases would compete for this process's CPU time.
	for (const one of BACKOFF_CASES) faults.push(...(await findBackoffFault(one)))
	assert.equal(faults, [])
})

/** Target latency of the routes, ms. */
const TARGET_MS = 200
/** Share of retries after `Retry-After` that may fail. */
const MAX_FAILED_RETRIES = 0.05
/** Load of a single request. */
const ONE = { perSecond: 100, forMs: 10 }
/** Interval between the probes that a server gets after its backoff, ms. */
const PROBE_INTERVAL_MS = 50

test('other servers take over at once during a backoff', async () => {
	const world = await openWorld(3, 3)
	requestBackoff(world.servers[0]!, 2)
	const responses = await sendSteadily(world, { perSecond: 60, forMs: 1_500 })
	closeWorld(world)
	const served = responses.filter(({ response }) => response.status === 200)
	assert.is(served.length, responses.length)
	const late = responses.filter(({ tookMs }) => tookMs > TARGET_MS)
	assert.ok(
		late.length <= responses.length * 0.05,
		`${late.length} late answers`,
	)
})

/** Configuration with the servers as ranks of one lock-step group. */
const GROUPED: TrafficConfig = {
	...LONG_TIMEOUT_CONFIG,
	services: LONG_TIMEOUT_CONFIG.services.map(service => ({
		...service,
		engine: ENGINE,
	})),
}

// Guards against closing the group, which refuses callers while other ranks are free.
test('the other ranks of a group serve during the backoff of one', async () => {
	const world = await openWorld(2, 4, GROUPED)
	requestBackoff(world.servers[0]!, 2)
	const responses = await sendSteadily(world, { perSecond: 60, forMs: 1_500 })
	closeWorld(world)
	const failed = responses.filter(({ response }) => response.status !== 200)
	assert.is(failed.length, 0)
	for (const { ctx } of world.entries) assert.is(ctx.blockages.size, 0)
})

test('a closed group is probed at ranks without a backoff', async () => {
	const world = await openWorld(1, 4, GROUPED)
	const server = world.servers[0]!
	requestBackoff(server, 3)
	await sendSteadily(world, { perSecond: 100, forMs: 300 })
	for (const other of world.servers.slice(1)) other.refusesAll = true
	await sendSteadily(world, { perSecond: 40, forMs: 3_000 })
	closeWorld(world)
	assert.ok(server.notices.length > 0)
	assert.ok(maxInBackoff(server, 3) <= MAX_IN_BACKOFF)
	assert.ok(world.entries[0]!.ctx.blockages.size > 0)
})

test('during the backoff of all servers, callers are refused with an accurate Retry-After', async () => {
	const world = await openWorld(1, 2)
	for (const server of world.servers) requestBackoff(server, 2)
	const sendOnce = async () => (await sendSteadily(world, ONE))[0]!
	const sendAndRetry = async (): Promise<string> => {
		const { response, tookMs } = await sendOnce()
		if (response.status === 200) return 'served'
		if (!response.body.includes('resting')) return response.body
		if (tookMs > TARGET_MS) return `refused after ${tookMs} ms`
		await pause(Number(response.headers['retry-after']) * SECOND_MS)
		const again = await sendOnce()
		return again.response.status === 200 ? 'served' : again.response.body
	}
	// The first requests make the servers request their backoffs.
	await sendSteadily(world, { perSecond: 20, forMs: 200 })
	const responses: Promise<string>[] = []
	for (let at = 0; at < 40; at++) {
		responses.push(sendAndRetry())
		await pause(30)
	}
	const outcomes = await Promise.all(responses)
	closeWorld(world)
	const others = outcomes.filter(outcome => outcome !== 'served')
	assert.ok(
		others.length <= MAX_FAILED_RETRIES * outcomes.length,
		others.join('\n'),
	)
})

test('a server that still refuses after its backoff gets single probes', async () => {
	const world = await openWorld(1, 1)
	const server = world.servers[0]!
	requestBackoff(server, 0.6)
	const refuse = server.answer
	server.answer = entry => ({ ...refuse(entry), status: 503 })
	await sendSteadily(world, { perSecond: 200, forMs: 1_600 })
	closeWorld(world)
	const from = server.notices[0]!.at + 0.6 * SECOND_MS
	const after = server.arrivals.filter(({ at }) => at >= from)
	const spanMs = after.at(-1)!.at - from
	assert.ok(
		after.length <= spanMs / PROBE_INTERVAL_MS + 2,
		`${after.length} probes`,
	)
	assert.ok(after.length > 0)
})

test('a backoff is not shortened by a later one, and has a maximum', () => {
	const backoffs: ServerBackoffs = new Map()
	assert.ok(startBackoff(backoffs, 'one', 5_000, 0))
	for (const forMs of [0, 1_000, 5_000])
		assert.not(startBackoff(backoffs, 'one', forMs, 0))
	assert.is(backoffLeftMs(backoffs, 'one', 0), 5_000)
	assert.ok(startBackoff(backoffs, 'one', Number.POSITIVE_INFINITY, 0))
	assert.is(backoffLeftMs(backoffs, 'one', 0), 600_000)
})

test('a backoff is not ended by requests sent before it', () => {
	const backoffs: ServerBackoffs = new Map()
	startBackoff(backoffs, 'one', 1_000, 100)
	assert.not(endBackoff(backoffs, 'one', 50))
	assert.not(endBackoff(backoffs, 'one', 1_050))
	assert.is(backoffLeftMs(backoffs, 'one', 500), 600)
	recordBackoffProbe(backoffs, 'one', 1_200)
	assert.ok(backoffLeftMs(backoffs, 'one', 1_210) > 0)
	assert.ok(endBackoff(backoffs, 'one', 1_200))
	assert.is(backoffLeftMs(backoffs, 'one', 1_210), 0)
})

test('the next incarnation of a server has no backoff', async () => {
	const world = await openWorld(1, 1)
	const server = world.servers[0]!
	requestBackoff(server, 60)
	await sendSteadily(world, { perSecond: 50, forMs: 300 })
	server.answer = () => ACCEPTED
	const { listed } = server
	relist(world, { ...listed, id: `${listed.id}@2` }, listed.name)
	await pause(300)
	const responses = await sendSteadily(world, { perSecond: 50, forMs: 300 })
	closeWorld(world)
	assert.ok(responses.every(({ response }) => response.status === 200))
})

for (const status of [200, 421] as const)
	test(`Retry-After in an answer with status ${status} starts no backoff`, async () => {
		const world = await openWorld(1, 1)
		world.servers[0]!.answer = () => ({ status, retryAfter: '5' })
		await sendSteadily(world, { perSecond: 20, forMs: 300 })
		closeWorld(world)
		assert.is(world.entries[0]!.ctx.backoffs.size, 0)
		assert.ok(world.servers[0]!.arrivals.length > 0)
	})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
