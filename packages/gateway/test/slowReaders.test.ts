/** Tests callers that read slowly, before servers with large answers. */

import { connect } from 'node:net'
import {
	ABANDONED_MS,
	addHolder,
	growHolder,
	KEEPS_UP_BYTES,
	RESPONSE_BOUND_BYTES,
	removeHolder,
} from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CONFIG, createCatalog } from './fakeBackends.ts'
import { createOpener, until } from './openGateway.ts'
import type { Reading, Received } from './slowCallers.ts'
import { callSlowly, startLargeServer } from './slowCallers.ts'

/** Events that exceed what the sockets' buffers take. */
const LARGE = { path: '/s/65000/300/0', count: 300 }
/** Events that the sockets' buffers take. */
const SMALL = { path: '/s/100/300/0', count: 300 }
/** Bytes that one reading of a server's connection adds at most. */
const READ_BYTES = 65_536 * 2
/** Generous limit of a pause in a stream of which an event is sent each 10 ms, ms. */
const MAX_GAP_MS = 1_500
const KEEPERS = 3

const large = await startLargeServer()
const config = {
	...CONFIG,
	routes: CONFIG.routes.map(route => ({ ...route, timeoutMs: 20_000 })),
	services: CONFIG.services.map(service => ({
		...service,
		maxConnections: 2_000,
	})),
}
const openGateway = createOpener(25_400, [large.listed])
const gateway = await openGateway(createCatalog(config, [large.listed]))
const { ctx } = gateway
const { heldResponses: held } = ctx
const ended: string[] = []
const writeLog = ctx.log.write
ctx.log.write = (event, fields) => {
	if (event === 'response ended') ended.push(`${fields?.req} ${fields?.reason}`)
	writeLog(event, fields)
}
let nextId = 1

function reset(underPressure: boolean, memoryMb = 256): void {
	ctx.settings = { ...ctx.settings, underPressure, memoryMb }
	ended.length = 0
	large.abandoned = 0
	large.longestUnreadMs = 0
}

function call(
	path: string,
	reading: Reading,
	headers: Record<string, string> = {},
): Promise<Received> {
	const id = `r${nextId++}`
	return callSlowly(gateway.callers, path, reading, { 'x-id': id, ...headers })
}

/** Calls that keep up, while others do not. */
function callKeepers(): Promise<Received[]> {
	return Promise.all(
		Array.from({ length: KEEPERS }, () =>
			call('/s/100/100/10', { kind: 'fast' }),
		),
	)
}

function checkKeepers(keepers: readonly Received[]): void {
	for (const { whole, ids, longestGapMs } of keepers) {
		assert.ok(whole)
		assert.equal(ids, countTo(100))
		assert.ok(longestGapMs < MAX_GAP_MS, `pause of ${longestGapMs} ms`)
	}
}

function countTo(count: number): number[] {
	return Array.from({ length: count }, (_, at) => at + 1)
}

const READINGS: {
	name: string
	path: string
	reading: Reading
	/** Why the gateway ends the response; undefined if it does not. */
	reason?: string
	/** Events of a complete response; undefined if it is incomplete. */
	count?: number
}[] = [
	{
		name: 'one that stops for ever',
		path: LARGE.path,
		reading: { kind: 'late', afterMs: 2_500 },
		reason: 'stalled',
	},
	{
		name: 'one byte a second',
		path: LARGE.path,
		reading: { kind: 'trickle', untilMs: 2_500 },
		reason: 'stalled',
	},
	{
		name: 'one that stops briefly and goes on',
		path: LARGE.path,
		reading: { kind: 'late', afterMs: 300 },
		count: LARGE.count,
	},
	{
		name: 'one that stops, with events that the sockets take',
		path: SMALL.path,
		reading: { kind: 'late', afterMs: 2_000 },
		count: SMALL.count,
	},
	{
		name: 'one that is slower than its server',
		path: '/s/65000/60/0',
		reading: { kind: 'steady', bytes: 65_536 },
		count: 60,
	},
	{
		name: 'one that closes half way',
		path: LARGE.path,
		reading: { kind: 'closes', afterMs: 300 },
	},
]

for (const { name, path, reading, reason, count } of READINGS)
	test(`a reader beside others: ${name}`, async () => {
		reset(true)
		const [received, keepers] = await Promise.all([
			call(path, reading),
			callKeepers(),
		])
		checkKeepers(keepers)
		assert.equal(received.ids, countTo(received.ids.length))
		assert.is(received.whole, count !== undefined)
		if (count !== undefined) assert.is(received.ids.length, count)
		assert.equal(
			ended.map(line => line.split(' ')[1]),
			reason ? [reason] : [],
		)
		await until(() => held.queues.size === 0)
		assert.is(held.bytes.totalBytes, 0)
		assert.is(large.abandoned, count === undefined ? 1 : 0)
	})

test('an ended stream is resumed after its last event, with each event once', async () => {
	reset(true)
	const first = await call(LARGE.path, { kind: 'late', afterMs: 2_000 })
	assert.not(first.whole)
	const last = String(first.ids.at(-1) ?? 0)
	const rest = await call(
		LARGE.path,
		{ kind: 'fast' },
		{ 'last-event-id': last },
	)
	assert.ok(rest.whole)
	assert.equal([...first.ids, ...rest.ids], countTo(LARGE.count))
})

