/** Backend servers that rest, name limits and leave, behind entries and agents that are processes. */

import { setTimeout as wait } from 'node:timers/promises'
import type { Fleet } from '@juniperhook/fakes'
import {
	PORTS,
	readStatus,
	restartProcess,
	serviceIp,
	signalProcess,
	startFleet,
	stopFleet,
	waitUntil,
} from '@juniperhook/fakes'
import { request } from 'undici'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Booking } from './client.ts'
import { askRoster } from './client.ts'

/** More by hand. */
const ENTRIES = Number(process.env.ENTRIES ?? 3)
/** Between two requests, ms. */
const PACE_MS = 25
/** Requests between two looks at who waits. */
const LOOK_EVERY = 4
/** What was under way when a server spoke still comes, ms. */
const UNDER_WAY_MS = 500
const SPAN_MS = 4_000
const REST_MS = 3_000
let fleet: Fleet

test.before(async () => {
	fleet = await startFleet({
		entries: ENTRIES,
		services: 2,
		serviceDelayMs: 5,
		serviceSlots: 16,
		ranks: 0,
	})
})

test.after(() => stopFleet(fleet))

async function callBackend(n: number, path: string): Promise<string> {
	const url = `http://${serviceIp(fleet, n)}:${PORTS.backend}/admin/${path}`
	const res = await request(url)
	return await res.body.text()
}

/** Requests that have come to a backend server. */
async function countRequests(n: number): Promise<number> {
	return Number(await callBackend(n, 'requests'))
}

/** Requests that wait at a backend server's agent. */
async function countWaiting(n: number): Promise<number> {
	const ip = serviceIp(fleet, n)
	return (await readStatus<{ waiting: number }>(ip)).waiting
}

/** What came of asking at all entries in turn for a while. */
interface Asked {
	readonly bookings: Booking[]
	/** Requests that came to server 0 in that while. */
	readonly arrived: number
	/** Most requests seen to wait at its agent. */
	readonly waited: number
}

async function askFor(forMs: number): Promise<Asked> {
	const before = await countRequests(0)
	const asked: Promise<Booking>[] = []
	let waited = 0
	const end = performance.now() + forMs
	for (let at = 0; performance.now() < end; at++) {
		asked.push(askRoster(fleet, at % ENTRIES))
		await wait(PACE_MS)
		if (at % LOOK_EVERY === 0) waited = Math.max(waited, await countWaiting(0))
	}
	const arrived = (await countRequests(0)) - before
	return { bookings: await Promise.all(asked), arrived, waited }
}

/** Asks until a server has been asked once more. */
async function askUntilHeard(n: number): Promise<void> {
	const before = await countRequests(n)
	await waitUntil(async () => {
		await askRoster(fleet, 0)
		return (await countRequests(n)) > before
	}, 'a request at the server')
}

function failures(asked: readonly Booking[]): number[] {
	return asked.map(({ status }) => status).filter(status => status !== 200)
}

test('a server that rests gets nothing, and the other serves', async () => {
	await callBackend(0, `says?rest=${REST_MS / 1_000}`)
	await askUntilHeard(0)
	await callBackend(0, 'says')
	await wait(UNDER_WAY_MS)
	const { bookings, arrived, waited } = await askFor(REST_MS - 2 * UNDER_WAY_MS)
	assert.ok(arrived <= 2, `${arrived} in its rest`)
	assert.equal(failures(bookings), [])
	assert.is(waited, 0)
	await wait(2 * UNDER_WAY_MS)
	await askUntilHeard(0)
})

test('when all rest, a caller that cannot wait is told when the first takes again', async () => {
	const [long, short] = [20, 8]
	for (const [n, seconds] of [long, short].entries()) {
		await callBackend(n, `says?rest=${seconds}`)
		await askUntilHeard(n)
	}
	for (const n of [0, 1]) await callBackend(n, 'says')
	const got = await askRoster(fleet, 0, '', { 'x-deadline-ms': '1500' })
	assert.is(got.status, 503)
	assert.match(got.body, 'resting')
	const seconds = Number(got.retryAfter)
	assert.ok(seconds > 0 && seconds <= short, `${seconds} s`)
	await wait(seconds * 1_000)
	assert.is((await askRoster(fleet, 0)).status, 200)
	signalProcess(fleet, 'backend-0', 'SIGKILL')
	await wait(UNDER_WAY_MS)
	await restartProcess(fleet, 'backend-0')
	await waitUntil(async () => (await countRequests(0)) === 0, 'its next life')
})

test('a server with a limit gets no more from all entries together', async () => {
	await callBackend(0, 'says?limit=1')
	await askUntilHeard(0)
	await wait(UNDER_WAY_MS)
	const { bookings, arrived, waited } = await askFor(SPAN_MS)
	const allowed = (1.5 * SPAN_MS) / 1_000 + 5
	assert.ok(arrived <= allowed, `${arrived} in four seconds`)
	assert.ok(arrived > 0)
	assert.equal(failures(bookings), [])
	assert.is(waited, 0)
	await callBackend(0, 'says')
	// The next answer names none.
	await askUntilHeard(0)
})

test('a server that leaves gets nothing more, until its next life', async () => {
	await callBackend(0, 'says?leaves=1')
	await askUntilHeard(0)
	await wait(UNDER_WAY_MS)
	const { bookings, arrived } = await askFor(SPAN_MS / 2)
	assert.is(arrived, 0)
	assert.equal(failures(bookings), [])
	signalProcess(fleet, 'backend-0', 'SIGKILL')
	await wait(UNDER_WAY_MS)
	await restartProcess(fleet, 'backend-0')
	await waitUntil(async () => (await countRequests(0)) === 0, 'its next life')
	await askUntilHeard(0)
})

test.run()
