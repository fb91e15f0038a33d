/** Test setup: entries in front of servers that crash under poison requests. */

import type { EngineProfile, TrafficConfig } from '@juniperhook/core'
import type { CrashingServers } from './crashingServers.ts'
import { startCrashingServers } from './crashingServers.ts'
import type { CallerResponse } from './fakeBackends.ts'
import { CONFIG, callGateway, createCatalog, WIRE } from './fakeBackends.ts'
import type { OpenGateway } from './openGateway.ts'
import { openGatewayAt, until } from './openGateway.ts'

const PORTS_EACH = 4
/** Distance of the ports of isolated entries from those of the others. */
const ISOLATED_PORTS = 2_000
/** Time for entries to link to each other, ms. */
const LINK_MS = 250
/** Longer than a busy machine takes to crash a server and to report that, ms. */
const TIMEOUT_MS = 6_000
const ROUTES = CONFIG.routes.map(one => ({ ...one, timeoutMs: TIMEOUT_MS }))
const LIMITS = { ...CONFIG.limits, maxBodyBytes: 2_000_000 }
let nextId = 1

/** Linked entries in front of servers that crash and restart. */
export interface World {
	readonly servers: CrashingServers
	readonly entries: OpenGateway[]
	/** First port of all entries, which differ in their IP addresses. */
	readonly port: number
	readonly config: TrafficConfig
}

/** Creates a function that opens worlds, whose entries listen from `firstPort` on. */
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
	const crashingServers = await startCrashingServers(servers)
	const entries: OpenGateway[] = []
	const services = CONFIG.services.map(one => ({ ...one, engine }))
	const config = { ...CONFIG, routes: ROUTES, services, limits: LIMITS }
	const world = { servers: crashingServers, entries, port, config }
	for (let at = 0; at < entryCount; at++) await openEntry(world)
	await pause(LINK_MS)
	return world
}

/** Opens another entry, which discovers the existing ones. */
export async function openEntry(world: World): Promise<OpenGateway> {
	const { servers, entries, port, config } = world
	const listed = servers.servers.map(one => one.listed)
	const catalog = createCatalog(config, listed)
	servers.catalogs.push(catalog)
	const seeds = [`127.0.0.1:${port + 2}`, `127.0.0.2:${port + 2}`]
	// Entries recognize each other by their common port.
	const ip = `127.0.0.${entries.length + 1}`
	const entry = await openGatewayAt(port, catalog, seeds, ip)
	entries.push(entry)
	await until(() => entry.ctx.routes !== undefined)
	return entry
}

/** Opens another entry that neither knows the others nor is known to them. */
export async function openIsolatedEntry(world: World): Promise<OpenGateway> {
	const { servers, entries, port, config } = world
	const listed = servers.servers.map(one => one.listed)
	const catalog = createCatalog(config, listed)
	servers.catalogs.push(catalog)
	const ip = `127.0.0.${entries.length + 1}`
	const entry = await openGatewayAt(port + ISOLATED_PORTS, catalog, [], ip)
	entries.push(entry)
	await until(() => entry.ctx.routes !== undefined)
	return entry
}

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
