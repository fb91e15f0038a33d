/**
 * Which backend servers an entry keeps links to, so that links grow with the
 * fleet and not with entries times servers. Each server picks its entries by
 * rendezvous, half of them in its own data centre: so every server is seen by
 * several entries, and every entry computes the same picks without talking.
 */

import { hashText } from '../internal.ts'

/** Pools up to this size are seen whole by every entry. */
export const MAX_FULL_POOL = 16
/** Entries that see a server, at least. */
export const MIN_ENTRIES_PER_SERVER = 4
/** Servers of a pool that an entry sees, on average at least. */
export const MIN_SERVERS_PER_ENTRY = 8

/** A place in the fleet. */
export interface LocatedNode {
	readonly name: string
	readonly dataCentre: string
}

/** Servers of one pool (a model or a service) that entry `self` is to see. */
export function pickSubset(
	self: string,
	entries: readonly LocatedNode[],
	pool: readonly LocatedNode[],
): string[] {
	const known = entries.some(entry => entry.name === self)
	if (pool.length <= MAX_FULL_POOL || !known)
		return pool.map(server => server.name)
	const wanted = Math.ceil(
		(entries.length * MIN_SERVERS_PER_ENTRY) / pool.length,
	)
	const count = Math.max(MIN_ENTRIES_PER_SERVER, wanted)
	const hashed = entries.map(({ name, dataCentre }) => ({
		name,
		dataCentre,
		hash: hashText(name),
	}))
	return pool
		.filter(server => isSeenBy(self, server, hashed, count))
		.map(server => server.name)
}

interface Hashed extends LocatedNode {
	readonly hash: number
}

function isSeenBy(
	self: string,
	server: LocatedNode,
	entries: readonly Hashed[],
	count: number,
): boolean {
	const seed = hashText(server.name)
	const near = entries.filter(entry => entry.dataCentre === server.dataCentre)
	const half = Math.ceil(count / 2)
	return (
		isAmongTop(self, near, seed, half) ||
		isAmongTop(self, entries, seed, count - Math.min(half, near.length))
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
	let better = 0
	for (const entry of entries) if (mix(seed, entry.hash) > score) better++
	return better < count
}

/** A well-spread 32-bit number of two others. */
function mix(a: number, b: number): number {
	let h = Math.imul(a ^ b, 0x85ebca6b)
	h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35)
	return (h ^ (h >>> 16)) >>> 0
}
