/** Quarantine of a poison request by real entry and agent processes. */

import { setTimeout as wait } from 'node:timers/promises'
import type { Fleet } from '@juniperhook/fakes'
import {
	entryIp,
	PORTS,
	readStatus,
	restartProcess,
	signalProcess,
	startFleet,
	stopFleet,
	TEAM_KEY,
	waitUntil,
} from '@juniperhook/fakes'
import { request } from 'undici'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

/** Number of entries; can be raised for manual runs. */
const ENTRIES = Number(process.env.ENTRIES ?? 3)
const SERVICES = 4
const ALL = Array.from({ length: ENTRIES }, (_, n) => n)
/** Time between two poison requests: longer than the window of correlated crashes, ms. */
const CRASH_INTERVAL_MS = 700
/** Time after which a crashed server is restarted, ms. */
const RESTART_DELAY_MS = 400
/** Maximum crashes until all entries quarantine the request. */
const MAX_CRASHES = 3
let fleet: Fleet
let crashes = 0
let isStopped = false

test.before(async () => {
	fleet = await startFleet({
		entries: ENTRIES,
		services: SERVICES,
		serviceDelayMs: 60,
		serviceSlots: 16,
		ranks: 0,
	})
	void supervise()
})

test.after(() => {
	isStopped = true
	stopFleet(fleet)
})

/** Restarts crashed backend servers, as a supervisor does. */
async function supervise(): Promise<void> {
	while (!isStopped) {
		for (let n = 0; n < SERVICES; n++) {
			const name = `backend-${n}`
			if (fleet.processes.get(name)?.child.exitCode !== 1) continue
			crashes++
			await wait(RESTART_DELAY_MS)
			await restartProcess(fleet, name)
		}
		await wait(20)
	}
}

interface Answer {
	readonly status: number
	readonly body: string
	readonly retryAfter: string | undefined
}

async function post(n: number, path: string, body: string): Promise<Answer> {
	const url = `http://${entryIp(fleet, n)}:${PORTS.data}/services/huts${path}`
	const headers = { authorization: `Bearer ${TEAM_KEY}` }
	const res = await request(url, { method: 'POST', headers, body })
	const retryAfter = res.headers['retry-after']?.toString()
	return { status: res.statusCode, body: await res.body.text(), retryAfter }
}

const POISON = ['/deadly/x', 'what no server survives'] as const

test('a request that crashes servers is refused by all entries after three crashes', async () => {
	for (let at = 0; at < 8; at++) {
		await post(at % ENTRIES, ...POISON)
		await wait(CRASH_INTERVAL_MS)
	}
	assert.ok(crashes <= MAX_CRASHES, `${crashes} servers crashed`)
	const before = crashes
	for (const n of ALL) {
		const answer = await post(n, ...POISON)
		assert.is(answer.status, 503)
		assert.match(answer.body, 'quarantined')
		assert.ok(Number(answer.retryAfter) > 500, answer.retryAfter)
	}
	assert.is(crashes, before)
})

test('other requests of the same length and team are served meanwhile', async () => {
	for (const n of ALL) {
		const other = 'another body of it all.'
		assert.is(other.length, POISON[1].length)
		assert.is((await post(n, '/bookings/a', other)).status, 200)
	}
})

test('a restarted entry pulls the evidence from the others', async () => {
	const before = crashes
	signalProcess(fleet, 'entry-0', 'SIGKILL')
	await restartProcess(fleet, 'entry-0')
	await waitUntil(async () => {
		const ip = entryIp(fleet, 0)
		const { entries } = await readStatus<{ entries: number }>(ip)
		return entries === ENTRIES
	}, 'the restarted entry knows all entries')
	await waitUntil(
		async () => (await post(0, ...POISON)).body.includes('quarantined'),
		'the refusal of the poison request',
	)
	assert.is(crashes, before)
})

test.run()
