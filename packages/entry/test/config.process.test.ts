/** Configuration in force everywhere, with real processes that fail. */

import { setTimeout as wait } from 'node:timers/promises'
import type { Fleet } from '@juniperhook/fakes'
import {
	callPlatform,
	entryIp,
	PORTS,
	readStatus,
	restartProcess,
	serviceIp,
	signalProcess,
	startFleet,
	stopFleet,
	waitUntil,
} from '@juniperhook/fakes'
import { messageOf } from '@juniperhook/runtime'
import { request } from 'undici'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { askRoster } from './client.ts'

const IN_FORCE_MS = 5_000
/** From when all processes answer, ms. */
const START_MS = 8_000
/** Far beyond the start of a process, also on a starved machine, ms. */
const UP_MS = 60_000
const ENTRIES = 3
const SERVICES = 5
let fleet: Fleet

interface Status {
	readonly revision: number
	readonly refusedRevision: number
}

test.before(async () => {
	fleet = await startFleet({
		entries: ENTRIES,
		services: SERVICES,
		serviceDelayMs: 5,
		serviceSlots: 16,
		ranks: 0,
	})
})

test.after(() => stopFleet(fleet))

function listIps(): string[] {
	const entries = Array.from({ length: ENTRIES }, (_, n) => entryIp(fleet, n))
	const services = Array.from({ length: SERVICES }, (_, n) =>
		serviceIp(fleet, n),
	)
	return [...entries, ...services]
}

async function readRevisions(): Promise<number[]> {
	const statuses = await Promise.all(
		listIps().map(ip => readStatus<Status>(ip)),
	)
	return statuses.map(status => status.revision)
}

async function waitForAll(revision: number, limitMs: number): Promise<void> {
	try {
		await waitUntil(
			async () => (await readRevisions()).every(held => held === revision),
			`revision ${revision} everywhere`,
			limitMs,
		)
	} catch (err) {
		throw new Error(`${messageOf(err)}: ${await describeAll()}`)
	}
}

/** Waits until all processes run, and then for what they hold. */
async function waitForRestarted(revision: number): Promise<void> {
	await waitUntil(
		async () => (await readRevisions()).length > 0,
		'an answer of every process',
		UP_MS,
	)
	await waitForAll(revision, START_MS)
}

/** What each process holds, or why it does not say so. */
async function describeAll(): Promise<string> {
	const said = await Promise.all(
		listIps().map(ip => readStatus<Status>(ip).catch(messageOf)),
	)
	return JSON.stringify(said)
}

function publish(revision: number, change: string): Promise<unknown> {
	const document = `${fleet.document}\n${change}`
	return callPlatform(fleet, `publish?revision=${revision}`, document)
}

function team(name: string): string {
	return `[team.${name}]\nkeyDigests = ${'a'.repeat(64)}\n`
}

test('a revision is in force everywhere within five seconds', async () => {
	await publish(10, team('ten'))
	await waitForAll(10, IN_FORCE_MS)
})

test('an invalid revision is refused whole everywhere; a new process too', async () => {
	await publish(11, '[team.broken]\nratePerSecond = many\n')
	await waitUntil(async () => {
		const statuses = await Promise.all(
			listIps().map(ip => readStatus<Status>(ip)),
		)
		return statuses.every(
			one => one.refusedRevision === 11 && one.revision === 10,
		)
	}, 'the same verdict everywhere')
	signalProcess(fleet, 'service-1', 'SIGKILL')
	await restartProcess(fleet, 'service-1')
	await waitForRestarted(10)
	const roster = await askRoster(fleet, 0)
	assert.is(roster.seen, 'answered')
})

test('a service that goes back takes nobody back, new processes included', async () => {
	await publish(20, team('twenty'))
	await waitForAll(20, IN_FORCE_MS)
	await publish(12, team('twelve'))
	for (const name of ['entry-2', 'service-2']) {
		signalProcess(fleet, name, 'SIGKILL')
		await restartProcess(fleet, name)
	}
	await waitForRestarted(20)
	await wait(2_000)
	assert.ok((await readRevisions()).every(held => held === 20))
})

test('a process that starts while the service is down is told by its peers', async () => {
	await callPlatform(fleet, 'up', 'no')
	signalProcess(fleet, 'service-3', 'SIGKILL')
	await restartProcess(fleet, 'service-3')
	// The settings of the tests name no peers; entries reach the agent.
	await waitForRestarted(20)
	await callPlatform(fleet, 'up', 'yes')
})

test('only a few processes call the service, however many there are', async () => {
	await wait(3_000)
	const { calls: before = 0 } = await callPlatform(fleet, 'calls')
	await wait(20_000)
	const { calls: after = 0 } = await callPlatform(fleet, 'calls')
	// Two readers and two topics, a watch of 30 s each.
	assert.ok(after - before <= 8, `${after - before} calls in 20 s`)
})

test('metrics count refused and older documents', async () => {
	const url = `http://${entryIp(fleet, 0)}:${PORTS.operators}/metrics`
	const text = await (await request(url)).body.text()
	assert.match(text, /juniperhook_config_invalid_total 1/)
})

test.run()
