/**
 * Orders between agents. A map goes packed, and as changes of one that both
 * sides know where there is one: as JSON, that of 72 ranks takes 10 KB, and sent
 * to each of them a second of a small VM's link.
 */

import type { EngineOrder, GroupMap } from '@juniperhook/core'
import type { KnownMaps, MapBase, MapChanges } from './mapDelta.ts'
import { applyChanges, findChanges } from './mapDelta.ts'
import { packNumbers, unpackNumbers } from './varints.ts'

type PrepareOrder = Extract<EngineOrder, { type: 'prepare' }>

/** A map as agents send it to each other. */
type SentMap =
	/** See {@link packMap}. */
	{ readonly packed: string } | { readonly changes: MapChanges }

/** An order as agents send it to each other. */
export type OrderMessage =
	| Exclude<EngineOrder, { type: 'prepare' }>
	| (Omit<PrepareOrder, 'map'> & { readonly sent: SentMap })

/** Turns an order into a message; a map as changes of `base`, if given. */
export function toOrderMessage(
	order: EngineOrder,
	base?: MapBase,
): OrderMessage {
	if (order.type !== 'prepare') return order
	const { map, ...rest } = order
	const fits = base?.epoch === order.epoch && base.map.length === map.length
	if (!fits) return { ...rest, sent: { packed: packOnce(map) } }
	return { ...rest, sent: { changes: findOnce(base, map) } }
}

/** Bytes that a message takes on the way. */
export function sizeOfMessage(message: OrderMessage): number {
	return JSON.stringify(message).length
}

/**
 * Turns a message into an order; undefined when it changes a map that is not
 * known here.
 */
export function fromOrderMessage(
	message: OrderMessage,
	known: KnownMaps,
): EngineOrder | undefined {
	if (message.type !== 'prepare') return message
	const { sent, ...rest } = message
	const map =
		'packed' in sent
			? unpackMap(sent.packed)
			: applyChanges(known, rest.epoch, sent.changes)
	return map && { ...rest, map }
}

/** What was packed of a map: a coordinator sends the same one to every rank. */
const packedMaps = new WeakMap<GroupMap, string>()
const foundChanges = new WeakMap<GroupMap, MapChanges>()

function packOnce(map: GroupMap): string {
	const known = packedMaps.get(map)
	if (known !== undefined) return known
	const packed = packMap(map)
	packedMaps.set(map, packed)
	return packed
}

function findOnce(base: MapBase, map: GroupMap): MapChanges {
	const known = foundChanges.get(map)
	if (known?.base === base.version) return known
	const changes = findChanges(base, map)
	foundChanges.set(map, changes)
	return changes
}

/**
 * Packed numbers: how many sets and ranks there are; then, set by set and rank
 * by rank, how many experts and which.
 */
export function packMap(map: GroupMap): string {
	const numbers = [map.length, map[0]?.length ?? 0]
	for (const placement of map)
		for (const experts of placement) numbers.push(experts.length, ...experts)
	return packNumbers(numbers)
}

/** The map that was packed; throws a RangeError when it is not whole. */
export function unpackMap(packed: string): GroupMap {
	const numbers = unpackNumbers(packed)
	let at = 0
	const next = () => {
		const number = numbers[at++]
		if (number === undefined) throw new RangeError('a map is not whole')
		return number
	}
	const sets = next()
	const ranks = next()
	const readRank = () => Array.from({ length: next() }, next)
	const readSet = () => Array.from({ length: ranks }, readRank)
	return Array.from({ length: sets }, readSet)
}
