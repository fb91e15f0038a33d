/** Tests the messages between gateways, and from coordinators to gateways. */

import { createServer as createTcpServer } from 'node:net'
import { call, connectRpc, serveRpc } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendAction } from './fakeBackends.ts'
import {
	CONFIG,
	callGateway,
	createCatalog,
	startBackends,
	WIRE,
} from './fakeBackends.ts'
import type { OpenGateway } from './openGateway.ts'
import { createOpener, openGatewayAt, until } from './openGateway.ts'

const backends = await startBackends(3)
const openGateway = createOpener(21_900, backends.listed)
const gateway = await openGateway()
/** Entries that discover each other listen on the same ports. */
const MESH_PORT = 21_700

function reset(script: readonly BackendAction[] = []): void {
	backends.script = [...script]
	backends.arrivals.length = 0
}

test('gateway: a link to a silent peer is reopened', async () => {
	let links = 0
	const control = '127.0.0.1:21598'
	// Accepts connections, reads everything and never answers.
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

test('gateway: peers replace an unavailable source', async () => {
	const catalog = createCatalog(undefined, [])
	catalog.isDown = true
	const cut = await openGateway(catalog, [gateway.control])
	await until(() => cut.ctx.routes !== undefined)
	assert.is(cut.ctx.routes?.config.version, CONFIG.version)
	assert.is(cut.ctx.fleet.servers.length, backends.listed.length)
	const newer = { ...CONFIG, version: 9 }
	gateway.catalog.publish({
		config: { config: newer, text: JSON.stringify(newer) },
	})
	await until(() => cut.ctx.routes?.config.version === 9)
	assert.is(cut.ctx.routes?.config.version, 9)
	gateway.catalog.publish({
		config: { config: CONFIG, text: JSON.stringify(CONFIG) },
	})
	await new Promise(resolve => setTimeout(resolve, 200))
	assert.is(gateway.ctx.routes?.config.version, 9, 'no older version')
})

/** Starts a peer that announces a newer configuration and does not serve it. */
function startUnhelpfulPeer(control: string, version: number) {
	const state = {
		name: 'unhelpful',
		control,
		config: version,
		list: { term: 0, revision: 0 },
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

const REFUSAL_CASES = [
	{ path: '/new/x', key: 'key-1', behind: 503, upToDate: 404 },
	{ path: '/r/x', key: 'key-new', behind: 503, upToDate: 401 },
	{ path: '/r/x', key: 'key-1', behind: 200, upToDate: 200 },
]

test('gateway: requests that a newer configuration may allow get a retryable refusal', async () => {
	const control = '127.0.0.1:21594'
	const peer = await startUnhelpfulPeer(control, CONFIG.version + 1)
	const catalog = createCatalog(CONFIG, backends.listed)
	const behind = await openGateway(catalog, [control])
	reset()
	const checkStatuses = async (expected: 'behind' | 'upToDate') => {
		for (const [at, refusalCase] of REFUSAL_CASES.entries()) {
			const headers = {
				[WIRE.requestId]: `${expected}-${at}`,
				authorization: `Key ${refusalCase.key}`,
			}
			const response = await callGateway(
				behind.callers,
				refusalCase.path,
				headers,
			)
			assert.is(
				response.status,
				refusalCase[expected],
				`${expected} ${refusalCase.path}`,
			)
			if (response.status === 503)
				assert.ok(Number(response.headers['retry-after']) > 0)
		}
	}
	const isBehind = async () => {
		const id = { [WIRE.requestId]: 'look' }
		return (await callGateway(behind.callers, '/new/x', id)).status === 503
	}
	for (let attempt = 0; attempt < 100 && !(await isBehind()); attempt++)
		await new Promise(resolve => setTimeout(resolve, 20))
	await checkStatuses('behind')
	const newer = { ...CONFIG, version: CONFIG.version + 1 }
	catalog.publish({ config: { config: newer, text: JSON.stringify(newer) } })
	await until(() => behind.ctx.routes?.config.version === newer.version)
	await checkStatuses('upToDate')
	peer.close()
})

test('gateway: a group report sent to one entry reaches all, and expires', async () => {
	const seeds = [`127.0.0.31:${MESH_PORT + 2}`]
	const all = await Promise.all(
		['127.0.0.31', '127.0.0.32', '127.0.0.33'].map(ip => {
			const catalog = createCatalog(CONFIG, backends.listed)
			return openGatewayAt(MESH_PORT, catalog, seeds, ip)
		}),
	)
	const first = all[0]!
	await until(() => all.every(one => one.ctx.fleet.inFlightByPeer.size === 2))
	const link = await connectRpc(first.control, {})
	const limitOf = (entry: OpenGateway) =>
		entry.ctx.fleet.groupReports.get('s/g')?.limit
	const sendReport = (by: string, number: number, limit: number) =>
		call(link, 'paces', { group: 's/g', by, number, hops: 0, slow: {}, limit })
	await sendReport('first', 1, 2.5)
	await until(() => all.every(one => limitOf(one) === 2.5))
	assert.equal(all.map(limitOf), [2.5, 2.5, 2.5])
	await sendReport('second', 1, 3.5)
	await until(() => all.every(one => limitOf(one) === 3.5))
	// An outdated report changes nothing.
	await sendReport('first', 1, 1.5)
	const seen = new Set<number | undefined>()
	// Each entry expires a report that is not repeated, by its own clock.
	await until(() => {
		for (const one of all) seen.add(limitOf(one))
		return all.every(one => limitOf(one) === undefined)
	})
	assert.equal(all.map(limitOf), [undefined, undefined, undefined])
	assert.equal([...seen].sort(), [3.5, undefined])
	link.socket.destroy()
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
