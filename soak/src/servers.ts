/**
 * Backend servers of a soak: plain ones, and the ranks of one lock-step group. They run
 * in the soak's own process, misbehave as configured, and record what they run.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { Random } from '@juniperhook/core'
import { incarnationId } from '@juniperhook/core'
import type { FakeGroup } from '../../packages/groups/test/fakeGroup.ts'
import { addressOf } from '../../packages/groups/test/fakeGroup.ts'
import { SIGNAL_HEADERS, WIRE } from '../../platform/src/index.ts'
import { PORTS, relayIp, serverIp } from './addresses.ts'
import { checkRun } from './checks.ts'
import { handleEngineCall } from './engineApi.ts'
import { hasPoisonPart } from './poisonParts.ts'
import { POISON_CRASH_DELAY_MS, POISON_PATH } from './poisonRequest.ts'
import type { ReportedLimit } from './rateLimits.ts'
import { recordArrival } from './rateLimits.ts'
import type { Run, SoakRecord } from './types.ts'
import { count, randomBetween, sleep } from './types.ts'

/** Number of events of a complete stream. */
export const STREAM_EVENTS = 6
const EVENT_MS = 15
/** Streams that outlast the time in which callers learn of a stop, by a mark in the path. */
export const LONG_STREAM = { mark: 'long-', events: 45, eventMs: 70 }
const WORK_MS = [3, 25] as const
/**
 * Duration of a small ratio of runs, ms: long enough to detect whether a server is
 * freed when the caller abandons its request.
 */
const LONG_WORK_MS = 1_200
const LONG_WORK_RATIO = 0.06
/** Time that a rank of a broken group takes to refuse a request, ms. */
const STALL_MS = 300

/** Misbehaviour of a server; all but `slow` are ratios of its requests, 0 to 1. */
export interface Misbehaviour {
	/** Runs the request and resets the connection. */
	reset: number
	/** Runs the request and never answers. */
	hang: number
	/** Closes the connection in the middle of the answer. */
	cut: number
	/** Runs the request and answers 500. */
	fail: number
	/** Sends a second, unrequested answer after the first. */
	extra: number
	/** Factor by which all work takes longer; 1 is normal. */
	slow: number
}

/** Returns the behaviour of a correct server. */
export function noMisbehaviour(): Misbehaviour {
	return { reset: 0, hang: 0, cut: 0, fail: 0, extra: 0, slow: 1 }
}

/** A backend server at one address, over all its incarnations. */
export interface BackendServer {
	readonly index: number
	readonly service: string
	/** Rank in the group; undefined for a plain server. */
	readonly rank: number | undefined
	/** Address in the server's record. */
	readonly address: string
	server: Server | undefined
	/** Name of its record, which requests may expect; every second restart keeps it. */
	name: string
	/** Start of the present incarnation, Unix ms. */
	bornAt: number
	/** Id of the present incarnation. */
	id: string
	/** Whether it has announced that it is leaving. */
	leaving: boolean
	misbehaviour: Misbehaviour
	/** Rate limit that its answers report at present. */
	limit: ReportedLimit | undefined
	/** Whether it refuses requests and asks for a backoff. */
	requestsBackoff: boolean
}

/** All backend servers. */
export interface Servers {
	readonly all: BackendServer[]
	readonly group: FakeGroup
	readonly record: SoakRecord
	readonly random: Random
	readonly net: number
	/** Whether the group serves, which requires that all its ranks run. */
	groupOpen: boolean
	/** Called when a server has run a poison request. */
	onPoisonRequest: (backend: BackendServer) => void
	/** Refuses a request if the server requests a backoff; returns whether it did. */
	refuseWithBackoff: (
		backend: BackendServer,
		req: IncomingMessage,
		res: ServerResponse,
	) => boolean
	/** Forges the answer to a run; returns whether it did. */
	forge: (backend: BackendServer, run: Run, res: ServerResponse) => boolean
	/** Called for each request that a server does not decline as meant for another. */
	onArrival: (backend: BackendServer, req: IncomingMessage) => void
	/** Number of incarnations started so far. */
	incarnations: number
}

/** Starts a server's next incarnation. */
export async function startServer(
	servers: Servers,
	backend: BackendServer,
): Promise<void> {
	const number = ++servers.incarnations
	const keepsName = backend.name !== '' && number % 2 === 0
	if (!keepsName) backend.name = `i-${backend.index}-${number}`
	backend.bornAt = Date.now()
	backend.id = incarnationId(backend.name, backend.bornAt)
	backend.leaving = false
	const { id, name } = backend
	const server = createServer((req, res) => {
		handleRequest(servers, backend, { id, name }, req, res).catch(err => {
			servers.record.violations.push(`SOAK: ${String(err?.stack ?? err)}`)
		})
	})
	server.keepAliveTimeout = 4_000
	backend.server = server
	const ip = serverIp(servers.net, backend.index)
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject)
		server.listen(PORTS.engine, ip, resolve)
	})
}

/** Stops a server at once and closes its connections. */
export function crashServer(backend: BackendServer): void {
	backend.server?.closeAllConnections()
	backend.server?.close()
	backend.server = undefined
}

/** Returns the address for a server's record: that of its relay. */
export function listedAddress(net: number, index: number): string {
	return `${relayIp(net, index)}:${PORTS.engine}`
}

