/** Backoff, rate limits and leaving of backend servers, with real processes. */

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
import type { CallAnswer } from './client.ts'
import { requestRoster } from './client.ts'

/** Number of entries; can be raised for manual runs. */
const ENTRIES = Number(process.env.ENTRIES ?? 3)
/** Interval between two requests, ms. */
const REQUEST_INTERVAL_MS = 25
/** Requests between two polls of the agent's waiting requests. */
const REQUESTS_PER_POLL = 4
/** Time in which requests in flight at a server's signal still arrive, ms. */
const IN_FLIGHT_MS = 500
const LOAD_MS = 4_000
const BACKOFF_MS = 3_000
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

/** Returns the number of requests that a backend server has received. */
async function countRequests(n: number): Promise<number> {
	return Number(await callBackend(n, 'requests'))
}

/** Returns the number of requests that wait at a backend server's agent. */
async function countWaiting(n: number): Promise<number> {
	const ip = serviceIp(fleet, n)
	return (await readStatus<{ waiting: number }>(ip)).waiting
}

/** Result of requests to all entries in turn for some time. */
interface LoadResult {
	readonly answers: CallAnswer[]
	/** Requests that server 0 received in that time. */
	readonly arrived: number
	/** Maximum number of requests observed waiting at its agent. */
	readonly maxWaiting: number
}

async function requestFor(forMs: number): Promise<LoadResult> {
	const before = await countRequests(0)
	const requests: Promise<CallAnswer>[] = []
	let maxWaiting = 0
	const end = performance.now() + forMs
	for (let at = 0; performance.now() < end; at++) {
		requests.push(requestRoster(fleet, at % ENTRIES))
		await wait(REQUEST_INTERVAL_MS)
		if (at % REQUESTS_PER_POLL === 0)
			maxWaiting = Math.max(maxWaiting, await countWaiting(0))
	}
	const arrived = (await countRequests(0)) - before
	return { answers: await Promise.all(requests), arrived, maxWaiting }
}

/** Sends requests until a server has received one. */
async function requestUntilReceived(n: number): Promise<void> {
	const before = await countRequests(n)
	await waitUntil(async () => {
		await requestRoster(fleet, 0)
		return (await countRequests(n)) > before
	}, 'a request received by the server')
}

function failedStatuses(answers: readonly CallAnswer[]): number[] {
	return answers.map(({ status }) => status).filter(status => status !== 200)
}

test('a server that backs off gets no requests, and the other serves', async () => {
	await callBackend(0, `says?rest=${BACKOFF_MS / 1_000}`)
	await requestUntilReceived(0)
	await callBackend(0, 'says')
	await wait(IN_FLIGHT_MS)
	const { answers, arrived, maxWaiting } = await requestFor(
		BACKOFF_MS - 2 * IN_FLIGHT_MS,
	)
	assert.ok(arrived <= 2, `${arrived} during its backoff`)
	assert.equal(failedStatuses(answers), [])
	assert.is(maxWaiting, 0)
	await wait(2 * IN_FLIGHT_MS)
	await requestUntilReceived(0)
})

test('when all servers back off, Retry-After names the end of the first backoff', async () => {
	const [long, short] = [20, 8]
	for (const [n, seconds] of [long, short].entries()) {
		await callBackend(n, `says?rest=${seconds}`)
		await requestUntilReceived(n)
	}
	for (const n of [0, 1]) await callBackend(n, 'says')
	const answer = await requestRoster(fleet, 0, '', { 'x-deadline-ms': '1500' })
	assert.is(answer.status, 503)
	assert.match(answer.body, 'resting')
	const seconds = Number(answer.retryAfter)
	assert.ok(seconds > 0 && seconds <= short, `${seconds} s`)
	await wait(seconds * 1_000)
	assert.is((await requestRoster(fleet, 0)).status, 200)
	signalProcess(fleet, 'backend-0', 'SIGKILL')
	await wait(IN_FLIGHT_MS)
	await restartProcess(fleet, 'backend-0')
	await waitUntil(
		async () => (await countRequests(0)) === 0,
		'its next incarnation',
	)
})

test('a rate limit of a server holds over all entries together', async () => {
	await callBackend(0, 'says?limit=1')
	await requestUntilReceived(0)
	await wait(IN_FLIGHT_MS)
	const { answers, arrived, maxWaiting } = await requestFor(LOAD_MS)
	const allowed = (1.5 * LOAD_MS) / 1_000 + 5
	assert.ok(arrived <= allowed, `${arrived} in four seconds`)
	assert.ok(arrived > 0)
	assert.equal(failedStatuses(answers), [])
	assert.is(maxWaiting, 0)
	await callBackend(0, 'says')
	// The next answer contains no limit.
	await requestUntilReceived(0)
})

test('a leaving server gets no requests until its next incarnation', async () => {
	await callBackend(0, 'says?leaves=1')
	await requestUntilReceived(0)
	await wait(IN_FLIGHT_MS)
	const { answers, arrived } = await requestFor(LOAD_MS / 2)
	assert.is(arrived, 0)
	assert.equal(failedStatuses(answers), [])
	signalProcess(fleet, 'backend-0', 'SIGKILL')
	await wait(IN_FLIGHT_MS)
	await restartProcess(fleet, 'backend-0')
	await waitUntil(
		async () => (await countRequests(0)) === 0,
		'its next incarnation',
	)
	await requestUntilReceived(0)
})

test.run()
