/** Entries before servers that take only so many requests a second, for tests. */

import type { Server } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ListedServer } from '@juniperhook/core'
import type { OpenGateway } from './openGateway.ts'
import { openGatewayAt, until } from './openGateway.ts'
import type { Got } from './standIns.ts'
import { CONFIG, callGateway, createCatalog, WIRE } from './standIns.ts'

/** Spans over which requests are counted, and what is allowed beside the limit, ms. */
export const SPAN_MS = 4_000
const SPAN_SECONDS = SPAN_MS / 1_000
const TIMES = 1.5
const BESIDES = 5
/** How long a server takes for a request, ms. */
const WORK_MS = 10
const SLOTS = 64
const PORTS_EACH = 4

/** A server and what came to it. */
export interface LimitedServer {
	readonly listed: ListedServer
	readonly server: Server
	/** Requests a second that its answers name; undefined for none. */
	perSecond: number | undefined
	/** Whether it refuses everything. */
	refuses: boolean
	/** When requests came, ms. */
	readonly arrivals: number[]
}

/** Entries that know each other, before such servers. */
export interface LimitedWorld {
	readonly servers: LimitedServer[]
	readonly entries: OpenGateway[]
	/** First port of all entries; each has an address of its own. */
	readonly port: number
}

/** Opens worlds whose entries listen from `firstPort` on. */
export function createLimitedWorlds(firstPort: number) {
	let nextPort = firstPort
	return async (
		entryCount: number,
		serverCount: number,
	): Promise<LimitedWorld> => {
		const servers: LimitedServer[] = []
		for (let at = 0; at < serverCount; at++)
			servers.push(await startServer(`limited-${at}`))
		const world = { servers, entries: [], port: nextPort }
		nextPort += PORTS_EACH
		for (let at = 0; at < entryCount; at++) await openEntry(world)
		await pause(500)
		return world
	}
}

/** Opens one more entry, which finds the others. */
export async function openEntry(world: LimitedWorld): Promise<OpenGateway> {
	const { servers, entries, port } = world
	const listed = servers.map(one => one.listed)
	const seeds = [1, 2, 3].map(at => `127.0.0.${at}:${port + 2}`)
	const ip = `127.0.0.${entries.length + 1}`
	const catalog = createCatalog(CONFIG, listed)
	const entry = await openGatewayAt(port, catalog, seeds, ip)
	entries.push(entry)
	await until(() => entry.ctx.routes !== undefined)
	return entry
}

async function startServer(name: string): Promise<LimitedServer> {
	const server = createServer()
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
	const { port } = server.address() as AddressInfo
	const limited: LimitedServer = {
		listed: {
			id: name,
			name,
			service: 'plain',
			address: `127.0.0.1:${port}`,
			dataCentre: 'north',
			slots: SLOTS,
			leaving: false,
			coldMs: 0,
		},
		server,
		perSecond: undefined,
		refuses: false,
		arrivals: [],
	}
	server.on('request', (req, res) => {
		limited.arrivals.push(performance.now())
		const { perSecond, refuses } = limited
		const headers: Record<string, string> = {
			[WIRE.requestId]: String(req.headers[WIRE.requestId]),
			[refuses ? WIRE.notRun : WIRE.seal]: '1',
		}
		if (perSecond !== undefined) headers[WIRE.rateLimit] = String(perSecond)
		req.resume()
		setTimeout(
			() => res.writeHead(refuses ? 503 : 200, headers).end('done'),
			WORK_MS,
		)
	})
	return limited
}

/** Ends a world's servers. */
export function closeWorld({ servers }: LimitedWorld): void {
	for (const { server } of servers) {
		server.close()
		server.closeAllConnections()
	}
}

/** Most requests in any span from `from` to `to`, ms. */
export function mostInSpan(
	{ arrivals }: LimitedServer,
	from: number,
	to = Number.POSITIVE_INFINITY,
): number {
	const judged = arrivals.filter(at => at >= from && at < to)
	const counts = judged.map(
		first => judged.filter(at => at >= first && at < first + SPAN_MS).length,
	)
	return Math.max(0, ...counts)
}

/** Requests that a server with a limit may get in a span. */
export function allowedInSpan(perSecond: number): number {
	return TIMES * SPAN_SECONDS * perSecond + BESIDES
}

/** How a request ended, and after how long, ms. */
export interface Asked {
	readonly got: Got
	readonly tookMs: number
}

/** What callers ask. */
export interface Demand {
	readonly perSecond: number
	readonly forMs: number
	readonly path?: string
	/** Which entry is asked, of those that are open. */
	pick?(at: number, entries: number): number
}

let nextId = 1

/** Asks at an even pace; resolves when all are answered. */
export async function askSteadily(
	{ entries }: LimitedWorld,
	{ perSecond, forMs, path = '/r/x', pick = (at, all) => at % all }: Demand,
): Promise<Asked[]> {
	const asked: Promise<Asked>[] = []
	const count = Math.round((perSecond * forMs) / 1_000)
	const begunAt = performance.now()
	for (let at = 0; at < count; at++) {
		const dueAt = begunAt + (at * 1_000) / perSecond
		await pause(dueAt - performance.now())
		const entry = entries[pick(at, entries.length)]!
		asked.push(ask(entry, path))
	}
	return await Promise.all(asked)
}

async function ask({ callers }: OpenGateway, path: string): Promise<Asked> {
	const begunAt = performance.now()
	const id = `l${nextId++}`
	const got = await callGateway(callers, path, { [WIRE.requestId]: id })
	return { got, tookMs: performance.now() - begunAt }
}

/** Waits. */
export function pause(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)))
}
