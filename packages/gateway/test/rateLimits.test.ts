/**
 * Servers that name a limit in their answers: so many requests a second from all
 * entries together.
 *
 * Seen: a server that had named one request a second got twelve in four seconds, from
 * entries that had passed its answers on.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Demand } from './limitedServers.ts'
import {
	allowedInSpan,
	askSteadily,
	closeWorld,
	createLimitedWorlds,
	mostInSpan,
} from './limitedServers.ts'
import { CONTACT_MS } from './openGateway.ts'

const openWorld = createLimitedWorlds(24_700)
/** Judged from the contact time on, for more than one span, ms. */
const JUDGED_MS = 6_000
const FOR_MS = CONTACT_MS + JUDGED_MS

interface LimitCase {
	readonly name: string
	readonly entries: number
	readonly servers: number
	/** Of those, how many name a limit, the first ones. */
	readonly limited: number
	readonly perSecond: number
	readonly demand: Demand
}
const EVEN: Demand = { perSecond: 30, forMs: FOR_MS }
const LEANING: Demand = {
	...EVEN,
	pick: (at, entries) => (at % 10 === 0 ? at % entries : 0),
}
const CASES: readonly LimitCase[] = [
	{
		name: 'one entry',
		entries: 1,
		servers: 2,
		limited: 1,
		perSecond: 1,
		demand: EVEN,
	},
	{
		name: 'three entries',
		entries: 3,
		servers: 4,
		limited: 1,
		perSecond: 1,
		demand: EVEN,
	},
	{
		name: 'three entries and demand that leans to one',
		entries: 3,
		servers: 2,
		limited: 1,
		perSecond: 2,
		demand: LEANING,
	},
	{
		name: 'twelve entries and less than one in four seconds for each',
		entries: 12,
		servers: 4,
		limited: 2,
		perSecond: 0.5,
		demand: EVEN,
	},
	{
		name: 'all servers limited',
		entries: 3,
		servers: 2,
		limited: 2,
		perSecond: 1,
		demand: EVEN,
	},
]

/** What a case shows that must not be; empty for nothing. */
async function findFault(limitCase: LimitCase): Promise<string[]> {
	const { name, entries, servers, limited, perSecond, demand } = limitCase
	const world = await openWorld(entries, servers)
	const some = world.servers.slice(0, limited)
	for (const server of some) server.perSecond = perSecond
	await askSteadily(world, demand)
	closeWorld(world)
	const allowed = allowedInSpan(perSecond)
	return some
		.map(one => mostInSpan(one, one.arrivals[0]! + CONTACT_MS))
		.filter(most => most > allowed)
		.map(most => `${name}: ${most} in four seconds, allowed ${allowed}`)
}

test('a server that names a limit is sent no more by all entries together', async () => {
	const faults = await Promise.all(CASES.map(findFault))
	assert.equal(faults.flat(), [])
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
