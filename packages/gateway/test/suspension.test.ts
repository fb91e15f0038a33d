/** Tests VM suspensions of an entry: the steady clock stops, the time of day does not. */

import { clocks, readElapsed } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { receiveUpdates } from '../src/updateExchange.ts'
import {
	CONFIG,
	callGateway,
	createCatalog,
	startBackends,
	WIRE,
} from './fakeBackends.ts'
import type { TestGateway } from './openGateway.ts'
import { createOpener, until } from './openGateway.ts'

const SUSPENDED_MS = 20_000
/** Far less than the timeout of the request, ms. */
const SOON_MS = 2_000
const backends = await startBackends(3)
const openGateway = createOpener(23_800, backends.listed)
const wall = clocks.wall
let suspendedMs = 0
clocks.wall = () => wall() + suspendedMs

function suspend(): void {
	suspendedMs += SUSPENDED_MS
}

function request(gateway: TestGateway, id: string, headers = {}) {
	return callGateway(gateway.callers, '/r/x', {
		[WIRE.requestId]: id,
		...headers,
	})
}

test('suspension: a request that timed out during the suspension is ended soon', async () => {
	const routes = CONFIG.routes.map(one => ({ ...one, timeoutMs: 10_000 }))
	const config = { ...CONFIG, routes }
	const gateway = await openGateway(createCatalog(config, backends.listed))
	backends.script = ['hang']
	const startedAt = performance.now()
	const headers = { [WIRE.requestId]: 'late' }
	const response = callGateway(gateway.callers, '/o/x', headers)
	await until(() => gateway.ctx.openRequests > 0)
	suspend()
	const answer = await response
	assert.is(answer.status, 504)
	assert.ok(performance.now() - startedAt < SOON_MS)
})

test('suspension: a retried request is sent with its deadline reduced by the suspension', async () => {
	const gateway = await openGateway()
	const { ctx } = gateway
	backends.script = ['hang']
	const arrivals = backends.arrivals.length
	const response = request(gateway, 'again', { [WIRE.deadlineMs]: '60000' })
	await until(() => backends.arrivals.length > arrivals)
	ctx.cancelByRequest.clear()
	suspend()
	await response
	const [first, second] = backends.arrivals.slice(arrivals)
	const left = (arrival: typeof first) =>
		Number(arrival?.headers[WIRE.deadlineMs] ?? 0)
	assert.ok(left(second) <= left(first) - SUSPENDED_MS + 1_000)
})

test('suspension: reports of peers and coordinators age during a suspension', async () => {
	const gateway = await openGateway()
	const { ctx } = gateway
	const ran = { '6.deadly': 40 }
	const updates = [
		{ kind: 'end' as const, server: 'a', agoMs: 5_000, ran },
		{ kind: 'end' as const, server: 'b', agoMs: 1_000, ran },
	]
	receiveUpdates(ctx, updates, 'peer')
	const [first] = ctx.quarantineGate.quarantine.crashes.values()
	const before = readElapsed() - first!.at
	ctx.fleet.groupReports.set('g', {
		slow: {},
		limit: 1,
		broken: false,
		at: readElapsed(),
	})
	suspend()
	const after = readElapsed() - first!.at
	assert.ok(after - before >= SUSPENDED_MS)
	await until(() => ctx.fleet.groupReports.size === 0)
	assert.is(ctx.fleet.groupReports.size, 0)
})

test('suspension: the source is watched anew at once, not when the watch times out', async () => {
	const gateway = await openGateway()
	const { ctx, catalog } = gateway
	await until(() => catalog.watchMs > 1)
	catalog.watch = async (_revision, waitMs) => {
		catalog.watchMs = waitMs
		await new Promise(() => {})
		throw new Error('never')
	}
	await new Promise(resolve => setTimeout(resolve, 200))
	const hung = catalog.watchMs
	assert.ok(hung > 1)
	suspend()
	await until(() => catalog.watchMs < hung)
	assert.ok(catalog.watchMs < hung)
	assert.ok(ctx.suspension.observedMs >= SUSPENDED_MS)
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