async function handleRequest(
	servers: Servers,
	backend: BackendServer,
	{ id, name }: Pick<BackendServer, 'id' | 'name'>,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	const body = await readBody(req)
	const isControl = req.url?.startsWith('/v1/') && !req.headers[WIRE.requestId]
	if (isControl && backend.rank !== undefined) {
		const engine = addressOf(backend.rank)
		await handleEngineCall(servers.group, engine, req, body, res)
		return
	}
	for (const [name, value] of Object.entries(recordArrival(backend, req)))
		res.setHeader(name, value)
	if (backend.leaving) res.setHeader(SIGNAL_HEADERS.leaving, '1')
	res.setHeader(WIRE.requestId, String(req.headers[WIRE.requestId]))
	const expected = req.headers[WIRE.expectServer]
	if (expected !== undefined && expected !== name) {
		res.writeHead(421, { [WIRE.notRun]: '1', [WIRE.atFault]: name }).end()
		return
	}
	servers.onArrival(backend, req)
	if (backend.rank !== undefined && !servers.groupOpen) {
		await sleep(STALL_MS)
		res.writeHead(503, { [WIRE.notRun]: '1', [WIRE.atFault]: name }).end()
		return
	}
	if (servers.refuseWithBackoff(backend, req, res)) return
	const run = checkRun(servers.record, id, req, body)
	res.on('close', () => {
		run.endedAt ??= performance.now()
		if (!backend.server) servers.record.brokenOff.add(run.id)
	})
	if (servers.forge(backend, run, res)) return
	const { parts = [] } = servers.record.requests.get(run.id) ?? {}
	if (req.url === POISON_PATH || hasPoisonPart({ parts })) {
		await sleep(POISON_CRASH_DELAY_MS)
		servers.onPoisonRequest(backend)
		return
	}
	if (backend.rank === undefined) await serveAnswer(servers, backend, run, res)
	else await serveStream(servers, backend, run, req, res)
}

/** Returns the body of a complete answer to a request. */
export function bodyOf(id: string): string {
	return `the whole answer to ${id} `.repeat(8)
}

/** Returns the number of events of a stream, and the time between two, ms. */
export function shapeOf(id: string): { events: number; eventMs: number } {
	return id.includes(LONG_STREAM.mark)
		? LONG_STREAM
		: { events: STREAM_EVENTS, eventMs: EVENT_MS }
}

async function serveAnswer(
	servers: Servers,
	{ misbehaviour }: BackendServer,
	run: Run,
	res: ServerResponse,
): Promise<void> {
	const { random, record } = servers
	const usual = randomBetween(random, ...WORK_MS) * misbehaviour.slow
	await sleep(random() < LONG_WORK_RATIO ? LONG_WORK_MS : usual)
	run.endedAt ??= performance.now()
	const head = { [WIRE.requestId]: run.id, [WIRE.seal]: `seal-${run.serverId}` }
	const text = bodyOf(run.id)
	const draw = random()
	const { reset, hang, cut, fail, extra } = misbehaviour
	if (draw < reset) {
		count(record, 'answers lost by a reset')
		record.brokenOff.add(run.id)
		res.socket?.resetAndDestroy()
	} else if (draw < reset + hang) {
		count(record, 'answers never sent')
	} else if (draw < reset + hang + cut) {
		count(record, 'answers cut')
		record.brokenOff.add(run.id)
		res.writeHead(200, { ...head, 'Content-Length': text.length })
		res.write(text.slice(0, 40))
		setTimeout(() => res.socket?.destroy(), 5)
	} else if (draw < reset + hang + cut + fail) {
		count(record, 'answers of 500')
		res.writeHead(500, head).end('failed')
	} else {
		res.writeHead(200, head).end(text)
		if (draw > 1 - extra) sendExtra(record, res)
	}
}

/**
 * Sends an unrequested answer in place of the one to the connection's next request.
 */
function sendExtra(record: SoakRecord, res: ServerResponse): void {
	count(record, 'answers sent twice')
	res.socket?.write(
		`HTTP/1.1 200 OK\r\n${WIRE.requestId}: other\r\n${WIRE.seal}: seal\r\nContent-Length: 5\r\n\r\nother`,
	)
}

async function serveStream(
	servers: Servers,
	backend: BackendServer,
	run: Run,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	const { misbehaviour } = backend
	const from = Number(req.headers[WIRE.lastEventId] ?? 0) + 1
	const cutAt =
		servers.random() < misbehaviour.cut
			? from + Math.floor(servers.random() * 4)
			: 0
	const shape = shapeOf(run.id)
	const eventMs = shape.eventMs * misbehaviour.slow
	await sleep(eventMs)
	res.writeHead(200, {
		[WIRE.requestId]: run.id,
		[WIRE.seal]: `seal-${run.serverId}`,
		'Content-Type': 'text/event-stream',
	})
	for (let event = from; event <= shape.events; event++) {
		if (res.destroyed) return
		if (event === cutAt || !servers.groupOpen) {
			count(servers.record, 'streams cut')
			servers.record.brokenOff.add(run.id)
			res.write(`id: ${event}\ndata: ${run.id} ev`)
			setTimeout(() => res.socket?.destroy(), 3)
			return
		}
		res.write(`id: ${event}\ndata: ${run.id} event ${event}\n\n`)
		await sleep(eventMs)
	}
	run.endedAt ??= performance.now()
	res.end()
}

function readBody(req: IncomingMessage): Promise<string> {
	return new Promise(resolve => {
		let text = ''
		req.setEncoding('utf8')
		req.on('data', chunk => {
			text += chunk
		})
		req.on('end', () => resolve(text))
		req.on('error', () => resolve(text))
	})
}
