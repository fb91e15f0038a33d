/** The promises on requests, with real processes that fail. */

import { setTimeout as wait } from 'node:timers/promises'
import type { Fleet, Relay } from '@juniperhook/fakes'
import {
	callPlatform,
	cutRelay,
	entryIp,
	healRelay,
	PORTS,
	relayIp,
	restartProcess,
	serviceIp,
	signalProcess,
	startFleet,
	startRelay,
	stopFleet,
	stopRelay,
	waitUntil,
} from '@juniperhook/fakes'
import { request } from 'undici'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Booking } from './client.ts'
import {
	askRoster,
	book,
	countRuns,
	newKey,
	streamChat,
	tokensOf,
} from './client.ts'

const CLOCK_BOUND_MS = 5_500
const SERVICES = 3
const PACE_MS = 20
const relays: Relay[] = []
let fleet: Fleet
let nextRef = 0

test.before(async () => {
	fleet = await startFleet(
		{
			entries: 2,
			services: SERVICES,
			serviceDelayMs: 30,
			serviceSlots: 4,
			ranks: 2,
			relayed: true,
		},
		startRelays,
	)
	// Keys made within the clock bound of an agent's start may be old.
	await wait(CLOCK_BOUND_MS)
})

test.after(() => {
	for (const relay of relays) stopRelay(relay)
	stopFleet(fleet)
})

async function startRelays(started: Fleet): Promise<void> {
	for (let n = 0; n < SERVICES; n++)
		for (const port of [PORTS.data, PORTS.control]) {
			const ip = relayIp(started, n)
			relays.push(await startRelay(ip, serviceIp(started, n), port))
		}
}

function relaysOf(n: number): Relay[] {
	return relays.slice(2 * n, 2 * n + 2)
}

/** Books all the time for `ms`, half with callers' own keys. */
async function bookFor(ms: number): Promise<Booking[]> {
	const calls: Promise<Booking>[] = []
	const end = Date.now() + ms
	while (Date.now() < end) {
		const ref = `b${nextRef++}`
		const key = nextRef % 2 === 0 ? newKey() : undefined
		calls.push(book(fleet, nextRef % 2, ref, key))
		await wait(PACE_MS)
	}
	return await Promise.all(calls)
}

/** Nothing ran twice, nothing "not run" ran, every answer is its own. */
async function checkBookings(bookings: readonly Booking[]): Promise<void> {
	const runs = countRuns(fleet)
	for (const { ref, seen, body } of bookings) {
		const count = runs.get(ref) ?? 0
		assert.ok(count <= 1, `${ref} ran ${count} times`)
		if (seen === 'notRun') assert.is(count, 0, `${ref}: not run, but it ran`)
		if (seen !== 'answered') continue
		assert.is(count, 1, `${ref}: answered, but it did not run`)
		assert.is(JSON.parse(body).booking, ref)
	}
}

async function allOpen(): Promise<void> {
	for (const n of [0, 1])
		await waitUntil(async () => {
			const url = `http://${entryIp(fleet, n)}:${PORTS.operators}/status`
			const res = await request(url)
			const status = (await res.body.json()) as {
				servers: { open: boolean }[]
			}
			return status.servers.every(server => server.open)
		}, 'all servers open')
}

/** What happens to the fleet, and how it is over. */
interface Failure {
	fail(): Promise<void>
	heal(): Promise<void>
}

function killed(process: string, ms: number): Failure {
	return {
		async fail() {
			signalProcess(fleet, process, 'SIGKILL')
			await wait(ms)
		},
		async heal() {
			await restartProcess(fleet, process)
		},
	}
}

function frozen(process: string, ms: number): Failure {
	return {
		async fail() {
			signalProcess(fleet, process, 'SIGSTOP')
			await wait(ms)
		},
		async heal() {
			signalProcess(fleet, process, 'SIGCONT')
		},
	}
}

const FAILURES: (Failure & {
	name: string
	/** Share of bookings that must still be answered. */
	answered: number
})[] = [
	{
		name: 'an agent is killed and comes back',
		...killed('service-0', 0),
		answered: 0.3,
	},
	{
		name: 'an agent is frozen past every time-out and wakes',
		...frozen('service-1', 5_000),
		answered: 0.3,
	},
	{
		name: 'the links to an agent are cut and heal',
		async fail() {
			for (const relay of relaysOf(2)) cutRelay(relay)
			await wait(5_000)
		},
		async heal() {
			for (const relay of relaysOf(2)) healRelay(relay)
		},
		answered: 0.3,
	},
	{
		name: 'a backend server is killed under its agent and comes back',
		...killed('backend-0', 1_000),
		answered: 0.3,
	},
	{
		name: 'an entry is frozen and wakes',
		...frozen('entry-1', 3_000),
		answered: 0.3,
	},
	{
		name: 'an agent is killed while another is frozen',
		async fail() {
			signalProcess(fleet, 'service-0', 'SIGSTOP')
			signalProcess(fleet, 'service-1', 'SIGKILL')
			await wait(3_000)
		},
		async heal() {
			signalProcess(fleet, 'service-0', 'SIGCONT')
			await restartProcess(fleet, 'service-1')
		},
		answered: 0.1,
	},
]

for (const { name, fail, heal, answered } of FAILURES)
	test(`bookings run at most once, and never when "not run": ${name}`, async () => {
		const load = bookFor(7_000)
		await wait(500)
		await fail()
		await wait(500)
		await heal()
		const bookings = await load
		await allOpen()
		await checkBookings(bookings)
		const good = bookings.filter(one => one.seen === 'answered').length
		assert.ok(
			good >= answered * bookings.length,
			`${good} of ${bookings.length} answered`,
		)
	})

