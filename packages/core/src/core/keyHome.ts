/**
 * Assigns each idempotency key of a non-repeatable request to a key home: the one
 * backend server that runs requests with this key.
 */

import type { Config } from '../internal.ts'
import { pickByRendezvous } from '../internal.ts'

/** Maximum number of server sets kept in a history. */
const MAX_HISTORY = 16

/** Configured servers of a service since `sinceWall` (Unix ms). */
export interface ServerSet {
	readonly sinceWall: number
	readonly servers: readonly string[]
}

/** Server sets that an agent has seen in force, newest last. */
export type KeyHomeHistory = ServerSet[]

/** Returns the names of the servers configured for `service`, whether live or not. */
export function listServiceServers(config: Config, service: string): string[] {
	return Object.entries(config.server)
		.filter(([, server]) => server.service === service)
		.map(([name]) => name)
}

/** Qualifies a key by team and service, which may use the same keys independently. */
export function scopeKey(team: string, service: string, key: string): string {
	return `${team}/${service}/${key}`
}

/**
 * Returns the key home, by rendezvous hashing over the *configured* servers: all entries
 * agree without coordination, and a key home that is down remains the key home.
 */
export function findKeyHome(
	config: Config,
	service: string,
	scopedKey: string,
): string | undefined {
	return pickByRendezvous(scopedKey, listServiceServers(config, service))
}

/** Records the set in force at `wall` (Unix ms) if it differs from the last one. */
export function recordServerSet(
	history: KeyHomeHistory,
	servers: readonly string[],
	wall: number,
): void {
	const sorted = [...servers].sort()
	const last = history.at(-1)
	if (last && last.servers.join() === sorted.join()) return
	history.push({ sinceWall: wall, servers: sorted })
	if (history.length > MAX_HISTORY) history.shift()
}

/**
 * Returns the time (Unix ms) since which `server` has been the key home without
 * interruption; `undefined` if it is not the key home now.
 */
export function findKeyHomeSince(
	history: KeyHomeHistory,
	scopedKey: string,
	server: string,
): number | undefined {
	let since: number | undefined
	for (const set of [...history].reverse()) {
		if (pickByRendezvous(scopedKey, set.servers) !== server) break
		since = set.sinceWall
	}
	return since
}
