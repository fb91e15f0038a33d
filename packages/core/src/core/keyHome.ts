/** Which backend server is home to a key of a request that may not be repeated. */

import type { Config } from '../internal.ts'
import { pickByRendezvous } from '../internal.ts'

/** Most sets of configured servers that are remembered. */
const MAX_SETS = 16

/** The servers of a service, as configured from `sinceWall` (Unix ms) on. */
export interface ServerSet {
	readonly sinceWall: number
	readonly servers: readonly string[]
}

/** The sets that an agent has seen in force, newest last. */
export type KeyHomeHistory = ServerSet[]

/** Names of the backend servers that run `service`, configured, live or not. */
export function listServiceServers(config: Config, service: string): string[] {
	return Object.entries(config.server)
		.filter(([, server]) => server.service === service)
		.map(([name]) => name)
}

/** One name for a key; teams and services may use the same key apart. */
export function scopeKey(team: string, service: string, key: string): string {
	return `${team}/${service}/${key}`
}

/**
 * The key's home: over the *configured* servers, so that all entries agree
 * without talking, and a dead home stays home.
 */
export function findKeyHome(
	config: Config,
	service: string,
	scopedKey: string,
): string | undefined {
	return pickByRendezvous(scopedKey, listServiceServers(config, service))
}

/** Notes the set in force at `wall`, if it differs from the last. */
export function recordServerSet(
	history: KeyHomeHistory,
	servers: readonly string[],
	wall: number,
): void {
	const sorted = [...servers].sort()
	const last = history.at(-1)
	if (last && last.servers.join() === sorted.join()) return
	history.push({ sinceWall: wall, servers: sorted })
	if (history.length > MAX_SETS) history.shift()
}

/**
 * Since when, Unix ms, `server` has been the key's home without a break;
 * `undefined` if it is not its home now.
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
