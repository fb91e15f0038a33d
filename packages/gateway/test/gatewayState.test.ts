/** What a gateway believes: lists, sources, peers, groups. */

import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createServer as createTcpServer } from 'node:net'
import type { ListedServer, TrafficConfig } from '@juniperhook/core'
import { incarnationId } from '@juniperhook/core'
import { call, connectRpc, serveRpc } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { queueOf } from '../src/fleet.ts'
import { endOpenRequests } from '../src/index.ts'
import { takePaces } from '../src/toldGroups.ts'
import type { OpenGateway } from './openGateway.ts'
import {
	CONTACT_MS,
	createOpener,
	openGatewayAt,
	until,
} from './openGateway.ts'
import type { Deed } from './standIns.ts'
import {
	CONFIG,
	callGateway,
	createCatalog,
	ENGINE,
	startBackends,
	WIRE,
} from './standIns.ts'

const backends = await startBackends(3)
const openGateway = createOpener(21_540, backends.listed)
const gateway = await openGateway()
/** What an adapter adds to a watch before it counts as lost, ms. */
const WATCH_GRACE_MS = 500
/** A pause before the next call, ms. */
const PAUSE_MS = 100
/** Entries that find each other listen on the same ports. */
const MESH_PORT = 21_700
/** Far beyond what a forming takes, also on a busy machine, ms. */
const LONG_MS = 8_000

/** The plain service as ranks of a group that forms within 2 s. */
const GROUPED: TrafficConfig = {
	...CONFIG,
	services: CONFIG.services.map(service => ({ ...service, engine: ENGINE })),
	routes: CONFIG.routes.map(route => ({ ...route, timeoutMs: LONG_MS })),
}

function reset(script: readonly Deed[] = []): void {
	backends.script = [...script]
	backends.arrivals.length = 0
}

test('gateway: a server that leaves gets nothing new', async () => {
	reset()
	const catalog = createCatalog(CONFIG, backends.listed.slice(0, 2))
	const other = await openGateway(catalog)
	const [first] = backends.listed
	const leaving = { ...first!, leaving: true }
	catalog.tell({
		servers: [{ name: first!.name, revision: 2, server: leaving }],
	})
	await until(() => other.ctx.fleet.servers.length === 1)
	for (let count = 0; count < 8; count++)
		await callGateway(other.callers, '/r/x', { [WIRE.requestId]: `l${count}` })
	const expected = backends.arrivals.map(req => req.headers[WIRE.expectServer])
	assert.not(expected.includes(first!.id))
	assert.is(expected.length, 8)
})

test('gateway: without a configuration it is not ready and says 503', async () => {
	const catalog = createCatalog(undefined, [])
	catalog.down = true
	const lone = await openGateway(catalog)
	const got = await callGateway(lone.callers, '/r/x', { [WIRE.requestId]: 'n' })
	assert.is(got.status, 503)
	assert.ok(Number(got.headers['retry-after']) > 0)
	const ready = await callGateway(lone.readiness, '/')
	assert.is(ready.status, 503)
})

test('gateway: a link to a peer that goes silent is made anew', async () => {
	let links = 0
	const control = '127.0.0.1:21598'
	// It takes connections and what is sent on them, and never says a word.
	const silent = createTcpServer(socket => {
		links++
		socket.on('error', () => {})
		socket.resume()
	})
	await new Promise<void>(resolve =>
		silent.listen(21_598, '127.0.0.1', () => resolve()),
	)
	const lone = await openGateway(createCatalog(CONFIG, backends.listed), [
		control,
	])
	await until(() => links >= 2)
	assert.ok(links >= 2, `${links} links`)
	assert.ok(lone.ctx.routes)
	silent.close()
})

test('gateway: nothing of a former life is held against a server', async () => {
	reset(['reset', 'reset', 'reset', 'reset', 'hang'])
	const [first] = backends.listed
	const born = (bornAt: number): ListedServer => ({
		...first!,
		id: incarnationId(first!.name, bornAt),
	})
	const catalog = createCatalog(CONFIG, [born(10)])
	const other = await openGateway(catalog)
	const { fleet } = other.ctx
	const ask = (id: string) =>
		callGateway(other.callers, '/o/x', { [WIRE.requestId]: id }, 'POST')
	for (let at = 0; at < 4; at++) await ask(`former-${at}`)
	const lost = ask('former-open')
	await until(() => fleet.held.get(born(10).id) === 1)
	assert.ok(fleet.table.failureRate[0]! > 0)
	catalog.tell({
		servers: [{ name: first!.name, revision: 2, server: born(20) }],
	})
	await until(() => fleet.table.rowOf.has(born(20).id))
	assert.is(fleet.table.failureRate[0], 0)
	assert.is(fleet.table.sentSince[0], 0)
	const answer = await ask('new-life')
	assert.is(answer.status, 200)
	const expected = backends.arrivals.at(-1)?.headers[WIRE.expectServer]
	assert.is(expected, first!.name, 'it answers to its name')
	backends.servers[0]!.closeAllConnections()
	assert.is((await lost).status, 502)
	assert.not(fleet.held.has(born(10).id))
})

