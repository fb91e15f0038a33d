/** Guarantees on request outcomes, with real processes that fail. */

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
import type { CallAnswer } from './client.ts'
import {
	book,
	countRuns,
	newKey,
	requestRoster,
	streamChat,
	tokensOf,
} from './client.ts'

const MAX_CLOCK_SKEW_MS = 5_500
const SERVICES = 3
const BOOKING_INTERVAL_MS = 20
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
	// Within the maximum clock skew of its start, an agent cannot tell old keys from new.
	await wait(MAX_CLOCK_SKEW_MS)
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

/** Makes bookings for `ms`, half of them with keys of the caller. */
async function bookFor(ms: number): Promise<CallAnswer[]> {
	const calls: Promise<CallAnswer>[] = []
	const end = Date.now() + ms
	while (Date.now() < end) {
		const ref = `b${nextRef++}`
		const key = nextRef % 2 === 0 ? newKey() : undefined
		calls.push(book(fleet, nextRef % 2, ref, key))
		await wait(BOOKING_INTERVAL_MS)
	}
	return await Promise.all(calls)
}

/** Checks that nothing ran twice, nothing "not run" ran, and answers are not mixed up. */
async function checkBookings(bookings: readonly CallAnswer[]): Promise<void> {
	const runs = countRuns(fleet)
	for (const { ref, result, body } of bookings) {
		const count = runs.get(ref) ?? 0
		assert.ok(count <= 1, `${ref} ran ${count} times`)
		if (result === 'notRun') assert.is(count, 0, `${ref}: not run, but it ran`)
		if (result !== 'answered') continue
		assert.is(count, 1, `${ref}: answered, but it did not run`)
		assert.is(JSON.parse(body).booking, ref)
	}
}

async function waitUntilAllOpen(): Promise<void> {
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

/** A failure of part of the fleet, and its end. */
interface Failure {
	fail(): Promise<void>
	heal(): Promise<void>
}

function killFor(process: string, ms: number): Failure {
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

function stopFor(process: string, ms: number): Failure {
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
		name: 'an agent is killed and restarted',
		...killFor('service-0', 0),
		answered: 0.3,
	},
	{
		name: 'an agent is stopped beyond all timeouts and continued',
		...stopFor('service-1', 5_000),
		answered: 0.3,
	},
	{
		name: 'the links to an agent are cut and restored',
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
		name: 'a backend server is killed and restarted while its agent runs',
		...killFor('backend-0', 1_000),
		answered: 0.3,
	},
	{
		name: 'an entry is stopped and continued',
		...stopFor('entry-1', 3_000),
		answered: 0.3,
	},
	{
		name: 'an agent is killed while another is stopped',
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
		await waitUntilAllOpen()
		await checkBookings(bookings)
		const answeredCount = bookings.filter(
			booking => booking.result === 'answered',
		).length
		assert.ok(
			answeredCount >= answered * bookings.length,
			`${answeredCount} of ${bookings.length} answered`,
		)
	})

test('a booking repeated at another entry gets its first outcome', async () => {
	await wait(MAX_CLOCK_SKEW_MS)
	const key = newKey()
	const ref = 'again'
	const first = book(fleet, 0, ref, key, '?delay=600')
	await wait(200)
	const running = book(fleet, 1, ref, key, '?delay=600')
	const [one, two] = await Promise.all([first, running])
	const three = await book(fleet, 1, ref, key, '?delay=600')
	assert.equal(
		[one.result, two.result, three.result],
		Array(3).fill('answered'),
	)
	assert.equal([two.body, three.body], [one.body, one.body])
	assert.is(countRuns(fleet).get(ref), 1)
})

test('a repeated booking is unknown, not "not run", after a restart of its agent', async () => {
	const key = newKey()
	const before = await book(fleet, 0, 'forgotten', key)
	assert.is(before.result, 'answered')
	for (let n = 0; n < SERVICES; n++) {
		signalProcess(fleet, `service-${n}`, 'SIGKILL')
		await restartProcess(fleet, `service-${n}`)
	}
	await waitUntilAllOpen()
	const again = await book(fleet, 1, 'forgotten', key)
	assert.is(again.result, 'unknown')
	assert.is(countRuns(fleet).get('forgotten'), 1)
})

test('a key that is not a UUIDv7 is refused with a specific error', async () => {
	const { status, body } = await book(fleet, 0, 'bad', 'abc')
	assert.is(status, 400)
	assert.is(JSON.parse(body).error.code, 'badKey')
})

test('rosters are answered while an agent is stopped', async () => {
	await waitUntilAllOpen()
	signalProcess(fleet, 'service-0', 'SIGSTOP')
	const calls = Array.from({ length: 20 }, (_, n) =>
		requestRoster(fleet, n % 2),
	)
	const rosters = await Promise.all(calls)
	signalProcess(fleet, 'service-0', 'SIGCONT')
	const answered = rosters.filter(roster => roster.result === 'answered')
	assert.is(answered.length, rosters.length)
	await waitUntilAllOpen()
})

test('a stream is complete or reports an error when its agent crashes', async () => {
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
		const isComplete = text.includes('[DONE]')
		if (isComplete) assert.is(tokens.length, 150)
		else assert.match(text, /"error"|\(cut\)/)
	}
	await waitUntilAllOpen()
})

test('a planned stop of an agent and an entry interrupts no stream', async () => {
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
		'the exit of the entry',
	)
	await waitUntil(
		() => fleet.processes.get('rank-0')?.child.exitCode === 0,
		'the exit of the agent',
	)
	await restartProcess(fleet, 'rank-0')
	await restartProcess(fleet, 'entry-1')
	await waitUntilAllOpen()
})

test('a stopping entry answers "not run" only without a key of the caller', async () => {
	signalProcess(fleet, 'entry-1', 'SIGTERM')
	await wait(200)
	const mayHaveRun = await book(fleet, 1, 'stopping-key', newKey())
	const cannotHaveRun = await book(fleet, 1, 'stopping')
	assert.is(mayHaveRun.result, 'unknown')
	assert.is(cannotHaveRun.result, 'notRun')
	await waitUntil(
		() => fleet.processes.get('entry-1')?.child.exitCode === 0,
		'the exit of the entry',
	)
	await restartProcess(fleet, 'entry-1')
	await waitUntilAllOpen()
})

test('a leaving server gets no new requests before the VM list shows it', async () => {
	signalProcess(fleet, 'service-2', 'SIGTERM')
	await wait(500)
	const before = await countServiceRequests(2)
	const rosters = Array.from({ length: 30 }, () => requestRoster(fleet, 0))
	const answers = await Promise.all(rosters)
	assert.ok(answers.every(roster => roster.result === 'answered'))
	assert.is(await countServiceRequests(2), before)
	await restartProcess(fleet, 'service-2')
	await waitUntilAllOpen()
})

test('a server that the VM list shows as leaving gets no new requests', async () => {
	const vms = fleet.vms.map(vm =>
		vm.name === 'service-2' ? { ...vm, state: 'leaving' } : vm,
	)
	await callPlatform(fleet, 'vms', JSON.stringify(vms))
	await wait(5_000)
	const before = await countServiceRequests(2)
	const rosters = Array.from({ length: 30 }, () => requestRoster(fleet, 0))
	assert.ok(
		(await Promise.all(rosters)).every(roster => roster.result === 'answered'),
	)
	assert.is(await countServiceRequests(2), before)
})

async function countServiceRequests(n: number): Promise<number> {
	const url = `http://${serviceIp(fleet, n)}:${PORTS.backend}/admin/requests`
	const res = await request(url)
	return Number(await res.body.text())
}

test.run()