test('many readers that are slow at once all get their streams', async () => {
	reset(true)
	const reading: Reading = { kind: 'steady', bytes: 65_536 }
	const calls = Array.from({ length: 8 }, () => call('/s/65000/60/0', reading))
	for (const received of await Promise.all(calls)) {
		assert.ok(received.whole)
		assert.equal(received.ids, countTo(60))
	}
	assert.equal(ended, [])
})

test('200 readers that stop at once are bounded in sum, beside those that keep up', async () => {
	const readers = 200
	reset(true, 0)
	await until(() => held.bytes.limitBytes < RESPONSE_BOUND_BYTES * readers)
	const { limitBytes } = held.bytes
	let maxBytes = 0
	const timer = setInterval(() => {
		maxBytes = Math.max(maxBytes, held.bytes.totalBytes)
	}, 2)
	const keepersCall = callKeepers()
	await until(() => held.queues.size === KEEPERS)
	const calls = Array.from({ length: readers }, () =>
		call('/s/16000/300/0', { kind: 'late', afterMs: 4_000 }),
	)
	checkKeepers(await keepersCall)
	const all = await Promise.all(calls)
	clearInterval(timer)
	// Beyond the limit, only what is read before a reader is recognized as slow.
	const slack = readers * (KEEPS_UP_BYTES + READ_BYTES)
	assert.ok(maxBytes <= limitBytes + slack, `${maxBytes} bytes`)
	for (const { status, ids, whole } of all) {
		assert.equal(ids, countTo(ids.length))
		assert.ok(status === 503 || whole === (ids.length === 300))
	}
	assert.ok(ended.length > 0)
	await until(() => held.queues.size === 0)
	assert.is(held.bytes.totalBytes, 0)
})

test('a complete answer is delivered late to a caller that stops and goes on', async () => {
	reset(true)
	const received = await call(
		'/r/20000000',
		{ kind: 'late', afterMs: 700 },
		{ 'x-deadline': '400' },
	)
	assert.ok(received.whole)
	assert.is(received.bytes, 20_000_000)
})

test('a complete answer of which nothing is taken never looks complete', async () => {
	reset(true)
	const answer = call('/r/20000000', { kind: 'late', afterMs: 2_000 })
	await until(() => held.bytes.totalBytes > 0 && held.queues.size > 0)
	await new Promise(resolve => setTimeout(resolve, 1_000))
	assert.equal(ended, [])
	held.observedMs += ABANDONED_MS + 20_000
	const { whole, bytes } = await answer
	assert.not(whole)
	assert.ok(bytes < 20_000_000)
	assert.equal(
		ended.map(line => line.split(' ')[1]),
		['abandoned'],
	)
})

test('a new request is refused before the memory is full, with its own reason', async () => {
	reset(true)
	const holder = addHolder(held.bytes, 'receiving', 0, held.observedMs)
	growHolder(held.bytes, holder, held.bytes.limitBytes, held.observedMs)
	const refused = await call('/r/10', { kind: 'fast' })
	assert.is(refused.status, 503)
	assert.is(refused.retryAfter, '1.00')
	reset(false)
	assert.is((await call('/r/10', { kind: 'fast' })).status, 200)
	reset(true)
	removeHolder(held.bytes, holder)
	assert.is((await call('/r/10', { kind: 'fast' })).status, 200)
})

test('the body of a slow sender is counted, and refused when the memory is full', async () => {
	reset(true)
	const [host, port] = gateway.callers.split(':')
	const socket = connect(Number(port), host)
	let reply = ''
	socket.on('data', data => {
		reply += data
	})
	const head = 'POST /r/10 HTTP/1.1\r\nhost: huts.example\r\nx-id: b\r\n'
	socket.write(`${head}authorization: Key key-1\r\ncontent-length: 900\r\n\r\n`)
	socket.write('x'.repeat(100))
	await until(() => held.bytes.totalBytes === 100)
	assert.is(held.bytes.totalBytes, 100)
	const holder = addHolder(held.bytes, 'receiving', 0, held.observedMs)
	growHolder(held.bytes, holder, held.bytes.limitBytes, held.observedMs)
	socket.write('y')
	await until(() => reply.includes('memoryShort'))
	assert.match(reply, /^HTTP\/1\.1 503 /)
	removeHolder(held.bytes, holder)
	socket.destroy()
	await until(() => held.bytes.totalBytes === 0)
	assert.is(held.bytes.totalBytes, 0)
})

test('without pressure nothing is counted, paused or ended', async () => {
	reset(false)
	const call1 = call('/s/16000/300/0', { kind: 'late', afterMs: 1_500 })
	await until(() => ctx.openRequests > 0)
	await new Promise(resolve => setTimeout(resolve, 300))
	assert.is(held.queues.size, 0)
	assert.is(held.bytes.totalBytes, 0)
	const received = await call1
	assert.ok(received.whole)
	assert.equal(received.ids, countTo(300))
	assert.equal(ended, [])
	assert.is((await call('/r/100000', { kind: 'fast' })).bytes, 100_000)
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