test('gateway: a server that is granted and gone in one turn is not sent to', async () => {
	const [first, second] = backends.listed
	const catalog = createCatalog(CONFIG, [first!])
	const other = await openGateway(catalog)
	reset(new Array<Deed>(10).fill('hang'))
	const open = Array.from({ length: 11 }, (_, at) =>
		callGateway(other.callers, `/r/${at}`, { [WIRE.requestId]: `turn-${at}` }),
	)
	await until(() => queueOf(other.ctx.fleet, 'plain').waiting.length === 1)
	// More slots grant what waits; the same news take the server out.
	const engine = { ...ENGINE, slots: 64, experts: undefined }
	const services = CONFIG.services.map(service => ({ ...service, engine }))
	const config = { ...CONFIG, version: 5, services }
	catalog.tell({
		config: { config, text: JSON.stringify(config) },
		servers: [
			{ name: first!.name, revision: 2, server: undefined },
			{ name: second!.name, revision: 2, server: second },
		],
	})
	const answers = await Promise.all(open)
	const statuses = answers.map(answer => answer.status)
	assert.not(statuses.includes(0), statuses.join())
	assert.ok(statuses.includes(200), statuses.join())
})

test('gateway: an entry that cannot be read takes its server out of use at once', async () => {
	const catalog = createCatalog(CONFIG, backends.listed)
	const other = await openGateway(catalog)
	const [first] = backends.listed
	const { name } = first!
	// Removals are doubted after an outage; what was written is not.
	catalog.down = true
	await new Promise(resolve => setTimeout(resolve, 1_500))
	catalog.tell({
		servers: [{ name, revision: 2, server: undefined, fault: 'not JSON' }],
	})
	catalog.down = false
	await until(() => other.ctx.fleet.servers.length === 2)
	assert.is(other.ctx.fleet.servers.length, 2)
	assert.is(other.ctx.list.doubted.size, 0)
	catalog.tell({ servers: [{ name, revision: 3, server: first }] })
	await until(() => other.ctx.fleet.servers.length === 3)
	assert.is(other.ctx.fleet.servers.length, 3)
})

test('gateway: a source that comes back tells what changed, not everything', async () => {
	const catalog = createCatalog(CONFIG, backends.listed)
	const entry = await openGateway(catalog)
	catalog.down = true
	await new Promise(resolve => setTimeout(resolve, 1_500))
	const [first] = backends.listed
	catalog.tell({
		servers: [{ name: first!.name, revision: 2, server: undefined }],
	})
	catalog.down = false
	await until(() => entry.ctx.fleet.servers.length === 2)
	assert.is(entry.ctx.fleet.servers.length, 2)
	assert.is(catalog.reads, 1)
})

test('gateway: what the source turns away comes from peers', async () => {
	const catalog = createCatalog(undefined, [])
	catalog.down = true
	const cut = await openGateway(catalog, [gateway.control])
	await until(() => cut.ctx.routes !== undefined)
	assert.is(cut.ctx.routes?.config.version, CONFIG.version)
	assert.is(cut.ctx.fleet.servers.length, backends.listed.length)
	const newer = { ...CONFIG, version: 9 }
	gateway.catalog.tell({
		config: { config: newer, text: JSON.stringify(newer) },
	})
	await until(() => cut.ctx.routes?.config.version === 9)
	assert.is(cut.ctx.routes?.config.version, 9)
	gateway.catalog.tell({
		config: { config: CONFIG, text: JSON.stringify(CONFIG) },
	})
	await new Promise(resolve => setTimeout(resolve, 200))
	assert.is(gateway.ctx.routes?.config.version, 9, 'never back')
})

/** A peer that has a newer configuration and keeps it to itself. */
function startSecretivePeer(control: string, version: number) {
	const state = {
		name: 'secretive',
		control,
		config: version,
		list: 0,
		held: {},
		peers: [],
	}
	return serveRpc(control, {
		state: (_params, link) => {
			void call(link, 'state', state).catch(() => {})
			return true
		},
		pull: () => new Promise(() => {}),
	})
}

