/** What a gateway believes of servers and of its source. */

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
/** What an adapter adds to a watch before it counts as lost, ms. */
const WATCH_GRACE_MS = 500
/** A pause before the next call, ms. */
const PAUSE_MS = 100

function reset(script: readonly BackendAction[] = []): void {
	backends.script = [...script]
	backends.arrivals.length = 0
}

test('gateway: a server that leaves gets nothing new', async () => {
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

test('gateway: without a configuration it is not ready and says 503', async () => {
	const catalog = createCatalog(undefined, [])
	catalog.isDown = true
	const lone = await openGateway(catalog)
	const got = await callGateway(lone.callers, '/r/x', { [WIRE.requestId]: 'n' })
	assert.is(got.status, 503)
	assert.ok(Number(got.headers['retry-after']) > 0)
	const ready = await callGateway(lone.readiness, '/')
	assert.is(ready.status, 503)
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
	await until(() => fleet.inFlight.get(born(10).id) === 1)
	assert.ok(fleet.table.failureRate[0]! > 0)
	catalog.publish({
		servers: [{ name: first!.name, revision: revisionOf(2), server: born(20) }],
	})
	await until(() => fleet.table.rowOf.has(born(20).id))
	assert.is(fleet.table.failureRate[0], 0)
	assert.is(fleet.table.sentSinceReport[0], 0)
	const answer = await ask('new-life')
	assert.is(answer.status, 200)
	const expected = backends.arrivals.at(-1)?.headers[WIRE.expectServer]
	assert.is(expected, first!.name, 'it answers to its name')
	backends.servers[0]!.closeAllConnections()
	assert.is((await lost).status, 502)
	assert.not(fleet.inFlight.has(born(10).id))
})

test('gateway: a server that is granted and gone in one turn is not sent to', async () => {
	const [first, second] = backends.listed
	const catalog = createCatalog(CONFIG, [first!])
	const other = await openGateway(catalog)
	reset(new Array<BackendAction>(10).fill('hang'))
	const open = Array.from({ length: 11 }, (_, at) =>
		callGateway(other.callers, `/r/${at}`, { [WIRE.requestId]: `turn-${at}` }),
	)
	await until(() => queueOf(other.ctx.fleet, 'plain').waiting.length === 1)
	// More slots grant what waits; the same news take the server out.
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

test('gateway: an entry that cannot be read takes its server out of use at once', async () => {
	const catalog = createCatalog(CONFIG, backends.listed)
	const other = await openGateway(catalog)
	const [first] = backends.listed
	const { name } = first!
	// Removals are doubted after an outage; what was written is not.
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

test('gateway: a source that comes back tells what changed, not everything', async () => {
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
	assert.is(stopping.ctx.cancelByRequest.size, 0)
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
