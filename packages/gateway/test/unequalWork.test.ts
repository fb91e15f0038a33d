/** Tests how an entry weighs requests by their work and by the pace of groups. */

import type { Server } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { TrafficConfig } from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { applySettings } from '../src/features.ts'
import type { CallerResponse } from './fakeBackends.ts'
import {
	CONFIG,
	callGateway,
	createCatalog,
	ENGINE,
	startBackends,
	WIRE,
} from './fakeBackends.ts'
import type { TestGateway } from './openGateway.ts'
import { createOpener, until } from './openGateway.ts'

const backends = await startBackends(2)
const openGateway = createOpener(25_000, backends.listed)
const TIMEOUT_MS = 2_500
/** Published time of a full pass is some 50 ms; a pace of 100 ms counts as slow. */
const FAST_MS = 5
const SLOW_MS = 200

/** A rank whose streams get an event each `paceMs`, as many as requests say. */
interface PacedRank {
	readonly server: Server
	readonly address: string
	paceMs: number
	/** Ids of the requests received. */
	readonly arrivals: string[]
}

async function startRank(paceMs: number): Promise<PacedRank> {
	const arrivals: string[] = []
	const server = createServer((req, res) => {
		const id = String(req.headers[WIRE.requestId])
		arrivals.push(id)
		const head = { [WIRE.requestId]: id, [WIRE.seal]: 'sealed' }
		res.writeHead(200, { ...head, 'content-type': 'text/event-stream' })
		res.flushHeaders()
		const events = Number(req.headers['x-test-events'] ?? 1)
		const send = (event: number) => {
			if (res.destroyed) return
			res.write(`id: ${event}\ndata: ${event}\n\n`)
			if (event >= events) res.end()
			else setTimeout(send, rank.paceMs, event + 1)
		}
		setTimeout(send, rank.paceMs, 1)
	})
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
	const { port } = server.address() as AddressInfo
	const rank = { server, address: `127.0.0.1:${port}`, paceMs, arrivals }
	return rank
}

const WEIGHED: TrafficConfig = {
	...CONFIG,
	services: CONFIG.services.map(service => ({
		...service,
		engine: { ...ENGINE, stepMs: 48, memoryTokens: 5_000 },
	})),
	routes: CONFIG.routes.map(route => ({ ...route, timeoutMs: TIMEOUT_MS })),
}

/** Opens a gateway whose ranks each form a group of their own. */
async function openWeighed(
	ranks: readonly PacedRank[],
	underPressure: boolean,
): Promise<TestGateway> {
	const listed = ranks.map(({ address }, at) => ({
		...backends.listed[at]!,
		address,
		group: `g${at}`,
	}))
	const gateway = await openGateway(createCatalog(WEIGHED, listed))
	applySettings(gateway.ctx, { ...gateway.ctx.settings, underPressure })
	return gateway
}

function callStream(
	{ callers }: TestGateway,
	id: string,
	events: number,
	headers: Record<string, string> = {},
): Promise<CallerResponse> {
	const own = { 'x-id': id, 'x-test-events': String(events), ...headers }
	return callGateway(callers, '/f/1', own)
}

function pause(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}

function errorOf({ body }: CallerResponse): string {
	return (JSON.parse(body) as { error: string }).error
}

const LONG = { 'x-answer-hint': '100' }

test('gateway: at a slow pace, only an answer that could end is begun, until the pace is usual', async () => {
	const rank = await startRank(SLOW_MS)
	const gateway = await openWeighed([rank], true)
	const running = [1, 2].map(at => callStream(gateway, `running-${at}`, 11))
	await pause(4 * SLOW_MS + 50)
	const refused = await callStream(gateway, 'long-1', 100, LONG)
	assert.is(refused.status, 503)
	assert.is(errorOf(refused), 'cannotFinish')
	assert.ok(refused.headers['retry-after'] !== undefined)
	assert.not(rank.arrivals.includes('long-1'))
	const short = callStream(gateway, 'short-1', 2, { 'x-answer-hint': '3' })
	assert.is((await short).status, 200)
	rank.paceMs = FAST_MS
	const fast = callStream(gateway, 'fast', 60)
	await pause(SLOW_MS + 150)
	const accepted = await callStream(gateway, 'long-2', 30, LONG)
	assert.is(accepted.status, 200)
	for (const stream of [...running, fast])
		assert.ok((await stream).whole, 'a stream in progress is not cut')
	rank.server.close()
})