test('a booking asked again at another entry gets its first outcome', async () => {
	await wait(CLOCK_BOUND_MS)
	const key = newKey()
	const ref = 'again'
	const first = book(fleet, 0, ref, key, '?delay=600')
	await wait(200)
	const running = book(fleet, 1, ref, key, '?delay=600')
	const [one, two] = await Promise.all([first, running])
	const three = await book(fleet, 1, ref, key, '?delay=600')
	assert.equal([one.seen, two.seen, three.seen], Array(3).fill('answered'))
	assert.equal([two.body, three.body], [one.body, one.body])
	assert.is(countRuns(fleet).get(ref), 1)
})

test('a booking that an agent may have forgotten is unknown, not run', async () => {
	const key = newKey()
	const before = await book(fleet, 0, 'forgotten', key)
	assert.is(before.seen, 'answered')
	for (let n = 0; n < SERVICES; n++) {
		signalProcess(fleet, `service-${n}`, 'SIGKILL')
		await restartProcess(fleet, `service-${n}`)
	}
	await allOpen()
	const again = await book(fleet, 1, 'forgotten', key)
	assert.is(again.seen, 'unknown')
	assert.is(countRuns(fleet).get('forgotten'), 1)
})

test('a key that is no UUIDv7 is refused with a clear text', async () => {
	const { status, body } = await book(fleet, 0, 'bad', 'abc')
	assert.is(status, 400)
	assert.is(JSON.parse(body).error.code, 'badKey')
})

test('rosters are answered while an agent is frozen', async () => {
	await allOpen()
	signalProcess(fleet, 'service-0', 'SIGSTOP')
	const calls = Array.from({ length: 20 }, (_, n) => askRoster(fleet, n % 2))
	const rosters = await Promise.all(calls)
	signalProcess(fleet, 'service-0', 'SIGCONT')
	const good = rosters.filter(one => one.seen === 'answered')
	assert.is(good.length, rosters.length)
	await allOpen()
})

test('a stream is whole or says that it is not when its agent dies', async () => {
	const streams = Array.from({ length: 8 }, () => streamChat(fleet, 0, 150))
	await wait(400)
	signalProcess(fleet, 'rank-1', 'SIGKILL')
	await wait(300)
	await restartProcess(fleet, 'rank-1')
	for (const text of await Promise.all(streams)) {
		const tokens = tokensOf(text)
		assert.equal(
			tokens,
			tokens.map((_, n) => n),
		)
		const whole = text.includes('[DONE]')
		if (whole) assert.is(tokens.length, 150)
		else assert.match(text, /"error"|\(cut\)/)
	}
	await allOpen()
})

test('a planned stop of agent and entry cuts no stream', async () => {
	const before = Array.from({ length: 6 }, (_, n) =>
		streamChat(fleet, n % 2, 300),
	)
	await wait(500)
	signalProcess(fleet, 'rank-0', 'SIGTERM')
	signalProcess(fleet, 'entry-1', 'SIGTERM')
	for (const text of await Promise.all(before)) {
		assert.match(text, /\[DONE\]/)
		assert.is(tokensOf(text).length, 300)
	}
	await waitUntil(
		() => fleet.processes.get('entry-1')?.child.exitCode === 0,
		'the end of the entry',
	)
	await waitUntil(
		() => fleet.processes.get('rank-0')?.child.exitCode === 0,
		'the end of the agent',
	)
	await restartProcess(fleet, 'rank-0')
	await restartProcess(fleet, 'entry-1')
	await allOpen()
})

test('a stopping entry says "not run" only of what it can know', async () => {
	signalProcess(fleet, 'entry-1', 'SIGTERM')
	await wait(200)
	const mayHaveRun = await book(fleet, 1, 'stopping-key', newKey())
	const cannotHaveRun = await book(fleet, 1, 'stopping')
	assert.is(mayHaveRun.seen, 'unknown')
	assert.is(cannotHaveRun.seen, 'notRun')
	await waitUntil(
		() => fleet.processes.get('entry-1')?.child.exitCode === 0,
		'the end of the entry',
	)
	await restartProcess(fleet, 'entry-1')
	await allOpen()
})

test('a leaving server gets no new work, though the list lags', async () => {
	signalProcess(fleet, 'service-2', 'SIGTERM')
	await wait(500)
	const before = await countServiceRequests(2)
	const rosters = Array.from({ length: 30 }, () => askRoster(fleet, 0))
	const seen = await Promise.all(rosters)
	assert.ok(seen.every(one => one.seen === 'answered'))
	assert.is(await countServiceRequests(2), before)
	await restartProcess(fleet, 'service-2')
	await allOpen()
})

test('a server that the list calls leaving gets no new work', async () => {
	const vms = fleet.vms.map(vm =>
		vm.name === 'service-2' ? { ...vm, state: 'leaving' } : vm,
	)
	await callPlatform(fleet, 'vms', JSON.stringify(vms))
	await wait(5_000)
	const before = await countServiceRequests(2)
	const rosters = Array.from({ length: 30 }, () => askRoster(fleet, 0))
	assert.ok((await Promise.all(rosters)).every(r => r.seen === 'answered'))
	assert.is(await countServiceRequests(2), before)
})

async function countServiceRequests(n: number): Promise<number> {
	const url = `http://${serviceIp(fleet, n)}:${PORTS.backend}/admin/requests`
	const res = await request(url)
	return Number(await res.body.text())
}

test.run()
