/** Entries before servers that end under some requests, for tests. */

import type { EngineProfile, TrafficConfig } from '@juniperhook/core'
import type { CrashingServers } from './crashingServers.ts'
import { startCrashingServers } from './crashingServers.ts'
import type { CallerResponse } from './fakeBackends.ts'
import { CONFIG, callGateway, createCatalog, WIRE } from './fakeBackends.ts'
import type { OpenGateway } from './openGateway.ts'
import { openGatewayAt, until } from './openGateway.ts'

const PORTS_EACH = 4
/** For entries to find each other, ms. */
const PAUSE_MS = 250
/** Longer than a busy machine takes to end a server and to tell of it, ms. */
const TIMEOUT_MS = 6_000
const ROUTES = CONFIG.routes.map(one => ({ ...one, timeoutMs: TIMEOUT_MS }))
const LIMITS = { ...CONFIG.limits, maxBodyBytes: 2_000_000 }
let nextId = 1

/** Entries that know each other, before servers that end and come back. */
export interface World {
	readonly servers: CrashingServers
	readonly entries: OpenGateway[]
	/** First port of all entries; each has an address of its own. */
	readonly port: number
	readonly config: TrafficConfig
}

/** Opens worlds whose entries listen from `firstPort` on. */
export function createWorlds(firstPort: number) {
	let nextPort = firstPort
	return async (
		entryCount: number,
		servers = 6,
		engine?: EngineProfile,
	): Promise<World> => {
		const port = nextPort
		nextPort += PORTS_EACH
		return await openWorldAt(port, entryCount, servers, engine)
	}
}

async function openWorldAt(
	port: number,
	entryCount: number,
	servers: number,
	engine: EngineProfile | undefined,
): Promise<World> {
	const mortals = await startCrashingServers(servers)
	const entries: OpenGateway[] = []
	const services = CONFIG.services.map(one => ({ ...one, engine }))
	const config = { ...CONFIG, routes: ROUTES, services, limits: LIMITS }
	const world = { servers: mortals, entries, port, config }
	for (let at = 0; at < entryCount; at++) await openEntry(world)
	await pause(PAUSE_MS)
	return world
}

/** Opens one more entry, which finds the others. */
export async function openEntry(world: World): Promise<OpenGateway> {
	const { servers, entries, port, config } = world
	const listed = servers.servers.map(one => one.listed)
	const catalog = createCatalog(config, listed)
	servers.catalogs.push(catalog)
	const seeds = [`127.0.0.1:${port + 2}`, `127.0.0.2:${port + 2}`]
	// Entries find each other by the port that they share.
	const ip = `127.0.0.${entries.length + 1}`
	const entry = await openGatewayAt(port, catalog, seeds, ip)
	entries.push(entry)
	await until(() => entry.ctx.routes !== undefined)
	return entry
}

/** Waits. */
export function pause(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}

/** Posts a body to an entry. */
export function send(
	entry: OpenGateway,
	path: string,
	body: string,
	headers = {},
): Promise<CallerResponse> {
	const id = `d${nextId++}`
	return callGateway(
		entry.callers,
		path,
		{ [WIRE.requestId]: id, ...headers },
		'POST',
		body,
	)
}
