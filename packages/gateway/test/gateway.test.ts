/** Tests requests through a gateway to backend servers with scripted behaviour. */

import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { connect } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendAction } from './fakeBackends.ts'
import {
	CONFIG,
	callGateway,
	createCatalog,
	STREAM_EVENTS,
	startBackends,
	WIRE,
} from './fakeBackends.ts'
import { createOpener, until } from './openGateway.ts'

const backends = await startBackends(3)
const openGateway = createOpener(21_340, backends.listed)
const gateway = await openGateway()
let nextId = 1

function reset(script: readonly BackendAction[] = []): void {
	backends.script = [...script]
	backends.arrivals.length = 0
	backends.runs.length = 0
	backends.abandoned = 0
	const { table } = gateway.ctx.fleet
	table.failures.fill(0)
	table.ejectedUntil.fill(0)
	table.failureRate.fill(0)
	gateway.ctx.list.displaced.clear()
}

const WHOLE_STREAM = Array.from(
	{ length: STREAM_EVENTS },
	(_, at) => `id: ${at + 1}\ndata: event ${at + 1}\n\n`,
).join('')

const CASES: {
	name: string
	path: string
	headers?: Record<string, string>
	method?: string
	body?: string
	script: readonly BackendAction[]
	status: number
	/** Expected number of requests that reach backend servers. */
	arrivals: number
	/** Expected part of the response body. */
	has?: string
	retryAfter?: boolean
	whole?: boolean
}[] = [
	{
		name: 'a response is passed on completely',
		path: '/r/x',
		script: ['serve'],
		status: 200,
		arrivals: 1,
		has: 'answer to',
	},
	{
		name: 'repeatable: refused by one server, served by another',
		path: '/r/x',
		script: ['refuse', 'serve'],
		status: 200,
		arrivals: 2,
	},
	{
		name: 'repeatable: connection reset, served by another server',
		path: '/r/x',
		script: ['reset', 'serve'],
		status: 200,
		arrivals: 2,
	},
	{
		name: 'repeatable: body truncated, served by another server',
		path: '/r/x',
		script: ['cut', 'serve'],
		status: 200,
		arrivals: 2,
		has: 'answer to',
	},
	{
		name: 'repeatable: failed twice, the second failure is passed on',
		path: '/r/x',
		script: ['fail', 'fail', 'serve'],
		status: 500,
		arrivals: 2,
		has: 'failed',
	},
	{
		name: 'repeatable: a response with another request id never reaches the caller',
		path: '/r/x',
		script: ['otherId', 'otherId'],
		status: 502,
		arrivals: 2,
	},
	{
		name: 'repeatable: a server that hangs is abandoned for another in time',
		path: '/r/x',
		script: ['hang', 'serve'],
		status: 200,
		arrivals: 2,
	},
	{
		name: 'once: provably not run, sent to another server',
		path: '/o/x',
		method: 'POST',
		body: 'book',
		script: ['refuse', 'serve'],
		status: 200,
		arrivals: 2,
	},
	{
		name: 'once: connection reset, never sent again, reported as possibly run',
		path: '/o/x',
		method: 'POST',
		body: 'book',
		script: ['reset', 'serve'],
		status: 502,
		arrivals: 1,
	},
	{
		name: 'once: body truncated, never sent again',
		path: '/o/x',
		method: 'POST',
		body: 'book',
		script: ['cut', 'serve'],
		status: 502,
		arrivals: 1,
	},
	{
		name: 'once: no response before the route timeout, reported as possibly run',
		path: '/o/x',
		method: 'POST',
		body: 'book',
		script: ['hang'],
		status: 504,
		arrivals: 1,
	},
	{
		name: 'once: refused by all servers, with a Retry-After time',
		path: '/o/x',
		method: 'POST',
		body: 'book',
		script: ['refuse', 'refuse', 'refuse', 'refuse', 'refuse', 'refuse'],
		status: 503,
		arrivals: 4,
		retryAfter: true,
	},
	{
		name: 'a body without a length ends with the connection',
		path: '/o/x',
		method: 'POST',
		script: ['unframed'],
		status: 200,
		arrivals: 1,
		has: 'answer to',
	},
	{
		name: 'a body without a length is incomplete when the connection is reset',
		path: '/o/x',
		method: 'POST',
		script: ['unframedReset'],
		status: 502,
		arrivals: 1,
	},
	{
		name: 'a success response without a seal is not passed on',
		path: '/o/x',
		method: 'POST',
		script: ['unsealed'],
		status: 502,
		arrivals: 1,
	},
	{
		name: 'a stream is passed on completely',
		path: '/s/x',
		method: 'POST',
		script: ['stream'],
		status: 200,
		arrivals: 1,
		has: WHOLE_STREAM,
	},
	{
		name: 'a truncated stream resumes at another server, with each event once',
		path: '/s/x',
		method: 'POST',
		script: ['brokenStream', 'stream'],
		status: 200,
		arrivals: 2,
		has: WHOLE_STREAM,
	},
	{
		name: 'a truncated stream that is not resumable never appears complete',
		path: '/f/x',
		method: 'POST',
		script: ['brokenStream', 'stream'],
		status: 200,
		arrivals: 1,
		whole: false,
	},
	{
		name: 'a stream that ends with its connection is passed on completely',
		path: '/f/x',
		method: 'POST',
		script: ['unframedStream'],
		status: 200,
		arrivals: 1,
		has: WHOLE_STREAM,
	},
	{
		name: 'a stream without ids that ends with its connection is passed on completely',
		path: '/f/x',
		method: 'POST',
		script: ['unframedPlainStream'],
		status: 200,
		arrivals: 1,
		has: WHOLE_STREAM.replaceAll(/id: \d+\n/g, ''),
	},
	{
		name: 'a stream that ends with its connection inside an event resumes',
		path: '/s/x',
		method: 'POST',
		script: ['unframedCutStream', 'unframedStream'],
		status: 200,
		arrivals: 2,
		has: WHOLE_STREAM,
	},
	{
		name: 'a stream that ends with its connection inside an event never appears complete',
		path: '/f/x',
		method: 'POST',
		script: ['unframedCutStream'],
		status: 200,
		arrivals: 1,
		whole: false,
	},
	{
		name: 'a stream whose connection is reset between two events resumes',
		path: '/s/x',
		method: 'POST',
		script: ['unframedResetStream', 'unframedStream'],
		status: 200,
		arrivals: 2,
		has: WHOLE_STREAM,
	},
	{
		name: 'a stream whose connection ends before the first event resumes',
		path: '/s/x',
		method: 'POST',
		script: ['unframedEmptyStream', 'stream'],
		status: 200,
		arrivals: 2,
		has: WHOLE_STREAM,
	},
	{
		name: 'a stream whose connection ends before the first event is not complete',
		path: '/f/x',
		method: 'POST',
		script: ['unframedEmptyStream'],
		status: 502,
		arrivals: 1,
	},
	{
		name: 'no route',
		path: '/zzz/x',
		script: [],
		status: 404,
		arrivals: 0,
	},
	{
		name: 'unknown key',
		path: '/r/x',
		headers: { authorization: 'Key nobody' },
		script: [],
		status: 401,
		arrivals: 0,
	},
	{
		name: 'an anonymous route needs no key',
		path: '/p/x',
		headers: { authorization: '' },
		script: ['serve'],
		status: 200,
		arrivals: 1,
	},
	{
		name: 'a body over the limit',
		path: '/o/x',
		method: 'POST',
		body: 'x'.repeat(1_001),
		script: [],
		status: 413,
		arrivals: 0,
	},
	{
		name: 'headers over the limit',
		path: '/r/x',
		headers: { 'x-long': 'y'.repeat(2_001) },
		script: [],
		status: 431,
		arrivals: 0,
	},
	{
		name: 'a deadline that is no number',
		path: '/r/x',
		headers: { [WIRE.deadlineMs]: 'soon' },
		script: [],
		status: 400,
		arrivals: 0,
	},
	{
		name: 'a service without servers: refused, with a Retry-After time',
		path: '/n/x',
		script: [],
		status: 503,
		arrivals: 0,
		retryAfter: true,
	},
]

