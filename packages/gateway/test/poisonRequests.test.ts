/**
 * Requests under which servers end.
 *
 * Seen: a request ended eight servers, one each time its caller asked again, by
 * whichever entry. How: a broken connection was a failure of its server; the request
 * itself was sent on, and nobody remembered it when it came again. Cause: what was
 * running when a server ended was neither kept nor told to other entries. Proof: the
 * same request at three entries in turn ends a server at each try.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { POISON } from './crashingServers.ts'
import { WIRE } from './fakeBackends.ts'
import { CONTACT_MS } from './openGateway.ts'
import type { World } from './poisonWorld.ts'
import { send, createWorlds, pause } from './poisonWorld.ts'

/** Sends after the third end that are allowed, once the contact time is over. */
const MOST_AFTER = 3
const MOST_ENDS = 3
/** Tries of a deadly request: while entries learn, and after the contact time. */
const TRIES = 12
/** Between two tries, ms: servers are back by then. */
const PAUSE_MS = 250

const openWorld = createWorlds(23_300)

/** Asks again and again, at one entry after the other. */
async function askAgain(
	{ entries }: World,
	path: string,
	body: string,
	tries: number,
	headers: (attempt: number) => object = () => ({}),
): Promise<number[]> {
	const statuses: number[] = []
	for (let at = 0; at < tries; at++) {
		const entry = entries[at % entries.length]!
		const got = await send(entry, path, body, headers(at))
		statuses.push(got.status)
		await pause(PAUSE_MS)
	}
	return statuses
}

const BIG = `${'x'.repeat(300_000)} ${POISON}`
interface DeadlyCase {
	readonly name: string
	readonly entries: number
	readonly path: string
	readonly body: string
	readonly headers?: (attempt: number) => object
}
const CASES: readonly DeadlyCase[] = [
	{ name: 'one entry', entries: 1, path: '/o/x', body: POISON },
	{ name: 'three entries', entries: 3, path: '/o/x', body: POISON },
	{ name: 'repeated by entries', entries: 3, path: '/r/x', body: POISON },
	{
		name: 'a stream that is resumed by entries and by its caller',
		entries: 3,
		path: '/s/x',
		body: POISON,
		headers: at => (at % 2 === 0 ? {} : { [WIRE.lastEventId]: '1' }),
	},
	{
		name: 'a large body in chunks or with a length',
		entries: 3,
		path: '/o/x',
		body: BIG,
		headers: at =>
			at % 2 === 0
				? { 'transfer-encoding': 'chunked' }
				: { 'content-length': String(BIG.length) },
	},
]

/** What a case shows that must not be; empty for nothing. */
async function findFault({
	name,
	entries,
	path,
	body,
	headers,
}: DeadlyCase): Promise<string[]> {
	const world = await openWorld(entries)
	const { crashes: ends, runs } = world.servers
	const early = await askAgain(world, path, body, TRIES / 2, headers)
	await pause(CONTACT_MS)
	const late = await askAgain(world, path, body, TRIES / 2, headers)
	world.servers.close()
	const judgedFrom = (ends[MOST_ENDS - 1] ?? ends.at(-1)!).at + CONTACT_MS
	const after = runs.filter(run => run.at > judgedFrom)
	if (after.length <= MOST_AFTER && ends.length <= MOST_ENDS) return []
	const statuses = [...early, ...late].join()
	return [
		`${name}: ${ends.length} ends, ${after.length} sends late, statuses ${statuses}`,
	]
}

test('a deadly request ends three servers and no more', async () => {
	const faults = await Promise.all(CASES.map(findFault))
	assert.equal(faults.flat(), [])
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
