/**
 * Bounds the memory that a process holds for what others are still sending. If the sum
 * exceeds its limit, the largest transfer is ended, as one without an end grows past all
 * others.
 */

/** Memory held for one transfer. */
export interface ByteHold {
	bytes: number
	/** Ends the transfer; undefined once it is complete. */
	end: (() => void) | undefined
}

/** All transfers and their sum. */
export interface ByteBudget {
	readonly holds: Set<ByteHold>
	totalBytes: number
	/** Limit of the sum, bytes. */
	limitBytes: number
}

/** Creates a budget without transfers. */
export function createByteBudget(limitBytes: number): ByteBudget {
	return { holds: new Set(), totalBytes: 0, limitBytes }
}

/** Adds a transfer; `end` is called if its bytes are needed for others. */
export function openHold(budget: ByteBudget, end: () => void): ByteHold {
	const hold: ByteHold = { bytes: 0, end }
	budget.holds.add(hold)
	return hold
}

/** Counts memory taken; without effect on a transfer that was ended or closed. */
export function growHold(
	budget: ByteBudget,
	hold: ByteHold,
	bytes: number,
): void {
	if (!budget.holds.has(hold)) return
	hold.bytes += bytes
	budget.totalBytes += bytes
	while (budget.totalBytes > budget.limitBytes) {
		const largest = findLargest(budget)
		if (!largest) return
		const { end } = largest
		closeHold(budget, largest)
		end?.()
	}
}

/** Releases some of the memory of a transfer that goes on. */
export function shrinkHold(
	budget: ByteBudget,
	hold: ByteHold,
	bytes: number,
): void {
	if (!budget.holds.has(hold)) return
	budget.totalBytes -= bytes
	hold.bytes -= bytes
}

/** Releases all memory of a transfer that goes on. */
export function emptyHold(budget: ByteBudget, hold: ByteHold): void {
	shrinkHold(budget, hold, hold.bytes)
}

/** Records that a transfer is complete; its memory is still held. */
export function completeHold(hold: ByteHold): void {
	hold.end = undefined
}

/** Removes a transfer, whose memory is no longer held. */
export function closeHold(budget: ByteBudget, hold: ByteHold): void {
	if (!budget.holds.delete(hold)) return
	budget.totalBytes -= hold.bytes
}

/** Returns the largest transfer that is not complete. */
function findLargest({ holds }: ByteBudget): ByteHold | undefined {
	let largest: ByteHold | undefined
	for (const hold of holds) {
		if (!hold.end) continue
		if (!largest || hold.bytes > largest.bytes) largest = hold
	}
	return largest
}
