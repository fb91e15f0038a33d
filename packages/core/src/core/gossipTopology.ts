/**
 * Topology of the gossip: the neighbours of each node in a graph of bounded degree, and
 * the readers of each region, which watch the platform.
 */

import type { GossipNode, Member } from '../internal.ts'
import { topByRendezvous } from '../internal.ts'

/** Number of successors on the ring, which keep the graph connected. */
const RING_DEGREE = 2
/** Number of further neighbours, which keep the diameter of the graph small. */
const RANDOM_DEGREE = 4
/** Number of processes per region that watch the platform. */
export const READERS = 2
/** Number of processes per region that take over when readers lose contact. */
export const STANDBYS = 3
/** A reader that has not answered a check for this long counts as failed, ms. */
export const READER_TIMEOUT_MS = 3_500

/**
 * Sets the members. They must be sorted by name, which is the order of the ring; a VM that
 * has been replaced may be listed twice for a while.
 */
export function setMembers(
	node: GossipNode,
	listed: readonly Member[],
	now: number,
): void {
	const members = listed.filter(({ name }, at) => name !== listed[at - 1]?.name)
	node.members = members
	node.neighbours = pickNeighbours(node, members)
	const regional = members
		.filter(member => member.region === node.region)
		.map(member => member.name)
	node.readers = topByRendezvous(
		`readers of ${node.region}`,
		regional,
		READERS + STANDBYS,
	)
	for (const reader of node.readers)
		if (!node.readerContactAt.has(reader)) node.readerContactAt.set(reader, now)
}

/**
 * Whether this process should watch the platform: it is a reader, or a standby with too
 * few readers in contact, or it knows no members at all.
 */
export function isReader(node: GossipNode, now: number): boolean {
	if (node.members.length === 0) return true
	const position = node.readers.indexOf(node.self)
	if (position < 0) return false
	if (position < READERS) return true
	const preferred = node.readers.slice(0, position)
	const failed = preferred.filter(
		reader => now - (node.readerContactAt.get(reader) ?? 0) > READER_TIMEOUT_MS,
	)
	return preferred.length - failed.length < READERS
}

function pickNeighbours(
	node: GossipNode,
	members: readonly Member[],
): string[] {
	const names = members.map(member => member.name)
	const others = names.filter(name => name !== node.self)
	const next = others.findIndex(name => name > node.self)
	const picked = new Set<string>()
	for (let n = 0; n < Math.min(RING_DEGREE, others.length); n++)
		picked.add(others[(Math.max(next, 0) + n) % others.length]!)
	const degree = RING_DEGREE + RANDOM_DEGREE
	const key = `neighbours of ${node.self}`
	for (const name of topByRendezvous(key, others, degree))
		if (picked.size < degree) picked.add(name)
	return [...picked]
}
