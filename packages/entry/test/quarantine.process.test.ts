/** A request under which backend servers end, behind entries and agents that are processes. */

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

/** More by hand. */
const ENTRIES = Number(process.env.ENTRIES ?? 3)
const SERVICES = 4
const ALL = Array.from({ length: ENTRIES }, (_, n) => n)
/** Between two askings: longer than what counts as ended together, ms. */
const APART_MS = 700
/** A server that has ended is started again after this, ms. */
const BACK_MS = 400
/** Ends after which all entries know. */
const MOST_ENDS = 3
let fleet: Fleet
let ends = 0
let isOver = false

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
	isOver = true
	stopFleet(fleet)
})

/** Starts backend servers again, as a supervisor does. */
async function supervise(): Promise<void> {
	while (!isOver) {
		for (let n = 0; n < SERVICES; n++) {
			const name = `backend-${n}`
			if (fleet.processes.get(name)?.child.exitCode !== 1) continue
			ends++
			await wait(BACK_MS)
			await restartProcess(fleet, name)
		}
		await wait(20)
	}
}

interface Got {
	readonly status: number
	readonly body: string
	readonly retryAfter: string | undefined
}

async function post(n: number, path: string, body: string): Promise<Got> {
	const url = `http://${entryIp(fleet, n)}:${PORTS.data}/services/huts${path}`
	const headers = { authorization: `Bearer ${TEAM_KEY}` }
	const res = await request(url, { method: 'POST', headers, body })
	const retryAfter = res.headers['retry-after']?.toString()
	return { status: res.statusCode, body: await res.body.text(), retryAfter }
}

const DEADLY = ['/deadly/x', 'what no server survives'] as const

test('a request that ends servers is refused by all entries after three ends', async () => {
	for (let at = 0; at < 8; at++) {
		await post(at % ENTRIES, ...DEADLY)
		await wait(APART_MS)
	}
	assert.ok(ends <= MOST_ENDS, `${ends} servers ended`)
	const before = ends
	for (const n of ALL) {
		const got = await post(n, ...DEADLY)
		assert.is(got.status, 503)
		assert.match(got.body, 'quarantined')
		assert.ok(Number(got.retryAfter) > 500, got.retryAfter)
	}
	assert.is(ends, before)
})

test('others of its length and team are served meanwhile', async () => {
	for (const n of ALL) {
		const other = 'another body of it all.'
		assert.is(other.length, DEADLY[1].length)
		assert.is((await post(n, '/bookings/a', other)).status, 200)
	}
})

test('an entry that starts again learns it from the others', async () => {
	const before = ends
	signalProcess(fleet, 'entry-0', 'SIGKILL')
	await restartProcess(fleet, 'entry-0')
	await waitUntil(async () => {
		const ip = entryIp(fleet, 0)
		const { entries } = await readStatus<{ entries: number }>(ip)
		return entries === ENTRIES
	}, 'the entry that was killed')
	await waitUntil(
		async () => (await post(0, ...DEADLY)).body.includes('quarantined'),
		'its refusal',
	)
	assert.is(ends, before)
})

test.run()
