/** Signals that an agent reads in its backend server's answers, and when they expire. */

import { EventEmitter } from 'node:events'
import type { Server } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { AdmissionEvent, Config, ServerConfig } from '@juniperhook/core'
import { createMetrics, createWaits } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createAnswerLog } from '../src/io/answerLog.ts'
import { checkBackend } from '../src/io/backendWatch.ts'
import { stepTable } from '../src/io/requests.ts'
import { createRequestTable } from '../src/io/requestTable.ts'
import { runOnBackend } from '../src/io/runs.ts'
import { readServerSignals } from '../src/io/serverSignals.ts'
import { readServerState } from '../src/reports.ts'

const STARTED_AT = 5
const NO_LIMIT: AdmissionEvent = {
	type: 'limit',
	perSecond: undefined,
	startedAt: STARTED_AT,
}
const SERVED: AdmissionEvent = { type: 'taken', startedAt: STARTED_AT }
const LEAVING: AdmissionEvent = { type: 'serverLeaves' }

interface AnswerCase {
	readonly name: string
	readonly status: number
	readonly headers: Record<string, string>
	readonly events: readonly AdmissionEvent[]
}
const CASES: readonly AnswerCase[] = [
	{
		name: '503 with Retry-After starts a backoff',
		status: 503,
		headers: { 'Retry-After': '1.5' },
		events: [{ type: 'rest', forMs: 1_500 }, NO_LIMIT],
	},
	{
		name: '429 with Retry-After starts a backoff',
		status: 429,
		headers: { 'Retry-After': '2' },
		events: [{ type: 'rest', forMs: 2_000 }, NO_LIMIT],
	},
	{
		name: '503 without Retry-After starts no backoff',
		status: 503,
		headers: {},
		events: [NO_LIMIT],
	},
	{
		name: 'an unreadable Retry-After is ignored',
		status: 503,
		headers: { 'Retry-After': 'soon' },
		events: [NO_LIMIT],
	},
	{
		name: '200 with Retry-After starts no backoff',
		status: 200,
		headers: { 'Retry-After': '2' },
		events: [SERVED, NO_LIMIT],
	},
	{
		name: 'Server-Limit sets a limit',
		status: 200,
		headers: { 'Server-Limit': '0.5' },
		events: [SERVED, { type: 'limit', perSecond: 0.5, startedAt: STARTED_AT }],
	},
	{
		name: 'an unreadable Server-Limit changes nothing',
		status: 200,
		headers: { 'Server-Limit': 'many' },
		events: [SERVED],
	},
	{
		name: 'Server-Leaving together with a backoff',
		status: 503,
		headers: { 'Server-Leaving': '1', 'Retry-After': '1' },
		events: [{ type: 'rest', forMs: 1_000 }, NO_LIMIT, LEAVING],
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
		const result = await runOnBackend(SERVER, request, (status, headers) => {
			events.push(...readServerSignals(status, headers, STARTED_AT))
		})
		assert.is(result.how, 'whole')
		assert.equal(events, one.events)
	})

test('agent: signals of a server expire when it restarts, not when it exits', async () => {
	const server = await startBackend()
	const address = server.address() as AddressInfo
	let changes = 0
	const table = createRequestTable(
		'hut',
		'1',
		{} as Config,
		{ ...SERVER, backend: `127.0.0.1:${address.port}` },
		createMetrics(createWaits(() => {})),
		{
			onChange: () => {
				changes++
			},
			onConnectionBroken: () => {},
		},
	)
	for (const event of [LEAVING, { type: 'rest', forMs: 60_000 } as const])
		stepTable(table, event)
	table.backendState = 'leaving'
	table.leavingSince = performance.now()
	await checkBackend(table, () => {})
	assert.is(readServerState(table), 'leaving')
	server.closeAllConnections()
	await new Promise(resolve => server.close(resolve))
	await checkBackend(table, () => {})
	assert.is(readServerState(table), 'leaving')
	const next = await startBackend(address.port)
	await checkBackend(table, () => {})
	assert.is(readServerState(table), 'serving')
	assert.is(table.admission.backoffUntil, Number.NEGATIVE_INFINITY)
	assert.is(changes, 1)
	next.close()
})

test('agent: a backoff ends when the server restarts, without any request', async () => {
	const server = await startBackend()
	const address = server.address() as AddressInfo
	const check = () => void checkBackend(table, () => {})
	const table = createRequestTable(
		'hut',
		'1',
		{} as Config,
		{ ...SERVER, backend: `127.0.0.1:${address.port}` },
		createMetrics(createWaits(() => {})),
		{ onChange: () => {}, onConnectionBroken: check },
	)
	stepTable(table, { type: 'rest', forMs: 60_000 })
	check()
	const sockets = await new Promise<number>(resolve =>
		server.once('connection', () =>
			server.getConnections((_, n) => resolve(n)),
		),
	)
	assert.is(sockets, 1)
	server.closeAllConnections()
	server.close()
	await until(() => table.backendState === 'gone')
	const next = await startBackend(address.port)
	check()
	await until(() => table.backendState === 'up')
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
