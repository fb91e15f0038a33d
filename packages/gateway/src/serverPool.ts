/** Connections to backend servers, kept open between repeatable requests. */

import { Agent } from 'node:http'

/** Idle connections kept to one server. */
const MAX_IDLE = 12
/** An idle connection is closed after this time, ms; servers keep theirs longer. */
const IDLE_MS = 8_000

/** The connections of a process to all servers. */
export interface ServerPool {
	/** Keeps connections; a request on one may meet its close. */
	readonly kept: Agent
	/** A connection for each request, so that nothing of another is on it. */
	readonly single: Agent
}

/** Makes a pool without connections. */
export function createServerPool(): ServerPool {
	return {
		kept: new Agent({
			keepAlive: true,
			maxFreeSockets: MAX_IDLE,
			timeout: IDLE_MS,
			scheduling: 'lifo',
		}),
		single: new Agent({ keepAlive: false }),
	}
}

/** Closes the idle connections to a server that has ended, by its `IP:port`. */
export function closeIdle({ kept }: ServerPool, address: string): void {
	const [host, port] = address.split(':')
	const idle = kept.freeSockets[kept.getName({ host, port: Number(port) })]
	for (const socket of idle ?? []) socket.destroy()
}
