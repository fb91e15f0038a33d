/**
 * Backend servers of a soak: plain ones, and the ranks of one lock-step group.
 * They run in the soak's own process, misbehave as they are told, and note what
 * they run.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { Random } from '@juniperhook/core'
import { incarnationId } from '@juniperhook/core'
import type { StandInGroup } from '../../packages/groups/test/standInGroup.ts'
import { addressOf } from '../../packages/groups/test/standInGroup.ts'
import { SIGNAL_HEADERS, WIRE } from '../../platform/src/index.ts'
import { PORTS, relayIp, serverIp } from './addresses.ts'
import { POISON_CRASH_DELAY_MS, POISON_PATH } from './deadly.ts'
import { handleEngineCall } from './engineCalls.ts'
import { checkRun } from './judge.ts'
import type { ReportedLimit } from './limits.ts'
import { recordArrival } from './limits.ts'
import type { Run, SoakRecord } from './types.ts'
import { count, randomBetween, sleep } from './types.ts'

/** Events of a whole stream. */
export const STREAM_EVENTS = 6
const EVENT_MS = 15
const WORK_MS = [3, 25] as const
/** Some work takes so long that a caller who leaves can be seen to free it, ms. */
const LONG_WORK_MS = 1_200
const LONG_WORK_RATIO = 0.06
/** A rank of a group that broke stands still this long, then refuses, ms. */
const STALL_MS = 300

/** How a server treats what it runs; parts of the requests, 0 to 1. */
export interface Misbehaviour {
	/** Runs it and resets the connection. */
	reset: number
	/** Runs it and never answers. */
	hang: number
	/** Answers half. */
	cut: number
	/** Runs it and answers 500. */
	fail: number
	/** Sends a second answer after the first. */
	extra: number
	/** Takes so many times longer. */
	slow: number
}

/** A server that does as it should. */
export function noMisbehaviour(): Misbehaviour {
	return { reset: 0, hang: 0, cut: 0, fail: 0, extra: 0, slow: 1 }
}

/** One place where a backend server runs. */
export interface BackendServer {
	readonly index: number
	readonly service: string
	/** Its rank; undefined for a plain server. */
	readonly rank: number | undefined
	/** As it is listed. */
	readonly address: string
	server: Server | undefined
	/** What it is listed under and answers to; every second restart keeps it. */
	name: string
	/** Start of the present incarnation, Unix ms. */
	bornAt: number
	/** Of the present incarnation. */
	id: string
	/** Whether it has said that it leaves. */
	leaving: boolean
	misbehaviour: Misbehaviour
	/** What it names in its answers for now. */
	limit: ReportedLimit | undefined
	/** Whether it turns requests away and asks for rest. */
	requestsBackoff: boolean
}

/** All backend servers. */
export interface Servers {
	readonly all: BackendServer[]
	readonly group: StandInGroup
	readonly record: SoakRecord
	readonly random: Random
	readonly net: number
	/** Part of the group's ranks that run; it serves while all do. */
	groupOpen: boolean
	/** What a server does that has run a deadly request. */
	onPoisonRequest: (backend: BackendServer) => void
	/** Turns a request away if the server is to; true when it has. */
	refuseWithBackoff: (
		backend: BackendServer,
		req: IncomingMessage,
		res: ServerResponse,
	) => boolean
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

/** Ends a server at once; its connections are reset. */
export function crashServer(backend: BackendServer): void {
	backend.server?.closeAllConnections()
	backend.server?.close()
	backend.server = undefined
}

/** The address that a server is listed under. */
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
	const expected = req.headers[WIRE.expectServer]
	if (expected !== undefined && expected !== name) {
		res.writeHead(421, { [WIRE.notRun]: '1', [WIRE.atFault]: name }).end()
		return
	}
	if (backend.rank !== undefined && !servers.groupOpen) {
		await sleep(STALL_MS)
		res.writeHead(503, { [WIRE.notRun]: '1', [WIRE.atFault]: name }).end()
		return
	}
	if (servers.refuseWithBackoff(backend, req, res)) return
	const run = checkRun(servers.record, id, req, body)
	res.on('close', () => {
		run.endedAt ??= performance.now()
	})
	if (req.url === POISON_PATH) {
		await sleep(POISON_CRASH_DELAY_MS)
		servers.onPoisonRequest(backend)
		return
	}
	if (backend.rank === undefined) await serveWhole(servers, backend, run, res)
	else await serveStream(servers, backend, run, req, res)
}

/** What a whole answer to a request is. */
export function bodyOf(id: string): string {
	return `the whole answer to ${id} `.repeat(8)
}

async function serveWhole(
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
	const dice = random()
	const { reset, hang, cut, fail, extra } = misbehaviour
	if (dice < reset) {
		count(record, 'answers lost by a reset')
		res.socket?.resetAndDestroy()
	} else if (dice < reset + hang) {
		count(record, 'answers never sent')
	} else if (dice < reset + hang + cut) {
		count(record, 'answers cut')
		res.writeHead(200, { ...head, 'Content-Length': text.length })
		res.write(text.slice(0, 40))
		setTimeout(() => res.socket?.destroy(), 5)
	} else if (dice < reset + hang + cut + fail) {
		count(record, 'answers of 500')
		res.writeHead(500, head).end('failed')
	} else {
		res.writeHead(200, head).end(text)
		if (dice > 1 - extra) sendExtra(record, res)
	}
}

/** Bytes of another answer where the next one is expected. */
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
	const breaksAt =
		servers.random() < misbehaviour.cut
			? from + Math.floor(servers.random() * 4)
			: 0
	await sleep(EVENT_MS * misbehaviour.slow)
	res.writeHead(200, {
		[WIRE.requestId]: run.id,
		[WIRE.seal]: `seal-${run.serverId}`,
		'Content-Type': 'text/event-stream',
	})
	for (let event = from; event <= STREAM_EVENTS; event++) {
		if (res.destroyed) return
		if (event === breaksAt || !servers.groupOpen) {
			count(servers.record, 'streams broken off')
			res.write(`id: ${event}\ndata: ${run.id} ev`)
			setTimeout(() => res.socket?.destroy(), 3)
			return
		}
		res.write(`id: ${event}\ndata: ${run.id} event ${event}\n\n`)
		await sleep(EVENT_MS * misbehaviour.slow)
	}
	run.endedAt ??= performance.now()
	res.end()
}

function readBody(req: IncomingMessage): Promise<string> {
	return new Promise(resolve => {
		let text = ''
		req.setEncoding('utf8')
		req.on('data', part => {
			text += part
		})
		req.on('end', () => resolve(text))
		req.on('error', () => resolve(text))
	})
}
