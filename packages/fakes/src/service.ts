/** Stand-in for a plain service: rosters, bookings, tiles. Counts its runs. */

import { appendFileSync } from 'node:fs'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { readBody } from '@juniperhook/runtime'

const MAX_BYTES = 10_485_760

/** How the stand-in is to behave. */
export interface ServiceOptions {
	/** Time to answer, ms. */
	readonly delayMs: number
	/** Each run of a booking is a line here, so that a kill forgets none. */
	readonly runsPath: string
}

/** What a plain service has seen. */
export interface ServiceFake {
	readonly options: ServiceOptions
	requests: number
}

/** Makes a service that has run nothing. */
export function createService(options: ServiceOptions): ServiceFake {
	return { options, requests: 0 }
}

/**
 * Serves it over HTTP. `POST /bookings/REF` notes a run of REF;
 * `/rosters/…` answers a list; `/echo` sends everything back;
 * `/tiles/N` sends N bytes; `/admin/requests` counts all requests.
 */
export function serveService(
	fake: ServiceFake,
	ip: string,
	port: number,
): Promise<Server> {
	const server = createServer(async (req, res) => {
		const url = new URL(req.url ?? '/', 'http://service')
		if (url.pathname === '/admin/requests') {
			res.end(String(fake.requests))
			return
		}
		fake.requests++
		const body = (await readBody(req, MAX_BYTES)) ?? Buffer.alloc(0)
		const [, kind, name = ''] = url.pathname.split('/')
		if (kind === 'bookings' && req.method === 'POST')
			appendFileSync(fake.options.runsPath, `${name}\n`)
		const delay = Number(url.searchParams.get('delay') ?? fake.options.delayMs)
		await new Promise(resolve => setTimeout(resolve, delay))
		answer(res, kind ?? '', name, req.method ?? '', body)
	})
	server.keepAliveTimeout = 60_000
	return new Promise(resolve => {
		server.listen(port, ip, () => resolve(server))
	})
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
		default:
			res.writeHead(404).end('no such path')
	}
}