const JUDGED_BEHIND = [
	{ path: '/new/x', key: 'key-1', behind: 503, upToDate: 404 },
	{ path: '/r/x', key: 'key-new', behind: 503, upToDate: 401 },
	{ path: '/r/x', key: 'key-1', behind: 200, upToDate: 200 },
]

test('gateway: what only a newer configuration may know is not refused for good', async () => {
	const control = '127.0.0.1:21594'
	const peer = await startSecretivePeer(control, CONFIG.version + 1)
	const catalog = createCatalog(CONFIG, backends.listed)
	const behind = await openGateway(catalog, [control])
	reset()
	const ask = async (expected: 'behind' | 'upToDate') => {
		for (const [at, judged] of JUDGED_BEHIND.entries()) {
			const headers = {
				[WIRE.requestId]: `${expected}-${at}`,
				authorization: `Key ${judged.key}`,
			}
			const got = await callGateway(behind.callers, judged.path, headers)
			assert.is(got.status, judged[expected], `${expected} ${judged.path}`)
			if (got.status === 503) assert.ok(Number(got.headers['retry-after']) > 0)
		}
	}
	const isTold = async () => {
		const id = { [WIRE.requestId]: 'look' }
		return (await callGateway(behind.callers, '/new/x', id)).status === 503
	}
	for (let look = 0; look < 100 && !(await isTold()); look++)
		await new Promise(resolve => setTimeout(resolve, 20))
	await ask('behind')
	const newer = { ...CONFIG, version: CONFIG.version + 1 }
	catalog.tell({ config: { config: newer, text: JSON.stringify(newer) } })
	await until(() => behind.ctx.routes?.config.version === newer.version)
	await ask('upToDate')
	peer.close()
})

test('gateway: a broken group leaves the other group of its service alone', async () => {
	let refused = 0
	const broken = createServer((_req, res) => {
		refused++
		res.writeHead(503, { [WIRE.notRun]: '1' }).end()
	})
	await new Promise<void>(resolve => broken.listen(0, '127.0.0.1', resolve))
	const { port } = broken.address() as AddressInfo
	const [first, second, third] = backends.listed
	const address = `127.0.0.1:${port}`
	const listed = [
		{ ...first!, address, id: 'broken', group: 'a' },
		{ ...second!, group: 'b' },
		{ ...third!, group: 'b' },
	]
	const two = await openGateway(createCatalog(GROUPED, listed))
	reset()
	const ids = Array.from({ length: 24 }, (_, at) => `two-groups-${at}`)
	const answers = await Promise.all(
		ids.map(id => callGateway(two.callers, '/r/1', { 'x-id': id })),
	)
	assert.ok(answers.every(answer => answer.status === 200))
	await callGateway(two.callers, '/r/1', { 'x-id': 'two-groups-last' })
	assert.ok(refused <= 12, `${refused} of 25 sent to the broken group`)
	broken.close()
})

test('gateway: what a coordinator tells one entry reaches all, and ends', async () => {
	const seeds = [`127.0.0.31:${MESH_PORT + 2}`]
	const all = await Promise.all(
		['127.0.0.31', '127.0.0.32', '127.0.0.33'].map(ip => {
			const catalog = createCatalog(CONFIG, backends.listed)
			return openGatewayAt(MESH_PORT, catalog, seeds, ip)
		}),
	)
	const told = all[0]!
	await until(() => all.every(one => one.ctx.fleet.heldByPeer.size === 2))
	const link = await connectRpc(told.control, {})
	const limitOf = (entry: OpenGateway) =>
		entry.ctx.fleet.toldGroups.get('s/g')?.limit
	const tell = (by: string, number: number, limit: number) =>
		call(link, 'paces', { group: 's/g', by, number, hops: 0, slow: {}, limit })
	await tell('first', 1, 2.5)
	await until(() => all.every(one => limitOf(one) === 2.5))
	assert.equal(all.map(limitOf), [2.5, 2.5, 2.5])
	await tell('second', 1, 3.5)
	await until(() => all.every(one => limitOf(one) === 3.5))
	// News that were overtaken on their way change nothing.
	await tell('first', 1, 1.5)
	const seen = new Set<number | undefined>()
	// Each forgets what is not told again by its own clock.
	await until(() => {
		for (const one of all) seen.add(limitOf(one))
		return all.every(one => limitOf(one) === undefined)
	})
	assert.equal(all.map(limitOf), [undefined, undefined, undefined])
	assert.equal([...seen].sort(), [3.5, undefined])
	link.socket.destroy()
})

test('gateway: a watch whose answer is lost ends well within the contact time', async () => {
	const catalog = createCatalog(CONFIG, backends.listed)
	await openGateway(catalog)
	await until(() => catalog.watchMs > 0)
	const reread = WATCH_GRACE_MS + 2 * PAUSE_MS
	assert.ok(catalog.watchMs + reread < CONTACT_MS)
})

