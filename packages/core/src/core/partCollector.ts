/**
 * Collects the parts of a transfer. Each part is copied into a block, since a small part
 * that is kept takes hundreds of times its size: its object, and the buffer it points into.
 */

/** Sizes of the blocks after the first, which is as large as the first part, bytes. */
const MIN_BLOCK_BYTES = 1_024
const MAX_BLOCK_BYTES = 65_536

/** Collected parts, in order. */
export interface PartCollector {
	/** All but the last one are full. */
	readonly blocks: Buffer[]
	/** Bytes collected. */
	bytes: number
	/** Memory of all blocks, bytes. */
	capacity: number
}

/** Creates a collector without parts. */
export function createPartCollector(): PartCollector {
	return { blocks: [], bytes: 0, capacity: 0 }
}

/** Appends a part; returns the memory taken for it, bytes. */
export function addPart(collector: PartCollector, part: Uint8Array): number {
	const { blocks, capacity: before } = collector
	const room = before - collector.bytes
	const last = blocks.at(-1)
	if (last && room > 0) last.set(part.subarray(0, room), last.length - room)
	const rest = part.subarray(room)
	if (rest.length > 0) {
		// Not from the pool, whose memory stays as long as any slice of it.
		const block = Buffer.allocUnsafeSlow(nextBlockBytes(before, rest.length))
		block.set(rest)
		blocks.push(block)
		collector.capacity += block.length
	}
	collector.bytes += part.length
	return collector.capacity - before
}

/** Returns the size of a block; blocks grow with what has been collected. */
function nextBlockBytes(capacity: number, neededBytes: number): number {
	if (capacity === 0) return neededBytes
	const usual = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, capacity))
	return Math.max(usual, neededBytes)
}

/** Returns the collected bytes in as few buffers as there are blocks. */
export function listParts({
	blocks,
	bytes,
	capacity,
}: PartCollector): readonly Buffer[] {
	const last = blocks.at(-1)
	if (!last || bytes === capacity) return blocks
	const used = last.length - (capacity - bytes)
	return [...blocks.slice(0, -1), last.subarray(0, used)]
}

/** Returns the collected bytes in one buffer. */
export function joinParts(collector: PartCollector): Buffer {
	const parts = listParts(collector)
	return parts.length === 1 ? parts[0]! : Buffer.concat(parts)
}

/** Removes all parts. */
export function clearParts(collector: PartCollector): void {
	collector.blocks.length = 0
	collector.bytes = 0
	collector.capacity = 0
}
