/**
 * Subsetting: the backend servers that an entry keeps links to, so that the number of
 * links grows with the fleet and not with entries times servers. Each server gets its
 * entries by rendezvous hashing, half of them in its own data centre. Every server is
 * thus linked to several entries, and all entries compute the same assignment without
 * coordination.
 */

import { hashText } from '../internal.ts'

/** In pools up to this size, every entry is linked to all servers. */
export const MAX_FULL_POOL = 16
/** Minimum number of entries linked to a server. */
export const MIN_ENTRIES_PER_SERVER = 4
/** Minimum number of servers of a pool that an entry is linked to, on average. */
export const MIN_SERVERS_PER_ENTRY = 8

/** An entry or a server, with its data centre. */
export interface LocatedNode {
	readonly name: string
	readonly dataCentre: string
}

/** Returns the servers of a pool (a model or a service) that entry `self` links to. */
export function pickSubset(
	self: string,
	entries: readonly LocatedNode[],
	pool: readonly LocatedNode[],
): string[] {
	const isListed = entries.some(entry => entry.name === self)
	if (pool.length <= MAX_FULL_POOL || !isListed)
		return pool.map(server => server.name)
	const required = Math.ceil(
		(entries.length * MIN_SERVERS_PER_ENTRY) / pool.length,
	)
	const count = Math.max(MIN_ENTRIES_PER_SERVER, required)
	const hashed = entries.map(({ name, dataCentre }) => ({
		name,
		dataCentre,
		hash: hashText(name),
	}))
	return pool
		.filter(server => isLinkedTo(self, server, hashed, count))
		.map(server => server.name)
}

interface Hashed extends LocatedNode {
	readonly hash: number
}

function isLinkedTo(
	self: string,
	server: LocatedNode,
	entries: readonly Hashed[],
	count: number,
): boolean {
	const seed = hashText(server.name)
	const local = entries.filter(entry => entry.dataCentre === server.dataCentre)
	const half = Math.ceil(count / 2)
	return (
		isAmongTop(self, local, seed, half) ||
		isAmongTop(self, entries, seed, count - Math.min(half, local.length))
	)
}

/** Whether `self` has one of the `count` highest scores. */
function isAmongTop(
	self: string,
	entries: readonly Hashed[],
	seed: number,
	count: number,
): boolean {
	const own = entries.find(entry => entry.name === self)
	if (!own) return false
	const score = mix(seed, own.hash)
	let higher = 0
	for (const entry of entries) if (mix(seed, entry.hash) > score) higher++
	return higher < count
}

/** Mixes two 32-bit hashes into a uniformly distributed one. */
function mix(a: number, b: number): number {
	let h = Math.imul(a ^ b, 0x85ebca6b)
	h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35)
	return (h ^ (h >>> 16)) >>> 0
}