test('gateway: when its time to stop is over, what is open gets a final answer', async () => {
	const stopping = await openGateway()
	reset(['hang', 'hang', 'hang'])
	const paths = ['/o/x', '/r/x', '/s/x']
	const answers = paths.map((path, at) =>
		callGateway(stopping.callers, path, { [WIRE.requestId]: `last-${at}` }),
	)
	await until(() => backends.arrivals.length === paths.length)
	await endOpenRequests(stopping.ctx)
	for (const answer of await Promise.all(answers))
		assert.is(answer.status, 504, 'it may have run')
	assert.is(stopping.ctx.giveUps.size, 0)
})

test('gateway: at its start, requests wait for a group that forms', async () => {
	const young = await openGateway(createCatalog(GROUPED, backends.listed))
	reset(['refuse', 'refuse', 'refuse'])
	const answers = await Promise.all([
		callGateway(young.callers, '/r/1', { 'x-id': 'forming-1' }),
		callGateway(young.callers, '/r/2', { 'x-id': 'forming-2' }),
	])
	assert.equal(
		answers.map(answer => answer.status),
		[200, 200],
	)
})

test('gateway: requests wait for a group as long as their callers do, however often it refuses', async () => {
	const experts = { ...ENGINE.experts!, reformMs: 50 }
	const engine = { ...ENGINE, experts }
	const services = CONFIG.services.map(service => ({ ...service, engine }))
	const config = { ...GROUPED, services }
	const young = await openGateway(createCatalog(config, backends.listed))
	reset(new Array<Deed>(8).fill('refuse'))
	const answer = await callGateway(young.callers, '/r/1', { 'x-id': 'long-1' })
	assert.is(answer.status, 200)
	assert.is(backends.arrivals.length, 9)
})

test('gateway: a group that its coordinator calls broken is left alone until it runs', async () => {
	const young = await openGateway(createCatalog(GROUPED, backends.listed))
	reset()
	const link = await connectRpc(young.control, {})
	const tell = (number: number, broken: boolean) => {
		const news = {
			group: 'plain/',
			by: 'one',
			number,
			hops: 0,
			slow: {},
			broken,
		}
		return call(link, 'paces', news)
	}
	await tell(1, true)
	const answers = [1, 2, 3].map(at =>
		callGateway(young.callers, `/r/${at}`, { 'x-id': `told-${at}` }),
	)
	await new Promise(resolve => setTimeout(resolve, 300))
	assert.is(backends.arrivals.length, 0)
	await tell(2, false)
	for (const answer of await Promise.all(answers)) assert.is(answer.status, 200)
	assert.is(backends.arrivals.length, 3)
	link.socket.destroy()
})

test('gateway: groups that open together share what waits', async () => {
	const listed = backends.listed.slice(0, 2).map((server, at) => ({
		...server,
		group: `g${at}`,
	}))
	const young = await openGateway(createCatalog(GROUPED, listed))
	reset()
	const tell = (group: string, number: number, broken: boolean) =>
		takePaces(young.ctx, {
			group,
			by: 'one',
			number,
			hops: 0,
			slow: {},
			broken,
		})
	const groups = ['plain/g0', 'plain/g1']
	for (const group of groups) tell(group, 1, true)
	const answers = [1, 2, 3, 4, 5, 6].map(at =>
		callGateway(young.callers, `/r/${at}`, { 'x-id': `shared-${at}` }),
	)
	await until(() => queueOf(young.ctx.fleet, 'plain').waiting.length === 6)
	// In one turn: no look at the queues comes between.
	for (const group of groups) tell(group, 2, false)
	for (const answer of await Promise.all(answers)) assert.is(answer.status, 200)
	const first = backends.arrivals.filter(
		req => req.headers[WIRE.expectServer] === listed[0]!.name,
	)
	assert.is(first.length, 3)
})

test('gateway: a group that served and broke is not waited for', async () => {
	const known = await openGateway(createCatalog(GROUPED, backends.listed))
	reset()
	await callGateway(known.callers, '/r/1', { 'x-id': 'broken-1' })
	reset(new Array<Deed>(8).fill('refuse'))
	const ids = [2, 3, 4].map(id => `broken-${id}`)
	const answers = await Promise.all(
		ids.map(id => callGateway(known.callers, `/r/${id}`, { 'x-id': id })),
	)
	assert.ok(answers.every(answer => answer.status === 503))
	assert.ok(answers.every(answer => answer.headers['retry-after']))
	assert.ok(backends.arrivals.length < 8, `${backends.arrivals.length} sends`)
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
