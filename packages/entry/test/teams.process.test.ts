/** Limits of teams, kept together by entries that are processes. */

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

/** More by hand. */
const ENTRIES = Number(process.env.ENTRIES ?? 3)
const KEY = 'ten-key'
const CONCURRENCY = 10
/** Far longer than it takes to ask for all, also on a busy machine, ms. */
const RUNS_MS = 6_000
const ALL = Array.from({ length: ENTRIES }, (_, n) => n)
let fleet: Fleet

test.before(async () => {
	const digest = createHash('sha256').update(KEY).digest('hex')
	fleet = await startFleet({
		entries: ENTRIES,
		services: 1,
		serviceDelayMs: RUNS_MS,
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

/** Asks at an entry; gives the status. */
async function ask(n: number): Promise<number> {
	const url = `http://${entryIp(fleet, n)}:${PORTS.data}/services/huts/rosters/pine`
	const headers = { authorization: `Bearer ${KEY}` }
	const res = await request(url, { headers })
	await res.body.dump()
	return res.statusCode
}

function countOf(statuses: readonly number[], status: number): number {
	return statuses.filter(one => one === status).length
}

// Each entry rounded its part of a limit up: 12 of 10 ran at three entries, 36 at 36.
test('what a team may have under way is counted over all entries', async () => {
	const asked = ALL.flatMap(n =>
		Array.from({ length: CONCURRENCY }, () => ask(n)),
	)
	const statuses = await Promise.all(asked)
	assert.is(countOf(statuses, 200), CONCURRENCY)
	assert.is(countOf(statuses, 429), statuses.length - CONCURRENCY)
})

test('one entry alone may use all of it, and what has ended is free again', async () => {
	const statuses = await Promise.all(
		Array.from({ length: CONCURRENCY + 5 }, () => ask(ENTRIES - 1)),
	)
	assert.is(countOf(statuses, 200), CONCURRENCY)
})

test('while a team’s entry is silent, the others keep to their parts', async () => {
	// Whoever keeps the limit: each is silent once.
	for (const silent of ALL) {
		const name = `entry-${silent}`
		signalProcess(fleet, name, 'SIGSTOP')
		const others = ALL.filter(n => n !== silent)
		const statuses = await Promise.all(
			others.flatMap(n => Array.from({ length: CONCURRENCY }, () => ask(n))),
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
