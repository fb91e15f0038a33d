/**
 * Orders between agents. A map goes packed: as JSON, that of 72 ranks takes
 * 10 KB, and sent to each of them a second of a small VM's link.
 */

import type { EngineOrder, GroupMap } from '@juniperhook/core'

/** An order as agents send it to each other. */
export type OrderMessage =
	| Exclude<EngineOrder, { type: 'prepare' }>
	| (Omit<Extract<EngineOrder, { type: 'prepare' }>, 'map'> & {
			/** See {@link packMap}. */
			readonly packed: string
	  })

/** Turns an order into a message. */
export function toOrderMessage(order: EngineOrder): OrderMessage {
	if (order.type !== 'prepare') return order
	const { map, ...rest } = order
	return { ...rest, packed: packOnce(map) }
}

/** Turns a message into an order. */
export function fromOrderMessage(message: OrderMessage): EngineOrder {
	if (message.type !== 'prepare') return message
	const { packed, ...rest } = message
	return { ...rest, map: unpackMap(packed) }
}

/** Packed maps by map: a coordinator sends the same one to every rank. */
const packedMaps = new WeakMap<GroupMap, string>()

function packOnce(map: GroupMap): string {
	const known = packedMaps.get(map)
	if (known !== undefined) return known
	const packed = packMap(map)
	packedMaps.set(map, packed)
	return packed
}

/**
 * Base64 of 16-bit numbers: how many sets and ranks there are; then, set by set
 * and rank by rank, how many experts and which. Where all are below 256, each
 * takes one byte; the first byte says how many bytes a number has.
 */
export function packMap(map: GroupMap): string {
	const numbers = [map.length, map[0]?.length ?? 0]
	for (const placement of map)
		for (const experts of placement) numbers.push(experts.length, ...experts)
	const isSmall = numbers.every(number => number < 256)
	const packed = isSmall
		? Buffer.from([1, ...numbers])
		: Buffer.concat([Buffer.from([2]), toBytes(numbers)])
	return packed.toString('base64')
}

/** The map that was packed; throws a RangeError when it is not whole. */
export function unpackMap(packed: string): GroupMap {
	const bytes = Buffer.from(packed, 'base64')
	const width = bytes[0] === 1 ? 1 : 2
	let at = 1
	const next = () => {
		const number = bytes.readUIntLE(at, width)
		at += width
		return number
	}
	const sets = next()
	const ranks = next()
	const readRank = () => Array.from({ length: next() }, next)
	const readSet = () => Array.from({ length: ranks }, readRank)
	return Array.from({ length: sets }, readSet)
}

function toBytes(numbers: readonly number[]): Buffer {
	const bytes = Buffer.alloc(numbers.length * 2)
	for (const [at, number] of numbers.entries())
		bytes.writeUInt16LE(number, at * 2)
	return bytes
}
