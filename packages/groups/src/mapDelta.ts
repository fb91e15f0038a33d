/**
 * A map told by what differs from one that the other side knows. The map of 72
 * ranks, packed, takes 5 KB for each rank that is to prepare it; the changes of
 * one plan take a fraction of that on the coordinator's small link.
 */

import { crc32 } from 'node:zlib'
import type { GroupMap } from '@juniperhook/core'
import { distributeRoundRobin } from '@juniperhook/core'
import { packNumbers, unpackNumbers } from './varints.ts'

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
	 * For each rank that changes: ranks passed over since the last one, set by
	 * set; how many experts it loses and gets; in which places of the base the
	 * lost ones are, and which it gets. Five bytes a copied expert.
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
	known.maps.delete(version)
	known.maps.set(version, map)
	const [oldest] = known.maps.keys()
	if (known.maps.size > REMEMBERED) known.maps.delete(oldest!)
}

/** What turns a base into `map`. */
export function findChanges(base: MapBase, map: GroupMap): MapChanges {
	const numbers: number[] = []
	const ranks = map[0]!.length
	let last = 0
	for (const [set, placement] of map.entries())
		for (const [rank, experts] of placement.entries()) {
			const before = base.map[set]![rank]!
			const lost = listPlaces(before, expert => !experts.includes(expert))
			const got = experts.filter(expert => !before.includes(expert))
			if (lost.length + got.length === 0) continue
			const at = set * ranks + rank
			numbers.push(at - last, lost.length, got.length, ...lost, ...got)
			last = at
		}
	return {
		base: base.version,
		sets: map.length,
		ranks,
		experts: base.experts,
		packed: packNumbers(numbers),
		sum: sumOf(map),
	}
}

/** Places of the experts that a check is true of. */
function listPlaces(
	experts: readonly number[],
	check: (expert: number) => boolean,
): number[] {
	return [...experts.keys()].filter(place => check(experts[place]!))
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
	let cell = 0
	for (let at = 0; at < numbers.length; ) {
		const [passed = -1, losing = -1, getting = -1] = numbers.slice(at, at + 3)
		at += 3
		cell += passed
		const set = Math.floor(cell / changes.ranks)
		const rank = cell % changes.ranks
		const before = map[set]?.[rank]
		if (!before || at + losing + getting > numbers.length)
			throw new RangeError('changes of a map are not whole')
		const lost = new Set(numbers.slice(at, at + losing))
		const got = numbers.slice(at + losing, at + losing + getting)
		const kept = before.filter((_, place) => !lost.has(place))
		map[set]![rank] = [...kept, ...got].sort((a, b) => a - b)
		at += losing + getting
	}
	return sumOf(map) === changes.sum ? map : undefined
}

/** A known map; one that is used is not forgotten for those of failed rounds. */
function useMap(
	known: KnownMaps,
	epoch: number,
	version: number,
): GroupMap | undefined {
	const map = epoch === known.epoch ? known.maps.get(version) : undefined
	if (map) noteMap(known, epoch, version, map)
	return map
}

function findBase(
	known: KnownMaps,
	epoch: number,
	{ base, sets, ranks, experts }: MapChanges,
): GroupMap | undefined {
	if (base !== 0) return useMap(known, epoch, base)
	const dealt = distributeRoundRobin(ranks, { experts })
	return Array.from({ length: sets }, () => dealt)
}
