/**
 * Guards against a success that no server has sent: a server that ends its connection in
 * the middle of a head has answered nothing (rules MIXED and ORDER).
 */

import type { AddressInfo, Socket } from 'node:net'
import { createServer } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CONFIG, callGateway, createCatalog, WIRE } from './fakeBackends.ts'
import { createOpener, until } from './openGateway.ts'

const PATHS = ['/r/x', '/o/x', '/s/x']

/** How a server ends a connection. */
const ENDS: { name: string; end(socket: Socket): void }[] = [
	{ name: 'closed', end: socket => void socket.end() },
	{ name: 'reset', end: socket => void socket.resetAndDestroy() },
]

const OK = 'HTTP/1.1 200 OK\r\n'
/** Whole heads; each is cut at many places. */
const HEADS: { name: string; lines(id: string): string }[] = [
	{
		name: 'with a length',
		lines: id =>
			`${OK}${WIRE.requestId}: ${id}\r\n${WIRE.seal}: sealed\r\ncontent-length: 0\r\n`,
	},
	{
		name: 'without a length',
		lines: id => `${OK}${WIRE.requestId}: ${id}\r\n${WIRE.seal}: sealed\r\n`,
	},
	{
		name: 'in chunks',
		lines: id =>
			`${OK}${WIRE.requestId}: ${id}\r\ntransfer-encoding: chunked\r\n${WIRE.seal}: sealed\r\n`,
	},
	{
		name: 'of a stream',
		lines: id =>
			`${OK}content-type: text/event-stream\r\n${WIRE.seal}: sealed\r\n${WIRE.requestId}: ${id}\r\n`,
	},
	{
		name: 'after an interim response',
		lines: id =>
			`HTTP/1.1 103 Early Hints\r\n\r\n${OK}${WIRE.seal}: sealed\r\n${WIRE.requestId}: ${id}\r\n`,
	},
]
/** Parts of a head that arrive; with a share of 1, only its blank line is missing. */
const SHARES = [0.05, 0.3, 0.6, 0.9, 1]
const CUT_DELAY_MS = 5

let cut = { head: HEADS[0]!, share: 1, end: ENDS[0]!.end }
const server = createServer(socket => {
	socket.on('error', () => {})
	socket.on('data', data => {
		const id = /^x-id: (.*)$/im.exec(data.toString())?.[1]?.trim() ?? ''
		const head = cut.head.lines(id)
		socket.write(head.slice(0, Math.round(head.length * cut.share)))
		setTimeout(() => cut.end(socket), CUT_DELAY_MS)
	})
})
await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
const { port } = server.address() as AddressInfo
const listed = [0, 1].map(at => ({
	id: `c${at}`,
	name: `c${at}`,
	service: 'plain',
	address: `127.0.0.1:${port}`,
	dataCentre: 'north',
	slots: 4,
	leaving: false,
	coldMs: 0,
}))
const openGateway = createOpener(27_540, listed)
const gateway = await openGateway(createCatalog(CONFIG, listed))
let nextId = 0

for (const head of HEADS)
	for (const { name, end } of ENDS)
		test(`cut heads: a head ${head.name} that is ${name} midway is no answer`, async () => {
			const { table } = gateway.ctx.fleet
			for (const share of SHARES) {
				cut = { head, share, end }
				for (const path of PATHS) {
					table.failures.fill(0)
					table.ejectedUntil.fill(0)
					table.failureRate.fill(0)
					const id = `id-${nextId++}`
					const headers = { [WIRE.requestId]: id }
					const got = await callGateway(gateway.callers, path, headers, 'POST')
					const what = `${path}, ${share}: ${got.status} ${got.body}`
					assert.is(got.status, 502, what)
					assert.match(got.body, '"ran":"maybe"', what)
				}
			}
			await until(() => gateway.ctx.fleet.inFlight.size === 0)
			assert.is(gateway.ctx.fleet.inFlight.size, 0)
		})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
