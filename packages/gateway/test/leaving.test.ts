/** Servers that say in their answers that they leave. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { LimitedServer, LimitedWorld } from './limitedServers.ts'
import {
	askSteadily,
	closeWorld,
	createLimitedWorlds,
	openEntry,
	pause,
	relist,
} from './limitedServers.ts'
import { callGateway } from './standIns.ts'

const openWorld = createLimitedWorlds(26_100)
const ASKED = { perSecond: 60, forMs: 500 }

/** For what was under way when an answer said that its server leaves, ms. */
const LEAVE_MS = 200

// A server that said in its answers that it leaves got requests until it was gone.
test('a server that says that it leaves is sent nothing more', async () => {
	const world = await openWorld(3, 2)
	const server = world.servers[0]!
	server.isLeaving = true
	await askSteadily(world, { perSecond: 60, forMs: 2_000 })
	closeWorld(world)
	const late = server.notices.map(
		({ entry, at: from }) =>
			server.arrivals.filter(
				one => one.entry === entry && one.at > from + LEAVE_MS,
			).length,
	)
	assert.is(Math.max(...late), 0)
})

/** For what entries tell each other, ms. */
const NEWS_MS = 300

/** A world of three entries, whose first one has heard that a server leaves. */
async function openLeaving(): Promise<[LimitedWorld, LimitedServer]> {
	const world = await openWorld(3, 2)
	const server = world.servers[0]!
	server.isLeaving = true
	await askSteadily(world, { ...ASKED, pick: () => 0 })
	await pause(NEWS_MS)
	assert.is(server.arrivals.filter(({ entry }) => entry !== '0').length, 0)
	return [world, server]
}

interface LaterCase {
	readonly name: string
	/** What the source says or does after the server's word. */
	happen(world: LimitedWorld, server: LimitedServer): void
	/** Whether the server is sent to after that. */
	readonly sent: boolean
}
const LATER: readonly LaterCase[] = [
	{ name: 'nothing more is told', happen: () => {}, sent: false },
	{
		name: 'the source lists it as serving, again',
		happen: (world, { listed }) => relist(world, listed, listed.name),
		sent: false,
	},
	{
		name: 'the source loses and lists it, again',
		happen: (world, { listed }) => {
			relist(world, undefined, listed.name)
			relist(world, listed, listed.name)
		},
		sent: false,
	},
	{
		name: 'the source comes back from an older copy',
		happen: ({ catalogs }) => {
			for (const catalog of catalogs) {
				const revision = { term: 2, revision: 1 }
				const { servers } = catalog.snapshot
				const copied = servers.map(one => ({ ...one, revision }))
				catalog.tell({ servers: copied })
			}
		},
		sent: false,
	},
	{
		name: 'the source is away',
		happen: ({ catalogs }) => {
			for (const catalog of catalogs) catalog.down = true
		},
		sent: false,
	},
	{
		name: 'its next life is listed',
		happen: (world, server) => {
			const { listed } = server
			server.isLeaving = false
			relist(world, { ...listed, id: `${listed.id}@2` }, listed.name)
		},
		sent: true,
	},
]
for (const { name, happen, sent } of LATER)
	test(`all entries leave a leaving server alone when ${name}: ${!sent}`, async () => {
		const [world, server] = await openLeaving()
		const before = server.arrivals.length
		happen(world, server)
		await pause(NEWS_MS)
		const asked = await askSteadily(world, ASKED)
		closeWorld(world)
		assert.ok(asked.every(({ got }) => got.status === 200))
		assert.is(server.arrivals.length > before, sent)
	})

test('an entry that starts knows which servers leave before it is ready', async () => {
	const [world, server] = await openLeaving()
	const started = await openEntry(world)
	while ((await callGateway(started.readiness, '/')).status !== 200)
		await pause(5)
	assert.ok(started.ctx.list.left.has(server.listed.id))
	const before = server.arrivals.length
	await askSteadily(world, ASKED)
	closeWorld(world)
	assert.is(server.arrivals.length, before)
})

test('while all servers leave, callers are refused at once', async () => {
	const world = await openWorld(1, 1)
	world.servers[0]!.isLeaving = true
	const [first, ...others] = await askSteadily(world, ASKED)
	closeWorld(world)
	// What was taken is answered whole.
	assert.is(first!.got.status, 200)
	const refused = others.slice(10)
	for (const { got } of refused) assert.match(got.body, 'noServer')
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
