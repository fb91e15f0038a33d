/** Evacuated data centres and cold servers, as a gateway's callers and servers see them. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ListedServer, TrafficConfig } from '@juniperhook/core'
import { isEvacuated } from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { parseUpdates } from '../src/peerMessages.ts'
import type { FakeCatalog } from './fakeBackends.ts'
import {
	CONFIG,
	callGateway,
	createCatalog,
	nextRevision,
	WIRE,
} from './fakeBackends.ts'
import type { OpenGateway, TestGateway } from './openGateway.ts'
import { createOpener, openGatewayAt, until } from './openGateway.ts'

const open = createOpener(24_000, [])
/** First port of the linked entries. */
const PEER_PORT = 24_160
/** Bound for an immediate refusal, ms. */
const AT_ONCE_MS = 500

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

type Answer = (req: IncomingMessage, res: ServerResponse) => void

/** Starts a server in a data centre; returns its record and its arrivals. */
async function startServer(name: string, dataCentre: string, answer?: Answer) {
	const arrivals: number[] = []
	const server = createServer((req, res) => {
		arrivals.push(performance.now())
		req.resume()
		if (answer) answer(req, res)
		else res.writeHead(200, sealOf(req)).end('served')
	})
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
	const { port } = server.address() as AddressInfo
	const listed: ListedServer = {
		id: name,
		name,
		service: 'plain',
		address: `127.0.0.1:${port}`,
		dataCentre,
		slots: 4,
		leaving: false,
		coldMs: 0,
	}
	return { listed, arrivals }
}

const sealOf = (req: IncomingMessage) => ({
	[WIRE.requestId]: String(req.headers[WIRE.requestId]),
	[WIRE.seal]: 'sealed',
})

function evacuate(catalog: FakeCatalog, dataCentre: string, isOn = true): void {
	const revision = nextRevision(catalog)
	const evacuation = { dataCentre, revision, isEvacuated: isOn }
	catalog.publish({ evacuations: [evacuation] })
}

const isOut = ({ ctx }: OpenGateway, dataCentre: string) =>
	isEvacuated(ctx.sharedState.evacuations, dataCentre)

let nextId = 0
const call = (gateway: TestGateway, path = '/r/x') =>
	callGateway(gateway.callers, path, {
		[WIRE.requestId]: `e${nextId++}`,
		[WIRE.deadlineMs]: '3000',
	})

const callMany = (gateway: TestGateway, count: number) =>
	Promise.all(Array.from({ length: count }, () => call(gateway)))

test('nothing new goes to an evacuated data centre until it is taken back', async () => {
	const north = await startServer('n', 'north')
	const south = await startServer('s', 'south')
	const gateway = await open(
		createCatalog(CONFIG, [north.listed, south.listed]),
	)
	evacuate(gateway.catalog, 'north')
	await until(() => isOut(gateway, 'north'))
	for (let round = 0; round < 5; round++)
		for (const { status } of await callMany(gateway, 4)) assert.is(status, 200)
	assert.equal([north.arrivals.length, south.arrivals.length], [0, 20])
	evacuate(gateway.catalog, 'north', false)
	await until(() => !isOut(gateway, 'north'))
	await callMany(gateway, 4)
	assert.ok(north.arrivals.length > 0)
})

test('a service whose servers are all evacuated refuses at once', async () => {
	const { listed, arrivals } = await startServer('n', 'north')
	const gateway = await open(createCatalog(CONFIG, [listed]))
	evacuate(gateway.catalog, 'north')
	await until(() => isOut(gateway, 'north'))
	const from = performance.now()
	const { status, body, headers } = await call(gateway)
	assert.is(status, 503)
	assert.match(body, 'evacuated')
	assert.ok(Number(headers['retry-after']) > 0)
	assert.ok(performance.now() - from < AT_ONCE_MS)
	assert.is(arrivals.length, 0)
})

test('an unknown data centre is held until servers appear there', async () => {
	const { listed, arrivals } = await startServer('e', 'east')
	const gateway = await open(createCatalog(CONFIG, []))
	evacuate(gateway.catalog, 'east')
	await until(() => isOut(gateway, 'east'))
	const revision = nextRevision(gateway.catalog)
	const record = { name: listed.name, revision, server: listed }
	gateway.catalog.publish({ servers: [record] })
	await until(() => gateway.ctx.fleet.servers.length > 0)
	assert.match((await call(gateway)).body, 'evacuated')
	assert.is(arrivals.length, 0)
})

test('a stream ends at its evacuated server', async () => {
	let finish = () => {}
	const south = await startServer('s', 'south', (req, res) => {
		const type = { 'content-type': 'text/event-stream' }
		res.writeHead(200, { ...sealOf(req), ...type })
		res.write('id: 1\ndata: 1\n\n')
		finish = () => res.end('id: 2\ndata: 2\n\n')
	})
	const north = await startServer('n', 'north')
	const gateway = await open(createCatalog(CONFIG, [south.listed]))
	const response = call(gateway, '/s/x')
	await until(() => south.arrivals.length === 1)
	evacuate(gateway.catalog, 'south')
	await until(() => isOut(gateway, 'south'))
	finish()
	const { whole, body } = await response
	assert.ok(whole)
	assert.match(body, 'data: 2')
	assert.equal([south.arrivals.length, north.arrivals.length], [1, 0])
})

