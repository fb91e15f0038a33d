/** Stand-in for a plain service: rosters, bookings, tiles. Counts its runs. */

import { createServer, type Server, type ServerResponse } from 'node:http'
import { readBody } from '@juniperhook/runtime'

const MAX_BYTES = 10_485_760

/** How the stand-in is to behave. */
export interface ServiceOptions {
	/** Time to answer, ms. */
	readonly delayMs: number
}

/** What a plain service has seen. */
export interface ServiceFake {
	readonly options: ServiceOptions
	/** Runs by booking reference. */
	readonly runs: Map<string, number>
	running: number
	requests: number
}

/** Makes a service that has run nothing. */
export function createService(options: ServiceOptions): ServiceFake {
	return { options, runs: new Map(), running: 0, requests: 0 }
}

/**
 * Serves it over HTTP. `POST /bookings/REF` counts a run of REF;
 * `/rosters/…` answers a list; `/echo` sends everything back;
 * `/tiles/N` sends N bytes; `/admin/runs` tells the counts.
 */
export function serveService(
	fake: ServiceFake,
	ip: string,
	port: number,
): Promise<Server> {
	const server = createServer(async (req, res) => {
		const url = new URL(req.url ?? '/', 'http://service')
		if (url.pathname === '/admin/runs') {
			res.end(JSON.stringify(Object.fromEntries(fake.runs)))
			return
		}
		fake.requests++
		fake.running++
		const body = (await readBody(req, MAX_BYTES)) ?? Buffer.alloc(0)
		const [, kind, name = ''] = url.pathname.split('/')
		if (kind === 'bookings' && req.method === 'POST')
			fake.runs.set(name, (fake.runs.get(name) ?? 0) + 1)
		const delay = Number(url.searchParams.get('delay') ?? fake.options.delayMs)
		await new Promise(resolve => setTimeout(resolve, delay))
		fake.running--
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
