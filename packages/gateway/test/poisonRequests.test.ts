/**
 * Tests the quarantine of poison requests, which crash the servers that run them.
 *
 * Guards against a request that crashes one server per retry of its caller, at whichever
 * entry: one request crashed eight servers. A broken connection counted as a failure of
 * the server only, and the requests in flight at a crash were neither recorded nor shared
 * with other entries. The same request sent to three entries in turn reproduces it.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { POISON } from './crashingServers.ts'
import { WIRE } from './fakeBackends.ts'
import { CONTACT_MS } from './openGateway.ts'
import type { World } from './poisonWorld.ts'
import { createWorlds, pause, send } from './poisonWorld.ts'

/** Maximum number of sends after the contact time that follows the third crash. */
const MAX_LATE_SENDS = 3
const MAX_CRASHES = 3
/** Attempts at a poison request: half of them before and half after the contact time. */
const ATTEMPTS = 12
/** Delay between two attempts, ms: servers have restarted by then. */
const ATTEMPT_DELAY_MS = 250

const openWorld = createWorlds(23_300)

/** Sends a request repeatedly, to one entry after the other. */
async function sendRepeatedly(
	{ entries }: World,
	path: string,
	body: string,
	attempts: number,
	headers: (attempt: number) => object = () => ({}),
): Promise<number[]> {
	const statuses: number[] = []
	for (let attempt = 0; attempt < attempts; attempt++) {
		const entry = entries[attempt % entries.length]!
		const response = await send(entry, path, body, headers(attempt))
		statuses.push(response.status)
		await pause(ATTEMPT_DELAY_MS)
	}
	return statuses
}

const BIG = `${'x'.repeat(300_000)} ${POISON}`
interface PoisonCase {
	readonly name: string
	readonly entries: number
	readonly path: string
	readonly body: string
	readonly headers?: (attempt: number) => object
}
const CASES: readonly PoisonCase[] = [
	{ name: 'one entry', entries: 1, path: '/o/x', body: POISON },
	{ name: 'three entries', entries: 3, path: '/o/x', body: POISON },
	{ name: 'retried by entries', entries: 3, path: '/r/x', body: POISON },
	{
		name: 'a stream resumed by entries and by its caller',
		entries: 3,
		path: '/s/x',
		body: POISON,
		headers: attempt => (attempt % 2 === 0 ? {} : { [WIRE.lastEventId]: '1' }),
	},
	{
		name: 'a large body, chunked or with a length',
		entries: 3,
		path: '/o/x',
		body: BIG,
		headers: attempt =>
			attempt % 2 === 0
				? { 'transfer-encoding': 'chunked' }
				: { 'content-length': String(BIG.length) },
	},
]

/** Runs a case and describes the violation of its bounds, if any. */
async function findFault({
	name,
	entries,
	path,
	body,
	headers,
}: PoisonCase): Promise<string[]> {
	const world = await openWorld(entries)
	const { crashes, runs } = world.servers
	const early = await sendRepeatedly(world, path, body, ATTEMPTS / 2, headers)
	await pause(CONTACT_MS)
	const late = await sendRepeatedly(world, path, body, ATTEMPTS / 2, headers)
	world.servers.close()
	const countedFrom =
		(crashes[MAX_CRASHES - 1] ?? crashes.at(-1)!).at + CONTACT_MS
	const after = runs.filter(run => run.at > countedFrom)
	if (after.length <= MAX_LATE_SENDS && crashes.length <= MAX_CRASHES) return []
	const statuses = [...early, ...late].join()
	return [
		`${name}: ${crashes.length} crashes, ${after.length} late sends, statuses ${statuses}`,
	]
}

test('a poison request crashes at most three servers', async () => {
	const faults = await Promise.all(CASES.map(findFault))
	assert.equal(faults.flat(), [])
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
