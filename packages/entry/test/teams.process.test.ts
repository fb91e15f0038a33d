/** Team limits, enforced together by real entry processes. */

import { createHash } from 'node:crypto'
import type { Fleet } from '@juniperhook/fakes'
import {
	entryIp,
	PORTS,
	readStatus,
	signalProcess,
	startFleet,
	stopFleet,
	waitUntil,
} from '@juniperhook/fakes'
import { request } from 'undici'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

/** Number of entries; can be raised for manual runs. */
const ENTRIES = Number(process.env.ENTRIES ?? 3)
const KEY = 'ten-key'
const CONCURRENCY = 10
/** Far longer than it takes to send all requests, also on a busy machine, ms. */
const SERVICE_TIME_MS = 6_000
const ALL = Array.from({ length: ENTRIES }, (_, n) => n)
let fleet: Fleet

test.before(async () => {
	const digest = createHash('sha256').update(KEY).digest('hex')
	fleet = await startFleet({
		entries: ENTRIES,
		services: 1,
		serviceDelayMs: SERVICE_TIME_MS,
		serviceSlots: 64,
		ranks: 0,
		extraConfig: `[team.ten]\nkeyDigests = ${digest}\nconcurrency = ${CONCURRENCY}\n`,
	})
	await waitUntil(async () => {
		const counts = await Promise.all(ALL.map(countEntries))
		return counts.every(count => count === ENTRIES)
	}, 'entries that know each other')
})

test.after(() => stopFleet(fleet))

async function countEntries(n: number): Promise<number> {
	const { entries } = await readStatus<{ entries: number }>(entryIp(fleet, n))
	return entries
}

/** Sends a request to an entry; returns the status. */
async function requestStatus(n: number): Promise<number> {
	const url = `http://${entryIp(fleet, n)}:${PORTS.data}/services/huts/rosters/pine`
	const headers = { authorization: `Bearer ${KEY}` }
	const res = await request(url, { headers })
	await res.body.dump()
	return res.statusCode
}

function countOf(statuses: readonly number[], status: number): number {
	return statuses.filter(other => other === status).length
}

// Guards against shares of a limit that are each rounded up: with a limit of 10, 12
// requests ran at three entries, and 36 at 36.
test('the concurrency limit of a team holds over all entries', async () => {
	const requests = ALL.flatMap(n =>
		Array.from({ length: CONCURRENCY }, () => requestStatus(n)),
	)
	const statuses = await Promise.all(requests)
	assert.is(countOf(statuses, 200), CONCURRENCY)
	assert.is(countOf(statuses, 429), statuses.length - CONCURRENCY)
})

test('one entry alone may use the whole limit, and ended requests free it again', async () => {
	const statuses = await Promise.all(
		Array.from({ length: CONCURRENCY + 5 }, () => requestStatus(ENTRIES - 1)),
	)
	assert.is(countOf(statuses, 200), CONCURRENCY)
})

test('while the team home does not answer, the other entries keep to their shares', async () => {
	// Each entry is stopped once, so that one of them is the team home.
	for (const stopped of ALL) {
		const name = `entry-${stopped}`
		signalProcess(fleet, name, 'SIGSTOP')
		const others = ALL.filter(n => n !== stopped)
		const statuses = await Promise.all(
			others.flatMap(n =>
				Array.from({ length: CONCURRENCY }, () => requestStatus(n)),
			),
		)
		signalProcess(fleet, name, 'SIGCONT')
		const served = countOf(statuses, 200)
		assert.ok(served <= CONCURRENCY, `${served} without ${name}`)
		assert.ok(
			served >= Math.min(others.length, CONCURRENCY),
			`${served} without ${name}`,
		)
	}
})

test.run()
