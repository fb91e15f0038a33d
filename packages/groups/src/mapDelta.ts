/**
 * Delta encoding of expert maps against a base map that the receiver has. The packed map
 * of 72 ranks takes 5 KB for each rank that prepares it; the delta of one plan takes a
 * fraction of that on the coordinator's small link.
 */

import type { GroupMap } from '@juniperhook/core'
import { distributeRoundRobin, isUsableSize } from '@juniperhook/core'
import { checksum } from './checksum.ts'
import { decodeVarints, encodeVarints } from './varints.ts'

/** Capacity of the cache: the map in use, and those of rounds in progress or failed. */
const MAX_CACHED_MAPS = 3

/** Map that sender and receiver may have in common. */
export interface MapBase {
	readonly epoch: number
	/** Version of the map; 0 is the map with which a group forms. */
	readonly version: number
	readonly map: GroupMap
	/** Number of experts in each set. */
	readonly experts: number
}

/** Differences of a map from its base. */
export interface MapDelta {
	/** Version of the base map. */
	readonly base: number
	readonly sets: number
	readonly ranks: number
	readonly experts: number
	/**
	 * Varints, for each rank that changes, set by set: the distance in ranks from the
	 * previous one that changes, the numbers of removed and of added experts, the places
	 * of the removed ones in the base, and the added ones. Takes five bytes for each copied
	 * expert.
	 */
	readonly packed: string
	/** Checksum of the resulting map, as the two sides may differ on the base. */
	readonly sum: number
}

/** Maps that an agent has received in an epoch, least recently used first. */
export interface MapCache {
	epoch: number
	readonly maps: Map<number, GroupMap>
}

/** Creates an empty cache. */
export function createMapCache(): MapCache {
	return { epoch: -1, maps: new Map() }
}

/** Adds a map, and evicts the least recently used one if the cache is full. */
export function cacheMap(
	cache: MapCache,
	epoch: number,
	version: number,
	map: GroupMap,
): void {
	if (epoch !== cache.epoch) cache.maps.clear()
	cache.epoch = epoch
	cache.maps.delete(version)
	cache.maps.set(version, map)
	const [oldest] = cache.maps.keys()
	if (cache.maps.size > MAX_CACHED_MAPS) cache.maps.delete(oldest!)
}

/** Computes the delta of `map` against a base. */
export function computeMapDelta(base: MapBase, map: GroupMap): MapDelta {
	const numbers: number[] = []
	const ranks = map[0]!.length
	let last = 0
	for (const [set, placement] of map.entries())
		for (const [rank, experts] of placement.entries()) {
			const before = base.map[set]![rank]!
			const removed = findPlaces(before, expert => !experts.includes(expert))
			const added = experts.filter(expert => !before.includes(expert))
			if (removed.length + added.length === 0) continue
			const at = set * ranks + rank
			numbers.push(
				at - last,
				removed.length,
				added.length,
				...removed,
				...added,
			)
			last = at
		}
	return {
		base: base.version,
		sets: map.length,
		ranks,
		experts: base.experts,
		packed: encodeVarints(numbers),
		sum: checksumOf(map),
	}
}

/** Returns the places of the experts that satisfy a condition. */
function findPlaces(
	experts: readonly number[],
	condition: (expert: number) => boolean,
): number[] {
	return [...experts.keys()].filter(place => condition(experts[place]!))
}

function checksumOf(map: GroupMap): number {
	return checksum(JSON.stringify(map))
}

/**
 * Applies a delta and returns the resulting map; undefined if the base is not in the
 * cache or differs between the two sides. Throws a RangeError if the delta is truncated.
 */
export function applyMapDelta(
	cache: MapCache,
	epoch: number,
	delta: MapDelta,
): GroupMap | undefined {
	const base = resolveBase(cache, epoch, delta)
	if (!base) return undefined
	const map = base.map(placement => [...placement])
	const numbers = decodeVarints(delta.packed)
	let cell = 0
	for (let at = 0; at < numbers.length; ) {
		const [skipped = -1, removedCount = -1, addedCount = -1] = numbers.slice(
			at,
			at + 3,
		)
		at += 3
		cell += skipped
		const set = Math.floor(cell / delta.ranks)
		const rank = cell % delta.ranks
		const before = map[set]?.[rank]
		if (!before || at + removedCount + addedCount > numbers.length)
			throw new RangeError('map delta truncated or out of range')
		const removed = new Set(numbers.slice(at, at + removedCount))
		const added = numbers.slice(
			at + removedCount,
			at + removedCount + addedCount,
		)
		const kept = before.filter((_, place) => !removed.has(place))
		map[set]![rank] = [...kept, ...added].sort((a, b) => a - b)
		at += removedCount + addedCount
	}
	return checksumOf(map) === delta.sum ? map : undefined
}

/**
 * Returns a cached map and marks it as recently used, so that the maps of failed rounds
 * do not evict it.
 */
function touchMap(
	cache: MapCache,
	epoch: number,
	version: number,
): GroupMap | undefined {
	const map = epoch === cache.epoch ? cache.maps.get(version) : undefined
	if (map) cacheMap(cache, epoch, version, map)
	return map
}

function resolveBase(
	cache: MapCache,
	epoch: number,
	{ base, sets, ranks, experts }: MapDelta,
): GroupMap | undefined {
	if (base !== 0) return touchMap(cache, epoch, base)
	if (!isUsableSize(sets, ranks, experts)) return undefined
	const placement = distributeRoundRobin(ranks, { experts })
	return Array.from({ length: sets }, () => placement)
}
