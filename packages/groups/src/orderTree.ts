/**
 * Broadcast tree for orders to many ranks: the coordinator sends an order to a few
 * agents, each of which relays it to a few more, and so on. The bottleneck is the link
 * of a small VM, so the fan-out is chosen by the size of the order and the bandwidth of
 * the link, not by the number of ranks alone.
 */

/**
 * Time of a hop besides transmission, ms: latency between two zones, and processing by an
 * agent with the fraction of a core that a small VM has.
 */
const HOP_OVERHEAD_MS = 6
/** Size of an agent's address in a message, with quotes, bytes. */
export const ADDRESS_BYTES = 20

/** Size of an order and bandwidth of the links. */
export interface TreeLoad {
	/** Size of the order, bytes. */
	readonly orderBytes: number
	/** Bandwidth of an agent's link, bytes per ms. */
	readonly bytesPerMs: number
}

/**
 * Splits recipients into at most `fanOut` branches. The first recipient of a branch
 * relays to the others.
 */
export function splitBranches<T>(
	all: readonly T[],
	fanOut: number,
): (readonly T[])[] {
	const size = Math.max(1, Math.ceil(all.length / Math.max(1, fanOut)))
	const branches: (readonly T[])[] = []
	for (let from = 0; from < all.length; from += size)
		branches.push(all.slice(from, from + size))
	return branches
}

/** Returns the number of hops until an order has reached all of `count` ranks. */
export function countHops(count: number, fanOut: number): number {
	const perHop = Math.max(1, fanOut)
	let hops = 0
	for (let left = count; left > 0; left = Math.ceil(left / perHop) - 1) hops++
	return hops
}

/** Returns the time of one hop of a sender to the branches of `count` ranks, ms. */
function hopMs(count: number, fanOut: number, load: TreeLoad): number {
	const branches = Math.min(count, fanOut)
	const bytes = branches * load.orderBytes + count * ADDRESS_BYTES
	return bytes / load.bytesPerMs + HOP_OVERHEAD_MS
}

/** Returns the predicted time until an order has reached all of `count` ranks, ms. */
export function predictBroadcastMs(
	count: number,
	fanOut: number,
	load: TreeLoad,
): number {
	let total = 0
	for (let left = count; left > 0; left = Math.ceil(left / fanOut) - 1)
		total += hopMs(left, fanOut, load)
	return total
}

/** Returns the time of the longest hop, ms: the first, with the most addresses. */
export function maxHopMs(
	count: number,
	fanOut: number,
	load: TreeLoad,
): number {
	return count === 0 ? 0 : hopMs(count, fanOut, load)
}

/** Returns the fan-out with the shortest predicted broadcast time. */
export function chooseFanOut(count: number, load: TreeLoad): number {
	let best = Math.max(1, count)
	let bestMs = predictBroadcastMs(count, best, load)
	for (let fanOut = 2; fanOut < count; fanOut++) {
		const totalMs = predictBroadcastMs(count, fanOut, load)
		if (totalMs >= bestMs) continue
		best = fanOut
		bestMs = totalMs
	}
	return best
}
