/** Propagation of configurations to real processes, some of which crash. */

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
import { requestRoster } from './client.ts'

/** Time from publication until a revision is active at all processes, ms. */
const ACTIVATION_TIMEOUT_MS = 5_000
/** Time from when all processes answer until they have the configuration, ms. */
const CONVERGENCE_TIMEOUT_MS = 8_000
/** Far longer than a process takes to start, also on an overloaded machine, ms. */
const PROCESS_START_TIMEOUT_MS = 60_000
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
			async () => (await readRevisions()).every(active => active === revision),
			`revision ${revision} at all processes`,
			limitMs,
		)
	} catch (err) {
		throw new Error(`${messageOf(err)}: ${await describeAll()}`)
	}
}

/** Waits until all processes answer, and then for the revision at all of them. */
async function waitForRestarted(revision: number): Promise<void> {
	await waitUntil(
		async () => (await readRevisions()).length > 0,
		'an answer from every process',
		PROCESS_START_TIMEOUT_MS,
	)
	await waitForAll(revision, CONVERGENCE_TIMEOUT_MS)
}

/** Describes the status of each process, or why it could not be read. */
async function describeAll(): Promise<string> {
	const statuses = await Promise.all(
		listIps().map(ip => readStatus<Status>(ip).catch(messageOf)),
	)
	return JSON.stringify(statuses)
}

function publish(revision: number, change: string): Promise<unknown> {
	const document = `${fleet.document}\n${change}`
	return callPlatform(fleet, `publish?revision=${revision}`, document)
}

function team(name: string): string {
	return `[team.${name}]\nkeyDigests = ${'a'.repeat(64)}\n`
}

test('a revision is active at all processes within five seconds', async () => {
	await publish(10, team('ten'))
	await waitForAll(10, ACTIVATION_TIMEOUT_MS)
})

test('an invalid revision is refused by all processes, also by a restarted one', async () => {
	await publish(11, '[team.broken]\nratePerSecond = many\n')
	await waitUntil(async () => {
		const statuses = await Promise.all(
			listIps().map(ip => readStatus<Status>(ip)),
		)
		return statuses.every(
			status => status.refusedRevision === 11 && status.revision === 10,
		)
	}, 'the refusal at all processes')
	signalProcess(fleet, 'service-1', 'SIGKILL')
	await restartProcess(fleet, 'service-1')
	await waitForRestarted(10)
	const roster = await requestRoster(fleet, 0)
	assert.is(roster.result, 'answered')
})

test('a platform that rolls back causes no rollback, not even of restarted processes', async () => {
	await publish(20, team('twenty'))
	await waitForAll(20, ACTIVATION_TIMEOUT_MS)
	await publish(12, team('twelve'))
	for (const name of ['entry-2', 'service-2']) {
		signalProcess(fleet, name, 'SIGKILL')
		await restartProcess(fleet, name)
	}
	await waitForRestarted(20)
	await wait(2_000)
	assert.ok((await readRevisions()).every(active => active === 20))
})

test('a process that starts while the platform is down gets the revision from peers', async () => {
	await callPlatform(fleet, 'up', 'no')
	signalProcess(fleet, 'service-3', 'SIGKILL')
	await restartProcess(fleet, 'service-3')
	// The settings of the tests contain no peers; entries connect to the agent.
	await waitForRestarted(20)
	await callPlatform(fleet, 'up', 'yes')
})

test('only a few processes call the platform, however many there are', async () => {
	await wait(3_000)
	const { calls: before = 0 } = await callPlatform(fleet, 'calls')
	await wait(20_000)
	const { calls: after = 0 } = await callPlatform(fleet, 'calls')
	// Two readers watch two topics each, in calls of up to 30 s.
	assert.ok(after - before <= 8, `${after - before} calls in 20 s`)
})

test('metrics count refused and older documents', async () => {
	const url = `http://${entryIp(fleet, 0)}:${PORTS.operators}/metrics`
	const text = await (await request(url)).body.text()
	assert.match(text, /juniperhook_config_invalid_total 1/)
})

test.run()
