/** Connection pool for backend servers. */

import { Agent } from 'node:http'
import type { TrafficService } from '@juniperhook/core'
import { createKeepAliveAgent } from '@juniperhook/runtime'

/** Maximum number of idle connections to one server. */
const MAX_IDLE_CONNECTIONS = 12
/**
 * Share of a server's connections that all entries together may keep idle. A server
 * resets connections beyond its maximum.
 */
const IDLE_SHARE = 0.5
/** Idle timeout of connections, ms; shorter than that of servers. */
const IDLE_TIMEOUT_MS = 8_000

/** HTTP agents for calls to all servers. */
export interface ServerPool {
	/** Reuses connections; a server may close one while a request is being sent on it. */
	readonly keepAlive: Agent
	/**
	 * Opens a connection for each request, so that no bytes of another request are on it.
	 * Used for requests that must not run twice.
	 */
	readonly oneShot: Agent
}

/** Creates a pool without connections. */
export function createServerPool(): ServerPool {
	return {
		keepAlive: createKeepAliveAgent({
			maxFreeSockets: MAX_IDLE_CONNECTIONS,
			timeout: IDLE_TIMEOUT_MS,
			scheduling: 'lifo',
		}),
		oneShot: new Agent({ keepAlive: false }),
	}
}

/** Closes the idle connections to a crashed server; `address` is its `IP:port`. */
export function closeIdle({ keepAlive }: ServerPool, address: string): void {
	const [host, port] = address.split(':')
	const idle =
		keepAlive.freeSockets[keepAlive.getName({ host, port: Number(port) })]
	for (const socket of idle ?? []) socket.destroy()
}

/**
 * Returns how many idle connections one of `entries` entries may keep to a server that
 * accepts `maxConnections` in total.
 */
export function maxIdlePerServer(
	maxConnections: number,
	entries: number,
): number {
	return Math.min(
		MAX_IDLE_CONNECTIONS,
		Math.floor((IDLE_SHARE * maxConnections) / entries),
	)
}

/**
 * Adjusts the maximum number of idle connections to the connection limits of services and
 * the number of entries.
 */
export function resizeIdle(
	{ keepAlive }: ServerPool,
	services: Iterable<TrafficService>,
	entries: number,
): void {
	const maxConnections = Math.min(
		...[...services].map(service => service.maxConnections),
	)
	keepAlive.maxFreeSockets = maxIdlePerServer(maxConnections, entries)
}
