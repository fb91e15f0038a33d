/**
 * Guards against bytes that a backend server did not send in answer to a request: those
 * of an earlier answer, and events that do not continue its stream.
 */

import { EventEmitter } from 'node:events'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendRun, RunResult } from '../src/io/backend.ts'
import { runEngine, runService } from '../src/io/backend.ts'

/** Time until an answer, and from it to its second copy, ms. */
const ANSWER_DELAY_MS = 20
const COPY_DELAY_MS = 10
/** Time after which a connection is free for the next request, ms. */
const FREE_DELAY_MS = 3
const servers: Server[] = []

/** Starts a server that writes an answer of the list to each request, by its number. */
async function startBackend(
	write: (socket: Socket, request: number) => void,
): Promise<string> {
	let requests = 0
	const server = createServer(socket => {
		socket.on('error', () => {})
		socket.on('data', data => {
			if (data.includes('\r\n\r\n')) write(socket, requests++)
		})
	})
	servers.push(server)
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
	return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

interface Ran {
	readonly result: RunResult
	readonly body: string
}

async function run(
	address: string,
	execute: typeof runService,
	reqId: string,
): Promise<Ran> {
	const request: BackendRun = {
		address,
		reqId,
		method: 'GET',
		path: `/${reqId}`,
		headers: {},
		body: Buffer.alloc(0),
		priority: 5,
		stop: new EventEmitter(),
	}
	let body = ''
	const result = await execute(request, {
		head: () => {},
		chunk(data) {
			body += Buffer.from(data).toString()
			return undefined
		},
	})
	return { result, body }
}

const answerOf = (body: string) =>
	`HTTP/1.1 200 OK\r\nconnection: keep-alive\r\nkeep-alive: timeout=9\r\ncontent-length: ${body.length}\r\n\r\n${body}`

test('a second copy of an answer does not answer the next request', async () => {
	const address = await startBackend((socket, request) => {
		const answer = answerOf(`answer ${request}`)
		const write = () => socket.writable && socket.write(answer)
		setTimeout(write, ANSWER_DELAY_MS)
		setTimeout(write, ANSWER_DELAY_MS + COPY_DELAY_MS)
	})
	const bodies: string[] = []
	for (let request = 0; request < 5; request++) {
		bodies.push((await run(address, runService, `r${request}`)).body)
		// The connection becomes free before its next request, which precedes the copy.
		await new Promise(resolve => setTimeout(resolve, FREE_DELAY_MS))
	}
	assert.equal(
		bodies,
		[0, 1, 2, 3, 4].map(request => `answer ${request}`),
	)
})

const HEAD =
	'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n'
const event = (id: number, data: string) => `id: ${id}\ndata: ${data}\n\n`
const FIRST = event(0, 'a') + event(1, 'b')
const REST = event(2, 'c') + event(3, '[DONE]')

const STREAMS: { name: string; parts: readonly string[] }[] = [
	{ name: 'ends at once', parts: [HEAD + FIRST + REST] },
	{ name: 'is resumed', parts: [HEAD + FIRST, HEAD + REST] },
	{
		name: 'is resumed by events without numbers',
		parts: [HEAD + FIRST, `${HEAD}data: x\n\ndata: [DONE]\n\n`, HEAD + REST],
	},
	{
		name: 'is resumed by an answer that is no stream',
		parts: [HEAD + FIRST, answerOf(REST), HEAD + REST],
	},
	{
		name: 'is resumed after an event that is missing',
		parts: [HEAD + FIRST, HEAD + event(3, '[DONE]'), HEAD + REST],
	},
	{
		name: 'is resumed from its beginning',
		parts: [HEAD + FIRST, HEAD + FIRST + REST],
	},
	{
		name: 'leaves out an event',
		parts: [HEAD + event(0, 'a') + REST, HEAD + event(1, 'b') + REST],
	},
	{
		name: 'has an event whose number cannot be read',
		parts: [`${HEAD}${FIRST}id: x\ndata: [DONE]\n\n`, HEAD + REST],
	},
]

for (const { name, parts } of STREAMS)
	test(`a stream that ${name} is passed on completely, each event once`, async () => {
		const address = await startBackend((socket, request) =>
			socket.end(parts[request] ?? ''),
		)
		const { result, body } = await run(address, runEngine, 'stream')
		assert.equal(result, { how: 'whole' })
		assert.is(body, 'data: a\n\ndata: b\n\ndata: c\n\ndata: [DONE]\n\n')
	})

test('a stream whose missing event never comes is not complete', async () => {
	const address = await startBackend(socket =>
		socket.end(HEAD + event(0, 'a') + REST),
	)
	const { result, body } = await run(address, runEngine, 'stream')
	assert.is(result.how, 'broken')
	assert.is(body, 'data: a\n\n')
})

const SEALED_HEAD = 'HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 2\r\n'
const CUT_HEADS = [
	{ name: 'in its status line', head: 'HTTP/1.1 2' },
	{ name: 'in a field', head: SEALED_HEAD.slice(0, -4) },
	{ name: 'before its blank line', head: SEALED_HEAD },
	{ name: 'in its blank line', head: `${SEALED_HEAD}\r` },
]

for (const { name, head } of CUT_HEADS)
	for (const execute of [runService, runEngine])
		test(`cut heads: a head that ends ${name} is no answer (${execute.name})`, async () => {
			const address = await startBackend(socket => socket.end(head))
			const { result, body } = await run(address, execute, 'cut')
			assert.is(result.how, 'broken')
			assert.is(body, '')
		})

/** Writes a text until the connection closes. */
function writeOn(socket: Socket, text: string): void {
	const pump = () => {
		while (!socket.destroyed && socket.write(text));
	}
	socket.on('drain', pump)
	pump()
}

const OPEN_HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n'
const ENDLESS = [
	{ name: 'an event', first: '', how: 'broken' },
	{ name: 'what follows its end', first: 'data: [DONE]\n\n', how: 'whole' },
]

for (const { name, first, how } of ENDLESS)
	test(`endless: a run ends although the server sends without end: ${name}`, async () => {
		const sockets = new Set<Socket>()
		const address = await startBackend(socket => {
			sockets.add(socket)
			socket.on('close', () => sockets.delete(socket))
			socket.write(OPEN_HEAD + first)
			writeOn(socket, 'x'.repeat(65_536))
		})
		const { result } = await run(address, runEngine, 'endless')
		assert.is(result.how, how)
		for (let at = 0; at < 200 && sockets.size > 0; at++)
			await new Promise(resolve => setTimeout(resolve, 10))
		assert.is(sockets.size, 0)
	})

test.after(() => {
	for (const server of servers) server.close()
	setImmediate(() => process.exit())
})

test.run()
