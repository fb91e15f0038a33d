/** Servers that end under some requests and start again as others. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { ListedServer } from '@juniperhook/core'
import type { FakeCatalog } from './fakeBackends.ts'
import { nextRevision, WIRE } from './fakeBackends.ts'

/** A body with this in it ends the server that begins to run it. */
export const POISON = 'deadly'
/** A body with this in it is run until its server ends or `release` is called. */
export const SLOW = 'slow'
/** From the beginning of a deadly run to the end of its server, ms. */
const ENDS_AFTER_MS = 20
/** Until a server that has ended is there again, ms. */
const BACK_AFTER_MS = 150

/** A run of a request. */
export interface ServerRun {
	readonly body: string
	readonly server: string
	readonly at: number
}

/** Servers that run, end and come back. */
export interface CrashingServers {
	/** What is told of changes. */
	readonly catalogs: FakeCatalog[]
	readonly runs: ServerRun[]
	/** When servers ended, ms. */
	readonly crashes: { readonly server: string; readonly at: number }[]
	readonly servers: CrashingServer[]
	/** Lets all slow requests end well. */
	release(): void
	close(): void
}

/** One server, in whichever life. */
interface CrashingServer {
	readonly port: number
	life: number
	server: Server
	listed: ListedServer
	readonly sockets: Set<Socket>
	readonly slow: Set<() => void>
}

/** Starts `count` servers of the service `plain`. */
export async function startCrashingServers(
	count: number,
	service = 'plain',
): Promise<CrashingServers> {
	const all: CrashingServers = {
		catalogs: [],
		runs: [],
		crashes: [],
		servers: [],
		release: () => {
			for (const { slow } of all.servers) for (const finish of slow) finish()
		},
		close: () => {
			for (const one of all.servers) stop(one)
		},
	}
	for (let at = 0; at < count; at++)
		all.servers.push(await startMortal(all, at, service))
	return all
}

async function startMortal(
	all: CrashingServers,
	at: number,
	service: string,
): Promise<CrashingServer> {
	const server = createServer()
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
	const { port } = server.address() as AddressInfo
	const listed: ListedServer = {
		id: `m${at}`,
		name: `m${at}`,
		service,
		address: `127.0.0.1:${port}`,
		dataCentre: 'north',
		slots: 8,
		leaving: false,
		coldMs: 0,
	}
	const mortal: CrashingServer = {
		port,
		life: 0,
		server,
		listed,
		sockets: new Set(),
		slow: new Set(),
	}
	serve(all, mortal)
	return mortal
}

function serve(all: CrashingServers, mortal: CrashingServer): void {
	mortal.server.on('connection', socket => {
		mortal.sockets.add(socket)
		socket.on('close', () => mortal.sockets.delete(socket))
	})
	mortal.server.on('request', (req, res) => void run(all, mortal, req, res))
}

async function run(
	all: CrashingServers,
	mortal: CrashingServer,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	const { name } = mortal.listed
	const id = String(req.headers[WIRE.requestId])
	if (req.headers[WIRE.expectServer] !== name) {
		res.writeHead(421).end()
		return
	}
	let body = ''
	for await (const part of req) body += part
	all.runs.push({ body, server: name, at: performance.now() })
	const isStream = req.url?.startsWith('/s/') ?? false
	const type = isStream ? { 'content-type': 'text/event-stream' } : {}
	const head = { [WIRE.requestId]: id, [WIRE.seal]: 'sealed', ...type }
	const last = Number(req.headers[WIRE.lastEventId] ?? 0)
	const event = (after: number) => `id: ${last + after}\ndata: text\n\n`
	const answer = isStream ? event(2) : `answer to ${id}`
	if (isStream) res.writeHead(200, head).write(event(1))
	if (body.includes(POISON)) {
		setTimeout(() => crash(all, mortal, name), ENDS_AFTER_MS)
		return
	}
	const finish = () => {
		mortal.slow.delete(finish)
		if (!res.headersSent) res.writeHead(200, head)
		res.end(answer)
	}
	if (body.includes(SLOW)) mortal.slow.add(finish)
	else finish()
}

/** Ends a server as a crash does, if it still is in that life. */
export function crash(
	all: CrashingServers,
	mortal: CrashingServer,
	name: string,
): void {
	if (mortal.listed.name !== name || !mortal.server.listening) return
	all.crashes.push({ server: name, at: performance.now() })
	stop(mortal)
	setTimeout(() => comeBack(all, mortal), BACK_AFTER_MS)
}

function stop(mortal: CrashingServer): void {
	mortal.server.close()
	for (const socket of mortal.sockets) socket.resetAndDestroy()
	mortal.slow.clear()
}

function comeBack(all: CrashingServers, mortal: CrashingServer): void {
	const before = mortal.listed.name
	mortal.life++
	const name = `${before.split('-')[0]}-${mortal.life}`
	mortal.listed = { ...mortal.listed, id: name, name }
	mortal.server = createServer()
	serve(all, mortal)
	mortal.server.listen(mortal.port, '127.0.0.1')
	for (const catalog of all.catalogs) {
		const revision = nextRevision(catalog)
		catalog.publish({
			servers: [
				{ name: before, revision, server: undefined },
				{ name, revision, server: mortal.listed },
			],
		})
	}
}
