/** Fake of a plain service with rosters, bookings and tiles; records runs of bookings. */

import { appendFileSync } from 'node:fs'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { CHUNKS_END, chunkBody } from './crowds.ts'
import { readBody } from './readBody.ts'

/** Time from the start of a poison request to the crash of the server. */
const CRASH_DELAY_MS = 20
const MAX_BYTES = 10_485_760

/** Behaviour of a fake service. */
export interface ServiceOptions {
	/** Time until an answer, ms. */
	readonly delayMs: number
	/** File with one line per run of a booking; it survives a kill of the process. */
	readonly runsPath: string
}

/** State of a fake service. */
export interface FakeService {
	readonly options: ServiceOptions
	requests: number
	/** Signals in its answers. */
	signals: ServiceSignals
}

/** Signals in a service's answers; undefined for none. */
export interface ServiceSignals {
	/** The service refuses all requests with this `Retry-After`, seconds. */
	readonly retryAfterSeconds: string | undefined
	/** Limit in `Server-Limit`, requests per second. */
	readonly limit: string | undefined
	readonly leaving: boolean
}

const NO_SIGNALS: ServiceSignals = {
	retryAfterSeconds: undefined,
	limit: undefined,
	leaving: false,
}

/** Creates a service that has run nothing. */
export function createFakeService(options: ServiceOptions): FakeService {
	return { options, requests: 0, signals: NO_SIGNALS }
}

/**
 * Serves the fake over HTTP. `POST /bookings/REF` records a run of REF; `/rosters/…`
 * returns a list; `/echo` returns the body; `/tiles/N` returns N bytes, `/bytes/N` in
 * chunks of one; `/deadly/…`
 * crashes the process; `/admin/requests` returns the number of requests;
 * `/admin/says?rest=S&limit=N&leaves=1` sets the signals of later answers.
 */
export function serveService(
	fake: FakeService,
	ip: string,
	port: number,
): Promise<Server> {
	const server = createServer(async (req, res) => {
		const url = new URL(req.url ?? '/', 'http://service')
		if (url.pathname === '/admin/requests') {
			res.end(String(fake.requests))
			return
		}
		if (url.pathname === '/admin/says') {
			fake.signals = readSignals(url.searchParams)
			res.end()
			return
		}
		fake.requests++
		// A poison request: the process crashes shortly after it started.
		if (url.pathname.startsWith('/deadly/'))
			setTimeout(() => process.exit(1), CRASH_DELAY_MS)
		const body = (await readBody(req, MAX_BYTES)) ?? Buffer.alloc(0)
		const [, kind, name = ''] = url.pathname.split('/')
		if (kind === 'bookings' && req.method === 'POST')
			appendFileSync(fake.options.runsPath, `${name}\n`)
		const delay = Number(url.searchParams.get('delay') ?? fake.options.delayMs)
		await new Promise(resolve => setTimeout(resolve, delay))
		if (addSignals(res, fake.signals)) return
		answer(res, kind ?? '', name, req.method ?? '', body)
	})
	server.keepAliveTimeout = 60_000
	return new Promise(resolve => {
		server.listen(port, ip, () => resolve(server))
	})
}

function readSignals(query: URLSearchParams): ServiceSignals {
	return {
		retryAfterSeconds: query.get('rest') ?? undefined,
		limit: query.get('limit') ?? undefined,
		leaving: query.has('leaves'),
	}
}

/** Adds the signals to an answer; returns true if the request was refused. */
function addSignals(
	res: ServerResponse,
	{ retryAfterSeconds, limit, leaving }: ServiceSignals,
): boolean {
	if (limit !== undefined) res.setHeader('server-limit', limit)
	if (leaving) res.setHeader('server-leaving', '1')
	if (retryAfterSeconds === undefined) return false
	res.writeHead(503, { 'retry-after': retryAfterSeconds }).end()
	return true
}

function answer(
	res: ServerResponse,
	kind: string,
	name: string,
	method: string,
	body: Buffer,
): void {
	switch (kind) {
		case 'bookings':
			res.setHeader('content-type', 'application/json')
			res.end(JSON.stringify({ booking: name, bunk: 1, method }))
			return
		case 'rosters':
			res.setHeader('content-type', 'application/json')
			res.end(JSON.stringify({ hut: name, due: ['A', 'B', 'C'] }))
			return
		case 'tiles':
			res.setHeader('content-type', 'application/octet-stream')
			res.end(Buffer.alloc(Number(name), 7))
			return
		case 'echo':
			res.end(body)
			return
		case 'bytes':
			answerInBytes(res, Number(name))
			return
		default:
			res.writeHead(404).end('path not found')
	}
}

/** Sends a body in chunks of one byte. */
function answerInBytes(res: ServerResponse, count: number): void {
	const { socket } = res
	if (!socket) return
	res.detachSocket(socket)
	const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
	const body = chunkBody(count, 1) + CHUNKS_END
	socket.end(`${head}Connection: close\r\n\r\n${body}`)
}
