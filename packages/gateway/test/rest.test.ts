/** Servers that turn requests away and ask for rest. */

import type { Rests, TrafficConfig } from '@juniperhook/core'
import {
	noteRest,
	noteSentAfterRest,
	noteTakenAfterRest,
	restLeftMs,
} from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { LimitedServer } from './limitedServers.ts'
import {
	askSteadily,
	closeWorld,
	createLimitedWorlds,
	PATIENT_CONFIG,
	pause,
	relist,
	TAKEN,
} from './limitedServers.ts'
import { ENGINE } from './standIns.ts'

const openWorld = createLimitedWorlds(25_900)
/** What was under way when a server asked for rest still comes, ms. */
const UNDER_WAY_MS = 500
/** Requests that an entry may send to a server at rest after that. */
const MAX_IN_REST = 2
const SECOND_MS = 1_000

/**
 * Makes a server turn away what each entry sends it from now on, and ask each for
 * `seconds` from the first such answer; then it serves.
 */
function askForRest(server: LimitedServer, seconds: number): void {
	server.answer = entry => {
		const now = performance.now()
		const toldAt = firstTold(server, entry) ?? now
		const leftSeconds = seconds - (now - toldAt) / SECOND_MS
		if (leftSeconds <= 0) return TAKEN
		return { status: 503, retryAfter: leftSeconds.toFixed(3) }
	}
}

/** When an entry was first asked for rest, ms. */
function firstTold(
	{ notices: told }: LimitedServer,
	entry: string,
): number | undefined {
	return told.find(one => one.entry === entry && one.kind === 'rest')?.at
}

/** Requests of one entry within the rest that it was asked for, the most. */
function mostInRest(server: LimitedServer, seconds: number): number {
	const entries = new Set(server.arrivals.map(({ entry }) => entry))
	const counts = [...entries].map(entry => {
		const from = firstTold(server, entry) ?? Number.POSITIVE_INFINITY
		return server.arrivals.filter(
			one =>
				one.entry === entry &&
				one.at >= from + UNDER_WAY_MS &&
				one.at < from + seconds * SECOND_MS,
		).length
	})
	return Math.max(0, ...counts)
}

interface RestCase {
	readonly name: string
	readonly entries: number
	readonly servers: number
	/** Of those, how many ask for rest, the first ones. */
	readonly resting: number
	readonly seconds: number
	/** Requests a second. */
	readonly perSecond: number
}
const REST_CASES: readonly RestCase[] = [
	{
		name: 'one entry, one of two servers',
		entries: 1,
		servers: 2,
		resting: 1,
		seconds: 3,
		perSecond: 30,
	},
	{
		name: 'three entries, two of four servers',
		entries: 3,
		servers: 4,
		resting: 2,
		seconds: 3,
		perSecond: 60,
	},
	{
		name: 'twelve entries, little to do',
		entries: 12,
		servers: 2,
		resting: 1,
		seconds: 3,
		perSecond: 20,
	},
	{
		name: 'less than a second',
		entries: 1,
		servers: 2,
		resting: 1,
		seconds: 0.8,
		perSecond: 60,
	},
	{
		name: 'all servers',
		entries: 3,
		servers: 2,
		resting: 2,
		seconds: 3,
		perSecond: 30,
	},
]

/** What a case shows that must not be; empty for nothing. */
async function findRestFault(restCase: RestCase): Promise<string[]> {
	const { name, entries, servers, resting, seconds, perSecond } = restCase
	const world = await openWorld(entries, servers)
	const some = world.servers.slice(0, resting)
	for (const server of some) askForRest(server, seconds)
	await askSteadily(world, { perSecond, forMs: (seconds + 1) * SECOND_MS })
	closeWorld(world)
	return some
		.map(server => mostInRest(server, seconds))
		.filter(most => most > MAX_IN_REST)
		.map(most => `${name}: ${most} in a rest of ${seconds} s`)
}

// A server that had asked an entry for rest got its share of requests all the same.
test('a server is left alone for as long as it asks for', async () => {
	const faults: string[] = []
	// One after the other: together their entries starve each other of this process.
	for (const one of REST_CASES) faults.push(...(await findRestFault(one)))
	assert.equal(faults, [])
})

/** Target time of the routes, ms. */
const TARGET_MS = 200
/** Part of those who come back when told to that may do so in vain. */
const MOST_IN_VAIN = 0.05
/** A single request. */
const ONE = { perSecond: 100, forMs: 10 }
/** After its rest a server is sent one request after the other, so far apart, ms. */
const TRY_GAP_MS = 50

test('others serve at once while a server rests', async () => {
	const world = await openWorld(3, 3)
	askForRest(world.servers[0]!, 2)
	const asked = await askSteadily(world, { perSecond: 60, forMs: 1_500 })
	closeWorld(world)
	const served = asked.filter(({ got }) => got.status === 200)
	assert.is(served.length, asked.length)
	const late = asked.filter(({ tookMs }) => tookMs > TARGET_MS)
	assert.ok(late.length <= asked.length * 0.05, `${late.length} late`)
})

/** The servers as ranks of one lock-step group. */
const GROUPED: TrafficConfig = {
	...PATIENT_CONFIG,
	services: PATIENT_CONFIG.services.map(service => ({
		...service,
		engine: ENGINE,
	})),
}

