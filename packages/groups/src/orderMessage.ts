/**
 * Encoding of orders between agents. A map is sent as a delta against a base that both
 * sides have, or else packed. As JSON, the map of 72 ranks takes 10 KB; sending it to
 * each rank takes a second of a small VM's link.
 */

import type { EngineOrder, GroupMap } from '@juniperhook/core'
import type { MapBase, MapCache, MapDelta } from './mapDelta.ts'
import { applyMapDelta, computeMapDelta } from './mapDelta.ts'
import { decodeVarints, encodeVarints } from './varints.ts'

type PrepareOrder = Extract<EngineOrder, { type: 'prepare' }>

/** Encoded map, as sent between agents. */
type EncodedMap =
	/** See {@link packMap}. */
	{ readonly packed: string } | { readonly changes: MapDelta }

/** Encoded order, as sent between agents. */
export type OrderMessage =
	| Exclude<EngineOrder, { type: 'prepare' }>
	| (Omit<PrepareOrder, 'map'> & { readonly sent: EncodedMap })

/** Encodes an order; its map as a delta against `base`, if given and compatible. */
export function encodeOrder(order: EngineOrder, base?: MapBase): OrderMessage {
	if (order.type !== 'prepare') return order
	const { map, ...rest } = order
	const fits = base?.epoch === order.epoch && base.map.length === map.length
	if (!fits) return { ...rest, sent: { packed: packMapCached(map) } }
	return { ...rest, sent: { changes: computeDeltaCached(base, map) } }
}

/** Returns the size of a message on the wire, bytes. */
export function messageSize(message: OrderMessage): number {
	return JSON.stringify(message).length
}

/** Decodes an order; undefined if it contains a delta against a map not in the cache. */
export function decodeOrder(
	message: OrderMessage,
	cache: MapCache,
): EngineOrder | undefined {
	if (message.type !== 'prepare') return message
	const { sent, ...rest } = message
	const map =
		'packed' in sent
			? unpackMap(sent.packed)
			: applyMapDelta(cache, rest.epoch, sent.changes)
	return map && { ...rest, map }
}

/** Encoded maps, kept because a coordinator sends the same map to every rank. */
const packedMaps = new WeakMap<GroupMap, string>()
const deltas = new WeakMap<GroupMap, MapDelta>()

function packMapCached(map: GroupMap): string {
	const known = packedMaps.get(map)
	if (known !== undefined) return known
	const packed = packMap(map)
	packedMaps.set(map, packed)
	return packed
}

function computeDeltaCached(base: MapBase, map: GroupMap): MapDelta {
	const known = deltas.get(map)
	if (known?.base === base.version) return known
	const delta = computeMapDelta(base, map)
	deltas.set(map, delta)
	return delta
}

/**
 * Encodes a map as varints: the numbers of sets and ranks, then for each rank, set by
 * set, the number of its experts and the experts.
 */
export function packMap(map: GroupMap): string {
	const numbers = [map.length, map[0]?.length ?? 0]
	for (const placement of map)
		for (const experts of placement) numbers.push(experts.length, ...experts)
	return encodeVarints(numbers)
}

/** Decodes a packed map. Throws a RangeError if it is truncated or has no ranks. */
export function unpackMap(packed: string): GroupMap {
	const numbers = decodeVarints(packed)
	let at = 0
	const next = () => {
		const number = numbers[at++]
		if (number === undefined) throw new RangeError('packed map truncated')
		return number
	}
	const sets = next()
	const ranks = next()
	// Each rank of a set takes a number; sets without ranks would take none.
	if (ranks < 1 || sets * ranks > numbers.length)
		throw new RangeError('packed map truncated')
	const readRank = () => {
		const experts = next()
		if (experts > numbers.length - at)
			throw new RangeError('packed map truncated')
		return Array.from({ length: experts }, next)
	}
	const readSet = () => Array.from({ length: ranks }, readRank)
	return Array.from({ length: sets }, readSet)
}