test('gateway: where work is not weighed, every request is begun', async () => {
	const rank = await startRank(SLOW_MS)
	const gateway = await openWeighed([rank], false)
	const running = callStream(gateway, 'running-3', 6)
	await pause(4 * SLOW_MS + 50)
	const large = { ...LONG, 'x-prompt-tokens': '99999' }
	const long = await callStream(gateway, 'long-3', 2, large)
	assert.is(long.status, 200)
	assert.ok((await running).whole)
	assert.is(gateway.ctx.work.lengths.size, 0)
	assert.is(gateway.ctx.work.paces.size, 0)
	rank.server.close()
})

test('gateway: a long answer goes to the group in which it can end', async () => {
	const [slow, fast] = [await startRank(SLOW_MS), await startRank(FAST_MS)]
	const gateway = await openWeighed([slow, fast], true)
	const running = Array.from({ length: 4 }, (_, at) =>
		callStream(gateway, `spread-${at}`, 8),
	)
	await pause(5 * SLOW_MS)
	assert.ok(slow.arrivals.length > 0 && fast.arrivals.length > 0)
	const ids = Array.from({ length: 6 }, (_, at) => `long-to-fast-${at}`)
	const answers = ids.map(id => callStream(gateway, id, 10, LONG))
	for (const answer of await Promise.all(answers)) assert.is(answer.status, 200)
	assert.ok(ids.every(id => fast.arrivals.includes(id)))
	await Promise.all(running)
	for (const { server } of [slow, fast]) server.close()
})

const SIZES: {
	name: string
	headers: Record<string, string>
	status: number
}[] = [
	{
		name: 'beyond the memory',
		headers: { 'x-prompt-tokens': '4900', 'x-answer-tokens': '101' },
		status: 503,
	},
	{
		name: 'of 10^9 tokens',
		headers: { 'x-prompt-tokens': '1000000000' },
		status: 503,
	},
	{
		name: 'just within the memory',
		headers: { 'x-prompt-tokens': '4900', 'x-answer-tokens': '100' },
		status: 200,
	},
	{
		name: 'negative',
		headers: { 'x-prompt-tokens': '-5', 'x-answer-hint': '-1' },
		status: 200,
	},
	{
		name: 'not a number',
		headers: { 'x-prompt-tokens': 'many', 'x-answer-hint': 'few' },
		status: 200,
	},
]

test('gateway: a request that no server could hold is refused at once', async () => {
	const rank = await startRank(FAST_MS)
	const gateway = await openWeighed([rank], true)
	for (const [at, { name, headers, status }] of SIZES.entries()) {
		const answer = await callStream(gateway, `size-${at}`, 1, headers)
		assert.is(answer.status, status, name)
		assert.is(rank.arrivals.includes(`size-${at}`), status === 200, name)
		if (status === 503) assert.is(errorOf(answer), 'oversize')
	}
	const { unreadTokens } = gateway.ctx.fleet.table
	assert.equal([...unreadTokens], [0])
	rank.server.close()
})

test('gateway: a prompt counts as unread until its first event or its end', async () => {
	const rank = await startRank(SLOW_MS)
	const gateway = await openWeighed([rank], true)
	const unread = () => gateway.ctx.fleet.table.unreadTokens[0]
	const size = { 'x-prompt-tokens': '700' }
	const answer = callStream(gateway, 'read-1', 4, size)
	await until(() => rank.arrivals.includes('read-1'))
	assert.is(unread(), 700)
	await until(() => unread() === 0)
	assert.is(gateway.ctx.fleet.inFlight.get('s0'), 1, 'still in progress')
	assert.ok((await answer).whole)
	const cut = callStream(gateway, 'read-2', 4, { ...size, 'x-deadline': '60' })
	await until(() => rank.arrivals.includes('read-2'))
	assert.is((await cut).status, 504)
	await until(() => unread() === 0)
	assert.is(unread(), 0)
	rank.server.close()
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