for (const item of CASES)
	test(`gateway: ${item.name}`, async () => {
		reset(item.script)
		const id = `id-${nextId++}`
		const headers = { [WIRE.requestId]: id, ...item.headers }
		const got = await callGateway(
			gateway.callers,
			item.path,
			headers,
			item.method,
			item.body,
		)
		assert.is(got.status, item.status, got.body)
		assert.is(got.whole, item.whole ?? true)
		assert.is(backends.arrivals.length, item.arrivals)
		if (item.has) assert.ok(got.body.includes(item.has), got.body)
		if (item.retryAfter) assert.ok(Number(got.headers['retry-after']) > 0)
	})

test('gateway: headers and path that a server receives', async () => {
	reset()
	await callGateway(gateway.callers, '/r/x?q=%20', {
		[WIRE.requestId]: 'sent',
		[WIRE.team]: 'forged',
		[WIRE.deadlineMs]: '400',
		'x-own': 'kept',
		connection: 'keep-alive, x-hop',
		'x-hop': 'dropped',
	})
	const { headers, url } = backends.arrivals[0]!
	assert.is(url, '/r/x?q=%20')
	assert.is(headers[WIRE.team], 'rangers')
	assert.is(headers[WIRE.requestId], 'sent')
	assert.is(headers['x-own'], 'kept')
	assert.is(headers['x-hop'], undefined)
	assert.is(headers.authorization, undefined)
	assert.ok(backends.listed.some(one => one.id === headers[WIRE.expectServer]))
	const left = Number(headers[WIRE.deadlineMs])
	assert.ok(left > 0 && left <= 400, String(left))
})

