/** What an agent reads in the answers of its backend server, and when its words end. */

import { EventEmitter } from 'node:events'
import type { Server } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { AdmissionEvent, Config, ServerConfig } from '@juniperhook/core'
import { createMetrics } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createAnswerLog } from '../src/io/answerLog.ts'
import { stepTable } from '../src/io/requests.ts'
import { createRequestTable } from '../src/io/requestTable.ts'
import { runOnBackend } from '../src/io/runs.ts'
import { lookForNextLife } from '../src/io/backendWatch.ts'
import { readServerSignals } from '../src/io/serverSignals.ts'
import { stateOf } from '../src/reports.ts'

const STARTED_AT = 5
const NO_LIMIT: AdmissionEvent = {
	type: 'limit',
	perSecond: undefined,
	startedAt: STARTED_AT,
}
const TAKEN: AdmissionEvent = { type: 'taken', startedAt: STARTED_AT }
const LEAVES: AdmissionEvent = { type: 'serverLeaves' }

interface AnswerCase {
	readonly name: string
	readonly status: number
	readonly headers: Record<string, string>
	readonly events: readonly AdmissionEvent[]
}
const CASES: readonly AnswerCase[] = [
	{
		name: '503 with Retry-After asks for rest',
		status: 503,
		headers: { 'Retry-After': '1.5' },
		events: [{ type: 'rest', forMs: 1_500 }, NO_LIMIT],
	},
	{
		name: '429 with Retry-After asks for rest',
		status: 429,
		headers: { 'Retry-After': '2' },
		events: [{ type: 'rest', forMs: 2_000 }, NO_LIMIT],
	},
	{ name: '503 alone does not', status: 503, headers: {}, events: [NO_LIMIT] },
	{
		name: 'an unreadable rest is none',
		status: 503,
		headers: { 'Retry-After': 'soon' },
		events: [NO_LIMIT],
	},
	{
		name: '200 with Retry-After speaks of no rest',
		status: 200,
		headers: { 'Retry-After': '2' },
		events: [TAKEN, NO_LIMIT],
	},
	{
		name: 'a limit',
		status: 200,
		headers: { 'Server-Limit': '0.5' },
		events: [TAKEN, { type: 'limit', perSecond: 0.5, startedAt: STARTED_AT }],
	},
	{
		name: 'an unreadable limit changes nothing',
		status: 200,
		headers: { 'Server-Limit': 'many' },
		events: [TAKEN],
	},
	{
		name: 'a leaving, with a rest',
		status: 503,
		headers: { 'Server-Leaving': '1', 'Retry-After': '1' },
		events: [{ type: 'rest', forMs: 1_000 }, NO_LIMIT, LEAVES],
	},
]

let answer: AnswerCase
async function startBackend(port = 0): Promise<Server> {
	const server = createServer((req, res) => {
		req.resume()
		res.writeHead(answer.status, answer.headers).end('done')
	})
	await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
	return server
}
const backend = await startBackend()
const { port } = backend.address() as AddressInfo
const SERVER = {
	kind: 'service',
	backend: `127.0.0.1:${port}`,
	slots: 4,
} as unknown as ServerConfig

for (const one of CASES)
	test(`agent: ${one.name}`, async () => {
		answer = one
		const meta = { method: 'GET', path: '/', headers: {}, priority: 5 }
		const request = {
			name: { reqId: 'a', attempt: 1 },
			meta: meta as unknown as Parameters<typeof runOnBackend>[1]['meta'],
			body: Buffer.alloc(0),
			answer: createAnswerLog(false),
			stop: new EventEmitter(),
		}
		const events: AdmissionEvent[] = []
		const end = await runOnBackend(SERVER, request, (status, headers) => {
			events.push(...readServerSignals(status, headers, STARTED_AT))
		})
		assert.is(end.how, 'whole')
		assert.equal(events, one.events)
	})

test('agent: what a server said ends with its life, not before', async () => {
	const server = await startBackend()
	const address = server.address() as AddressInfo
	let changes = 0
	const table = createRequestTable(
		'hut',
		'1',
		{} as Config,
		{ ...SERVER, backend: `127.0.0.1:${address.port}` },
		createMetrics(),
		{
			onChange: () => {
				changes++
			},
			onBroken: () => {},
		},
	)
	for (const event of [LEAVES, { type: 'rest', forMs: 60_000 } as const])
		stepTable(table, event)
	table.life = 'leaving'
	table.leavesSince = performance.now()
	await lookForNextLife(table, () => {})
	assert.is(stateOf(table), 'leaving')
	server.closeAllConnections()
	await new Promise(resolve => server.close(resolve))
	await lookForNextLife(table, () => {})
	assert.is(stateOf(table), 'leaving')
	const next = await startBackend(address.port)
	await lookForNextLife(table, () => {})
	assert.is(stateOf(table), 'serving')
	assert.is(table.admission.backoffUntil, Number.NEGATIVE_INFINITY)
	assert.is(changes, 1)
	next.close()
})

test('agent: a rest ends with a server that nobody asks meanwhile', async () => {
	const server = await startBackend()
	const address = server.address() as AddressInfo
	const look = () => void lookForNextLife(table, () => {})
	const table = createRequestTable(
		'hut',
		'1',
		{} as Config,
		{ ...SERVER, backend: `127.0.0.1:${address.port}` },
		createMetrics(),
		{ onChange: () => {}, onBroken: look },
	)
	stepTable(table, { type: 'rest', forMs: 60_000 })
	look()
	const sockets = await new Promise<number>(resolve =>
		server.once('connection', () =>
			server.getConnections((_, n) => resolve(n)),
		),
	)
	assert.is(sockets, 1)
	server.closeAllConnections()
	server.close()
	await until(() => table.life === 'gone')
	const next = await startBackend(address.port)
	look()
	await until(() => table.life === 'up')
	assert.is(table.admission.backoffUntil, Number.NEGATIVE_INFINITY)
	next.close()
})

async function until(condition: () => boolean): Promise<void> {
	for (let at = 0; at < 400 && !condition(); at++)
		await new Promise(resolve => setTimeout(resolve, 10))
}

test.after(() => {
	backend.close()
	setImmediate(() => process.exit())
})

test.run()
