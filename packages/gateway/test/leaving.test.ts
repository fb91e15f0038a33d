/** Tests servers that announce in their answers that they are leaving. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { callGateway } from './fakeBackends.ts'
import type { LimitedServer, LimitedWorld } from './limitedServers.ts'
import {
	closeWorld,
	createLimitedWorlds,
	openEntry,
	pause,
	relist,
	sendSteadily,
} from './limitedServers.ts'

const openWorld = createLimitedWorlds(26_100)
const LOAD = { perSecond: 60, forMs: 500 }

/** Allowance for requests in flight at the time of the announcement, ms. */
const IN_FLIGHT_MS = 200

// Guards against requests sent to a leaving server until the source removes it.
test('a server that announces its leaving gets no more requests', async () => {
	const world = await openWorld(3, 2)
	const server = world.servers[0]!
	server.isLeaving = true
	await sendSteadily(world, { perSecond: 60, forMs: 2_000 })
	closeWorld(world)
	const late = server.notices.map(
		({ entry, at: from }) =>
			server.arrivals.filter(
				one => one.entry === entry && one.at > from + IN_FLIGHT_MS,
			).length,
	)
	assert.is(Math.max(...late), 0)
})

/** Time for updates to reach all entries, ms. */
const PROPAGATION_MS = 300

/** Opens a world of three entries, the first of which received an announcement. */
async function openLeaving(): Promise<[LimitedWorld, LimitedServer]> {
	const world = await openWorld(3, 2)
	const server = world.servers[0]!
	server.isLeaving = true
	await sendSteadily(world, { ...LOAD, pick: () => 0 })
	await pause(PROPAGATION_MS)
	assert.is(server.arrivals.filter(({ entry }) => entry !== '0').length, 0)
	return [world, server]
}

interface LaterCase {
	readonly name: string
	/** Changes the source after the server's announcement. */
	change(world: LimitedWorld, server: LimitedServer): void
	/** Whether the server gets requests afterwards. */
	readonly getsRequests: boolean
}
const LATER_CASES: readonly LaterCase[] = [
	{ name: 'the source does not change', change: () => {}, getsRequests: false },
	{
		name: 'the source lists it as serving again',
		change: (world, { listed }) => relist(world, listed, listed.name),
		getsRequests: false,
	},
	{
		name: 'the source removes it and lists it again',
		change: (world, { listed }) => {
			relist(world, undefined, listed.name)
			relist(world, listed, listed.name)
		},
		getsRequests: false,
	},
	{
		name: 'the source is restored from an older copy',
		change: ({ catalogs }) => {
			for (const catalog of catalogs) {
				const revision = { term: 2, revision: 1 }
				const { servers } = catalog.snapshot
				const copied = servers.map(one => ({ ...one, revision }))
				catalog.publish({ servers: copied })
			}
		},
		getsRequests: false,
	},
	{
		name: 'the source is unavailable',
		change: ({ catalogs }) => {
			for (const catalog of catalogs) catalog.isDown = true
		},
		getsRequests: false,
	},
	{
		name: 'its next incarnation is listed',
		change: (world, server) => {
			const { listed } = server
			server.isLeaving = false
			relist(world, { ...listed, id: `${listed.id}@2` }, listed.name)
		},
		getsRequests: true,
	},
]
for (const { name, change, getsRequests } of LATER_CASES)
	test(`a server that announced its leaving gets ${getsRequests ? 'requests' : 'none'} when ${name}`, async () => {
		const [world, server] = await openLeaving()
		const before = server.arrivals.length
		change(world, server)
		await pause(PROPAGATION_MS)
		const responses = await sendSteadily(world, LOAD)
		closeWorld(world)
		assert.ok(responses.every(({ response }) => response.status === 200))
		assert.is(server.arrivals.length > before, getsRequests)
	})

test('a starting entry has received leaving servers before it is ready', async () => {
	const [world, server] = await openLeaving()
	const started = await openEntry(world)
	while ((await callGateway(started.readiness, '/')).status !== 200)
		await pause(5)
	assert.ok(started.ctx.list.departed.has(server.listed.id))
	const before = server.arrivals.length
	await sendSteadily(world, LOAD)
	closeWorld(world)
	assert.is(server.arrivals.length, before)
})

test('callers are refused at once while all servers are leaving', async () => {
	const world = await openWorld(1, 1)
	world.servers[0]!.isLeaving = true
	const [first, ...others] = await sendSteadily(world, LOAD)
	closeWorld(world)
	// An accepted request is answered completely.
	assert.is(first!.response.status, 200)
	const refused = others.slice(10)
	for (const { response } of refused) assert.match(response.body, 'noServer')
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
