/** Tests the state that a gateway keeps of its servers and its source. */

import type { ListedServer } from '@juniperhook/core'
import { incarnationId } from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { queueOf } from '../src/fleet.ts'
import { endOpenRequests } from '../src/index.ts'
import type { BackendAction } from './fakeBackends.ts'
import {
	CONFIG,
	callGateway,
	createCatalog,
	ENGINE,
	revisionOf,
	startBackends,
	WIRE,
} from './fakeBackends.ts'
import { CONTACT_MS, createOpener, until } from './openGateway.ts'

const backends = await startBackends(3)
const openGateway = createOpener(21_540, backends.listed)
/** Time that the source client adds to a watch's wait before it times out, ms. */
const WATCH_GRACE_MS = 500
/** Delay before the next call to the source, ms. */
const RETRY_DELAY_MS = 100

function reset(script: readonly BackendAction[] = []): void {
	backends.script = [...script]
	backends.arrivals.length = 0
}

test('gateway: a leaving server gets no new requests', async () => {
	reset()
	const catalog = createCatalog(CONFIG, backends.listed.slice(0, 2))
	const other = await openGateway(catalog)
	const [first] = backends.listed
	const leaving = { ...first!, leaving: true }
	catalog.publish({
		servers: [{ name: first!.name, revision: revisionOf(2), server: leaving }],
	})
	await until(() => other.ctx.fleet.servers.length === 1)
	for (let count = 0; count < 8; count++)
		await callGateway(other.callers, '/r/x', { [WIRE.requestId]: `l${count}` })
	const expected = backends.arrivals.map(req => req.headers[WIRE.expectServer])
	assert.not(expected.includes(first!.id))
	assert.is(expected.length, 8)
})

test('gateway: without a configuration, it is not ready and responds with 503', async () => {
	const catalog = createCatalog(undefined, [])
	catalog.isDown = true
	const gateway = await openGateway(catalog)
	const got = await callGateway(gateway.callers, '/r/x', {
		[WIRE.requestId]: 'n',
	})
	assert.is(got.status, 503)
	assert.ok(Number(got.headers['retry-after']) > 0)
	const ready = await callGateway(gateway.readiness, '/')
	assert.is(ready.status, 503)
})

test('gateway: a restarted server starts without the failures of its former incarnation', async () => {
	reset(['reset', 'reset', 'reset', 'reset', 'hang'])
	const [first] = backends.listed
	const listedAs = (bornAt: number): ListedServer => ({
		...first!,
		id: incarnationId(first!.name, bornAt),
	})
	const catalog = createCatalog(CONFIG, [listedAs(10)])
	const other = await openGateway(catalog)
	const { fleet } = other.ctx
	const send = (id: string) =>
		callGateway(other.callers, '/o/x', { [WIRE.requestId]: id }, 'POST')
	for (let at = 0; at < 4; at++) await send(`former-${at}`)
	const lost = send('former-open')
	await until(() => fleet.inFlight.get(listedAs(10).id) === 1)
	assert.ok(fleet.table.failureRate[0]! > 0)
	catalog.publish({
		servers: [
			{ name: first!.name, revision: revisionOf(2), server: listedAs(20) },
		],
	})
	await until(() => fleet.table.rowOf.has(listedAs(20).id))
	assert.is(fleet.table.failureRate[0], 0)
	assert.is(fleet.table.sentSinceReport[0], 0)
	const answer = await send('restarted')
	assert.is(answer.status, 200)
	const expected = backends.arrivals.at(-1)?.headers[WIRE.expectServer]
	assert.is(expected, first!.name, 'requests are addressed to the server name')
	backends.servers[0]!.closeAllConnections()
	assert.is((await lost).status, 502)
	assert.not(fleet.inFlight.has(listedAs(10).id))
})

test('gateway: a server granted and removed in the same event-loop turn gets no request', async () => {
	const [first, second] = backends.listed
	const catalog = createCatalog(CONFIG, [first!])
	const other = await openGateway(catalog)
	reset(new Array<BackendAction>(10).fill('hang'))
	const open = Array.from({ length: 11 }, (_, at) =>
		callGateway(other.callers, `/r/${at}`, { [WIRE.requestId]: `turn-${at}` }),
	)
	await until(() => queueOf(other.ctx.fleet, 'plain').waiting.length === 1)
	// More slots grant the server to the waiting request; the same change removes it.
	const engine = { ...ENGINE, slots: 64, experts: undefined }
	const services = CONFIG.services.map(service => ({ ...service, engine }))
	const config = { ...CONFIG, version: 5, services }
	catalog.publish({
		config: { config, text: JSON.stringify(config) },
		servers: [
			{ name: first!.name, revision: revisionOf(2), server: undefined },
			{ name: second!.name, revision: revisionOf(2), server: second },
		],
	})
	const answers = await Promise.all(open)
	const statuses = answers.map(answer => answer.status)
	assert.not(statuses.includes(0), statuses.join())
	assert.ok(statuses.includes(200), statuses.join())
})

test('gateway: an unreadable list entry removes its server at once', async () => {
	const catalog = createCatalog(CONFIG, backends.listed)
	const other = await openGateway(catalog)
	const [first] = backends.listed
	const { name } = first!
	// After an outage removals are deferred, but an unreadable value applies at once.
	catalog.isDown = true
	await new Promise(resolve => setTimeout(resolve, 1_500))
	catalog.publish({
		servers: [
			{ name, revision: revisionOf(2), server: undefined, fault: 'not JSON' },
		],
	})
	catalog.isDown = false
	await until(() => other.ctx.fleet.servers.length === 2)
	assert.is(other.ctx.fleet.servers.length, 2)
	assert.is(other.ctx.list.pendingRemovals.size, 0)
	catalog.publish({
		servers: [{ name, revision: revisionOf(3), server: first }],
	})
	await until(() => other.ctx.fleet.servers.length === 3)
	assert.is(other.ctx.fleet.servers.length, 3)
})

test('gateway: after an outage of the source, only changes are read', async () => {
	const catalog = createCatalog(CONFIG, backends.listed)
	const entry = await openGateway(catalog)
	catalog.isDown = true
	await new Promise(resolve => setTimeout(resolve, 1_500))
	const [first] = backends.listed
	catalog.publish({
		servers: [
			{ name: first!.name, revision: revisionOf(2), server: undefined },
		],
	})
	catalog.isDown = false
	await until(() => entry.ctx.fleet.servers.length === 2)
	assert.is(entry.ctx.fleet.servers.length, 2)
	assert.is(catalog.reads, 1)
})

test('gateway: a watch whose response is lost ends well within the contact time', async () => {
	const catalog = createCatalog(CONFIG, backends.listed)
	await openGateway(catalog)
	await until(() => catalog.watchMs > 0)
	const reopenMs = WATCH_GRACE_MS + 2 * RETRY_DELAY_MS
	assert.ok(catalog.watchMs + reopenMs < CONTACT_MS)
})

test('gateway: open requests get a final response when the time to stop is over', async () => {
	const stopping = await openGateway()
	reset(['hang', 'hang', 'hang'])
	const paths = ['/o/x', '/r/x', '/s/x']
	const answers = paths.map((path, at) =>
		callGateway(stopping.callers, path, { [WIRE.requestId]: `last-${at}` }),
	)
	await until(() => backends.arrivals.length === paths.length)
	await endOpenRequests(stopping.ctx)
	for (const answer of await Promise.all(answers))
		assert.is(answer.status, 504, 'status of a request that may have run')
	assert.is(stopping.ctx.cancelByRequest.size, 0)
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
