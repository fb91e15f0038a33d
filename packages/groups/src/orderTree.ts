/**
 * How an order reaches many ranks soonest: the coordinator gives it to a few
 * agents, each of those to a few more, and so on. What bounds it is the link of a
 * small VM, so the number of agents that one of them tells follows from the size
 * of the order and the pace of the link, not from the number of ranks alone.
 */

/**
 * For an agent to take a message and pass it on, besides the bytes: two zones'
 * way and the work of a small VM's part of a core, ms.
 */
const HOP_MS = 6
/** An agent's address and its quotes in a message, bytes. */
export const ADDRESS_BYTES = 20

/** What is sent and over which links. */
export interface TreeLoad {
	/** The order itself, bytes. */
	readonly orderBytes: number
	/** Pace of an agent's link, bytes a ms. */
	readonly bytesPerMs: number
}

/** Ranks that one agent gives an order to, themselves and those behind them. */
export function splitBranches<T>(
	all: readonly T[],
	fanOut: number,
): (readonly T[])[] {
	const size = Math.ceil(all.length / fanOut)
	const branches: (readonly T[])[] = []
	for (let from = 0; from < all.length; from += size)
		branches.push(all.slice(from, from + size))
	return branches
}

/** Hops from a sender until an order has reached all of `count` ranks. */
export function countHops(count: number, fanOut: number): number {
	let hops = 0
	for (let left = count; left > 0; left = Math.ceil(left / fanOut) - 1) hops++
	return hops
}

/** Time of one hop to the first of the branches of `count` ranks, ms. */
function hopMs(count: number, fanOut: number, load: TreeLoad): number {
	const branches = Math.min(count, fanOut)
	const bytes = branches * load.orderBytes + count * ADDRESS_BYTES
	return bytes / load.bytesPerMs + HOP_MS
}

/** Time until an order has reached all of `count` ranks, ms. */
export function predictSpreadMs(
	count: number,
	fanOut: number,
	load: TreeLoad,
): number {
	let total = 0
	for (let left = count; left > 0; left = Math.ceil(left / fanOut) - 1)
		total += hopMs(left, fanOut, load)
	return total
}

/** Longest hop of a tree, ms: the first, which carries most addresses. */
export function longestHopMs(
	count: number,
	fanOut: number,
	load: TreeLoad,
): number {
	return count === 0 ? 0 : hopMs(count, fanOut, load)
}

/** The number of agents that each tells for the order to be everywhere soonest. */
export function chooseFanOut(count: number, load: TreeLoad): number {
	let best = Math.max(1, count)
	let bestMs = predictSpreadMs(count, best, load)
	for (let fanOut = 2; fanOut < count; fanOut++) {
		const takes = predictSpreadMs(count, fanOut, load)
		if (takes >= bestMs) continue
		best = fanOut
		bestMs = takes
	}
	return best
}
