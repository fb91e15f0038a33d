/** Connections to backend servers, kept open between repeatable requests. */

import { Agent } from 'node:http'
import type { TrafficService } from '@juniperhook/core'

/** Idle connections kept to one server, at most. */
const MAX_IDLE = 12
/**
 * Part of a server's connections that all entries together may keep idle: it resets what
 * goes beyond the whole.
 */
const IDLE_SHARE = 0.5
/** An idle connection is closed after this time, ms; servers keep theirs longer. */
const IDLE_MS = 8_000

/** The connections of a process to all servers. */
export interface ServerPool {
	/** Keeps connections; a request on one may meet its close. */
	readonly keepAlive: Agent
	/** A connection for each request, so that nothing of another is on it. */
	readonly oneShot: Agent
}

/** Makes a pool without connections. */
export function createServerPool(): ServerPool {
	return {
		keepAlive: new Agent({
			keepAlive: true,
			maxFreeSockets: MAX_IDLE,
			timeout: IDLE_MS,
			scheduling: 'lifo',
		}),
		oneShot: new Agent({ keepAlive: false }),
	}
}

/** Closes the idle connections to a server that has ended, by its `IP:port`. */
export function closeIdle(
	{ keepAlive: kept }: ServerPool,
	address: string,
): void {
	const [host, port] = address.split(':')
	const idle = kept.freeSockets[kept.getName({ host, port: Number(port) })]
	for (const socket of idle ?? []) socket.destroy()
}

/**
 * Idle connections that one of `entries` entries keeps to a server; `most` is what the
 * server takes from all callers together.
 */
export function maxIdlePerServer(most: number, entries: number): number {
	return Math.min(MAX_IDLE, Math.floor((IDLE_SHARE * most) / entries))
}

/** Fits the idle connections to what servers take and to how many entries there are. */
export function resizeIdle(
	{ keepAlive: kept }: ServerPool,
	services: Iterable<TrafficService>,
	entries: number,
): void {
	const most = Math.min(...[...services].map(one => one.maxConnections))
	kept.maxFreeSockets = maxIdlePerServer(most, entries)
}