test('gateway: a disconnect of the caller frees its server', async () => {
	reset(['hang'])
	const [host, port] = gateway.callers.split(':')
	const socket = connect({ host, port: Number(port) })
	socket.write(
		'POST /o/x HTTP/1.1\r\nhost: huts.example\r\nauthorization: Key key-1\r\n' +
			'x-id: leaver\r\ncontent-length: 2\r\n\r\nhi',
	)
	await until(() => backends.runs.length === 1)
	socket.destroy()
	await until(() => backends.abandoned === 1)
	assert.is(backends.abandoned, 1)
	await until(() => gateway.ctx.fleet.inFlight.size === 0)
	assert.is(gateway.ctx.fleet.inFlight.size, 0)
})

const FRAMINGS: { name: string; head: string; body: string }[] = [
	{
		name: 'both length and chunks',
		head: 'content-length: 4\r\ntransfer-encoding: chunked\r\n',
		body: '0\r\n\r\n',
	},
	{
		name: 'two lengths',
		head: 'content-length: 4\r\ncontent-length: 5\r\n',
		body: 'abcd',
	},
	{
		name: 'a bad chunk',
		head: 'transfer-encoding: chunked\r\n',
		body: 'zz\r\nab\r\n',
	},
]

for (const { name, head, body } of FRAMINGS)
	test(`gateway: ${name}: refused with 400, no request reaches a server`, async () => {
		reset()
		const [host, port] = gateway.callers.split(':')
		const socket = connect({ host, port: Number(port) })
		let text = ''
		socket.on('data', data => {
			text += data.toString()
		})
		socket.write(
			`POST /o/x HTTP/1.1\r\nhost: huts.example\r\nauthorization: Key key-1\r\nx-id: bad\r\n${head}\r\n${body}`,
		)
		await new Promise(resolve => socket.once('close', resolve))
		assert.match(text, /^HTTP\/1\.1 400 /)
		assert.is(backends.runs.length, 0)
	})

/** Exceeds the socket buffers of a loopback connection. */
const LONG_BODY = 'x'.repeat(24_000_000)

test('gateway: a connection is not reused after a response before the body was read', async () => {
	const sockets: unknown[] = []
	const server = createServer((req, res) => {
		sockets.push(req.socket)
		const id = String(req.headers[WIRE.requestId])
		const isFirst = sockets.length === 1
		if (!isFirst) req.resume()
		res.writeHead(200, { [WIRE.requestId]: id, [WIRE.seal]: 'sealed' })
		res.end(`answer to ${id}`)
	})
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
	const { port } = server.address() as AddressInfo
	const listed = { ...backends.listed[0]!, address: `127.0.0.1:${port}` }
	const limits = { ...CONFIG.limits, maxBodyBytes: LONG_BODY.length }
	const routes = CONFIG.routes.map(route => ({ ...route, timeoutMs: 9_000 }))
	const catalog = createCatalog({ ...CONFIG, limits, routes }, [listed])
	const other = await openGateway(catalog)
	const send = (id: string, body: string) =>
		callGateway(other.callers, '/r/x', { 'x-id': id }, 'POST', body)
	assert.is((await send('early', LONG_BODY)).body, 'answer to early')
	assert.is((await send('next', 'short')).body, 'answer to next')
	assert.is(sockets.length, 2)
	assert.is.not(sockets[0], sockets[1])
	server.closeAllConnections()
	server.close()
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