test('a retry goes to another data centre', async () => {
	let fail = () => {}
	const south = await startServer('s', 'south', req => {
		fail = () => req.socket.destroy()
	})
	const north = await startServer('n', 'north')
	const gateway = await open(createCatalog(CONFIG, [south.listed]))
	const response = call(gateway)
	await until(() => south.arrivals.length === 1)
	const revision = nextRevision(gateway.catalog)
	gateway.catalog.publish({
		servers: [{ name: 'n', revision, server: north.listed }],
		evacuations: [{ dataCentre: 'south', revision, isEvacuated: true }],
	})
	await until(() => isOut(gateway, 'south'))
	fail()
	assert.is((await response).status, 200)
	assert.equal([south.arrivals.length, north.arrivals.length], [1, 1])
})

test('a request that waits for an evacuated server is refused at once', async () => {
	const { listed, arrivals } = await startServer('s', 'south', () => {})
	const patient: TrafficConfig = {
		...CONFIG,
		routes: CONFIG.routes.map(route => ({
			...route,
			timeoutMs: 3_000,
			targetMs: 3_000,
		})),
	}
	const gateway = await open(createCatalog(patient, [listed]))
	// The slots and the queue of the server hold ten requests.
	void callMany(gateway, 10)
	await until(() => arrivals.length === 10)
	const waiting = call(gateway)
	await pause(100)
	const from = performance.now()
	evacuate(gateway.catalog, 'south')
	assert.match((await waiting).body, 'evacuated')
	assert.ok(performance.now() - from < AT_ONCE_MS)
	assert.is(arrivals.length, 10)
})

test('an entry that cannot reach the source learns of an evacuation from its peers', async () => {
	const { listed } = await startServer('n', 'north')
	// Entries are told apart by their IP addresses, as all use the same port.
	const seeds = ['127.0.0.1', '127.0.0.2'].map(ip => `${ip}:${PEER_PORT + 2}`)
	const catalog = createCatalog(CONFIG, [listed])
	await openGatewayAt(PEER_PORT, catalog, seeds, '127.0.0.1')
	const cutOff = createCatalog(CONFIG, [listed])
	const second = await openGatewayAt(PEER_PORT, cutOff, seeds, '127.0.0.2')
	await until(() => second.ctx.routes !== undefined)
	cutOff.isDown = true
	evacuate(catalog, 'north')
	await until(() => isOut(second, 'north'))
	assert.ok(isOut(second, 'north'))
	evacuate(catalog, 'north', false)
	await until(() => !isOut(second, 'north'))
	assert.not(isOut(second, 'north'))
})

const COLD_PER_SECOND = 4
const COLD_CONFIG: TrafficConfig = {
	...CONFIG,
	services: [
		{
			...CONFIG.services[0]!,
			cold: { forMs: 1_000, perSecond: COLD_PER_SECOND },
		},
	],
}

test('a cold server gets its rate, and its full load when it is warm', async () => {
	const { listed, arrivals } = await startServer('n', 'north')
	const cold = { ...listed, coldMs: 1_500 }
	const gateway = await open(createCatalog(COLD_CONFIG, [cold]))
	const { coldServers } = gateway.ctx.sharedState
	const responses = await callMany(gateway, 10)
	assert.ok(coldServers.has('n'))
	assert.is(arrivals.length, COLD_PER_SECOND)
	const refused = responses.filter(({ status }) => status === 503)
	assert.is(refused.length, 10 - COLD_PER_SECOND)
	for (const { headers } of refused)
		assert.ok(Number(headers['retry-after']) > 0)
	await until(() => coldServers.size === 0)
	for (const { status } of await callMany(gateway, 10)) assert.is(status, 200)
})

test('a cold server of a service without a published rate bears its full load', async () => {
	const { listed, arrivals } = await startServer('n', 'north')
	const gateway = await open(
		createCatalog(CONFIG, [{ ...listed, coldMs: 60_000 }]),
	)
	for (const { status } of await callMany(gateway, 10)) assert.is(status, 200)
	assert.is(arrivals.length, 10)
})

test('updates of unknown kinds are skipped, the others are kept', () => {
	const { updates, skippedKinds } = parseUpdates([
		{ kind: 'left', server: 's' },
		{ kind: 'later', server: 's' },
		null,
		{ kind: 'cold', server: 's', leftMs: 'soon' },
	])
	assert.equal(updates, [{ kind: 'left', server: 's' }])
	assert.equal(skippedKinds, ['later', 'none', 'cold'])
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