// A rank's refusal was taken for its group's, and callers were refused with ranks free.
test('the other ranks of a group serve while one rests', async () => {
	const world = await openWorld(2, 4, GROUPED)
	askForRest(world.servers[0]!, 2)
	const asked = await askSteadily(world, { perSecond: 60, forMs: 1_500 })
	closeWorld(world)
	const failed = asked.filter(({ got }) => got.status !== 200)
	assert.is(failed.length, 0)
	for (const { ctx } of world.entries) assert.is(ctx.outages.size, 0)
})

test('a closed group is tried at ranks that do not rest', async () => {
	const world = await openWorld(1, 4, GROUPED)
	const server = world.servers[0]!
	askForRest(server, 3)
	await askSteadily(world, { perSecond: 100, forMs: 300 })
	for (const other of world.servers.slice(1)) other.refusesAll = true
	await askSteadily(world, { perSecond: 40, forMs: 3_000 })
	closeWorld(world)
	assert.ok(server.notices.length > 0)
	assert.ok(mostInRest(server, 3) <= MAX_IN_REST)
	assert.ok(world.entries[0]!.ctx.outages.size > 0)
})

test('while all servers rest, callers are refused at once and told a time that comes true', async () => {
	const world = await openWorld(1, 2)
	for (const server of world.servers) askForRest(server, 2)
	const askOnce = async () => (await askSteadily(world, ONE))[0]!
	const askAgain = async (): Promise<string> => {
		const { got, tookMs } = await askOnce()
		if (got.status === 200) return 'served'
		if (!got.body.includes('resting')) return got.body
		if (tookMs > TARGET_MS) return `refused after ${tookMs} ms`
		await pause(Number(got.headers['retry-after']) * SECOND_MS)
		const again = await askOnce()
		return again.got.status === 200 ? 'served' : again.got.body
	}
	// The first ones find out that the servers rest.
	await askSteadily(world, { perSecond: 20, forMs: 200 })
	const asked: Promise<string>[] = []
	for (let at = 0; at < 40; at++) {
		asked.push(askAgain())
		await pause(30)
	}
	const ends = await Promise.all(asked)
	closeWorld(world)
	const others = ends.filter(end => end !== 'served')
	assert.ok(others.length <= MOST_IN_VAIN * ends.length, others.join('\n'))
})

test('a server that has rested and still refuses gets no herd', async () => {
	const world = await openWorld(1, 1)
	const server = world.servers[0]!
	askForRest(server, 0.6)
	const rest = server.answer
	server.answer = entry => ({ ...rest(entry), status: 503 })
	await askSteadily(world, { perSecond: 200, forMs: 1_600 })
	closeWorld(world)
	const from = server.notices[0]!.at + 0.6 * SECOND_MS
	const after = server.arrivals.filter(({ at }) => at >= from)
	const spanMs = after.at(-1)!.at - from
	assert.ok(after.length <= spanMs / TRY_GAP_MS + 2, `${after.length}`)
	assert.ok(after.length > 0)
})

test('a shorter rest ends no longer one, and one beyond all bounds is bounded', () => {
	const rests: Rests = new Map()
	assert.ok(noteRest(rests, 'one', 5_000, 0))
	for (const forMs of [0, 1_000, 5_000])
		assert.not(noteRest(rests, 'one', forMs, 0))
	assert.is(restLeftMs(rests, 'one', 0), 5_000)
	assert.ok(noteRest(rests, 'one', Number.POSITIVE_INFINITY, 0))
	assert.is(restLeftMs(rests, 'one', 0), 600_000)
})

test('a rest is not ended by what was under way before it', () => {
	const rests: Rests = new Map()
	noteRest(rests, 'one', 1_000, 100)
	assert.not(noteTakenAfterRest(rests, 'one', 50))
	assert.not(noteTakenAfterRest(rests, 'one', 1_050))
	assert.is(restLeftMs(rests, 'one', 500), 600)
	noteSentAfterRest(rests, 'one', 1_200)
	assert.ok(restLeftMs(rests, 'one', 1_210) > 0)
	assert.ok(noteTakenAfterRest(rests, 'one', 1_200))
	assert.is(restLeftMs(rests, 'one', 1_210), 0)
})

test('a rest ends with its server: the next life under that name is sent to', async () => {
	const world = await openWorld(1, 1)
	const server = world.servers[0]!
	askForRest(server, 60)
	await askSteadily(world, { perSecond: 50, forMs: 300 })
	server.answer = () => TAKEN
	const { listed } = server
	relist(world, { ...listed, id: `${listed.id}@2` }, listed.name)
	await pause(300)
	const asked = await askSteadily(world, { perSecond: 50, forMs: 300 })
	closeWorld(world)
	assert.ok(asked.every(({ got }) => got.status === 200))
})

for (const status of [200, 421] as const)
	test(`an answer with status ${status} asks for no rest`, async () => {
		const world = await openWorld(1, 1)
		world.servers[0]!.answer = () => ({ status, retryAfter: '5' })
		await askSteadily(world, { perSecond: 20, forMs: 300 })
		closeWorld(world)
		assert.is(world.entries[0]!.ctx.rests.size, 0)
		assert.ok(world.servers[0]!.arrivals.length > 0)
	})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
