/**
 * Who hears whom when published values spread: neighbours along a graph of bounded
 * degree, and the few readers of each region that watch the platform.
 */

import type { GossipNode, Member } from '../internal.ts'
import { topByRendezvous } from '../internal.ts'

/** Ring neighbours that hold the graph together. */
const RING_DEGREE = 2
/** Further neighbours that make it shallow. */
const RANDOM_DEGREE = 4
/** Processes a region that watch the platform. */
export const READERS = 2
/** Processes a region that step in when readers fall silent. */
export const STANDBYS = 3
/** A reader that has not answered a look for this long is silent, ms. */
export const READER_TIMEOUT_MS = 3_500

/** Takes the members in order of their names, which is the ring's order. */
export function setMembers(
	node: GossipNode,
	members: readonly Member[],
	now: number,
): void {
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
 * Whether this process watches the platform now: it is a reader, or a standby
 * who finds too few readers in contact, or it knows no members at all.
 */
export function isReader(node: GossipNode, now: number): boolean {
	if (node.members.length === 0) return true
	const place = node.readers.indexOf(node.self)
	if (place < 0) return false
	if (place < READERS) return true
	const before = node.readers.slice(0, place)
	const silent = before.filter(
		reader => now - (node.readerContactAt.get(reader) ?? 0) > READER_TIMEOUT_MS,
	)
	return before.length - silent.length < READERS
}

function pickNeighbours(
	node: GossipNode,
	members: readonly Member[],
): string[] {
	const names = members.map(member => member.name)
	const others = names.filter(name => name !== node.self)
	const after = others.findIndex(name => name > node.self)
	const picked = new Set<string>()
	for (let n = 0; n < Math.min(RING_DEGREE, others.length); n++)
		picked.add(others[(Math.max(after, 0) + n) % others.length]!)
	const degree = RING_DEGREE + RANDOM_DEGREE
	const key = `neighbours of ${node.self}`
	for (const name of topByRendezvous(key, others, degree))
		if (picked.size < degree) picked.add(name)
	return [...picked]
}
