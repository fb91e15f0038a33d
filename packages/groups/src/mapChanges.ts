/**
 * A map told by what differs from one that the other side knows. The map of 72
 * ranks, packed, takes 5 KB for each rank that is to prepare it; the changes of
 * one plan take a fraction of that on the coordinator's small link.
 */

import { crc32 } from 'node:zlib'
import type { GroupMap } from '@juniperhook/core'
import { dealExperts } from '@juniperhook/core'
import { packNumbers, unpackNumbers } from './packedNumbers.ts'

/** Maps that an agent remembers: the one in use, and one in the making. */
const REMEMBERED = 3

/** A map that both sides may know. */
export interface MapBase {
	readonly epoch: number
	/** 0 is the map that a group forms with. */
	readonly version: number
	readonly map: GroupMap
	/** Experts of each set. */
	readonly experts: number
}

/** What to change in a map. */
export interface MapChanges {
	/** Version of the map that changes. */
	readonly base: number
	readonly sets: number
	readonly ranks: number
	readonly experts: number
	/**
	 * For each rank that changes: set, rank, how many experts it loses and gets,
	 * and which.
	 */
	readonly packed: string
	/** Checksum of the changed map: the two sides may differ on the base. */
	readonly sum: number
}

/** Maps that an agent has been told of, newest last. */
export interface KnownMaps {
	epoch: number
	readonly maps: Map<number, GroupMap>
}

/** Makes a memory that knows no map. */
export function createKnownMaps(): KnownMaps {
	return { epoch: -1, maps: new Map() }
}

/** Remembers a map. */
export function noteMap(
	known: KnownMaps,
	epoch: number,
	version: number,
	map: GroupMap,
): void {
	if (epoch !== known.epoch) known.maps.clear()
	known.epoch = epoch
	known.maps.set(version, map)
	const [oldest] = known.maps.keys()
	if (known.maps.size > REMEMBERED) known.maps.delete(oldest!)
}

/** What turns a base into `map`. */
export function findChanges(base: MapBase, map: GroupMap): MapChanges {
	const numbers: number[] = []
	for (const [set, placement] of map.entries())
		for (const [rank, experts] of placement.entries()) {
			const before = base.map[set]![rank]!
			const lost = before.filter(expert => !experts.includes(expert))
			const got = experts.filter(expert => !before.includes(expert))
			if (lost.length + got.length > 0)
				numbers.push(set, rank, lost.length, got.length, ...lost, ...got)
		}
	return {
		base: base.version,
		sets: map.length,
		ranks: map[0]!.length,
		experts: base.experts,
		packed: packNumbers(numbers),
		sum: sumOf(map),
	}
}

function sumOf(map: GroupMap): number {
	return crc32(JSON.stringify(map))
}

/**
 * The changed map; undefined when the base is not known, or not the same one on
 * both sides. Throws a RangeError when the changes are not whole.
 */
export function applyChanges(
	known: KnownMaps,
	epoch: number,
	changes: MapChanges,
): GroupMap | undefined {
	const base = findBase(known, epoch, changes)
	if (!base) return undefined
	const map = base.map(placement => [...placement])
	const numbers = unpackNumbers(changes.packed)
	for (let at = 0; at < numbers.length; ) {
		const [set = -1, rank = -1, losing = -1, getting = -1] = numbers.slice(at)
		at += 4
		const before = map[set]?.[rank]
		if (!before || at + losing + getting > numbers.length)
			throw new RangeError('changes of a map are not whole')
		const lost = numbers.slice(at, at + losing)
		const got = numbers.slice(at + losing, at + losing + getting)
		const kept = before.filter(expert => !lost.includes(expert))
		map[set]![rank] = [...kept, ...got].sort((a, b) => a - b)
		at += losing + getting
	}
	return sumOf(map) === changes.sum ? map : undefined
}

function findBase(
	known: KnownMaps,
	epoch: number,
	{ base, sets, ranks, experts }: MapChanges,
): GroupMap | undefined {
	if (base !== 0)
		return epoch === known.epoch ? known.maps.get(base) : undefined
	const dealt = dealExperts(ranks, { experts })
	return Array.from({ length: sets }, () => dealt)
}
