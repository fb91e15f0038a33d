/**
 * Placement of the experts of one layer: a table of slots, rank by rank, and the load
 * of each rank under given expert shares. The tokens of a replicated expert are split
 * evenly between the ranks that hold it.
 */

/** Marks a slot without an expert. */
export const EMPTY_SLOT = -1

/** Placement of the experts of one layer. */
export interface LayerPlacement {
	readonly ranks: number
	readonly experts: number
	/** Number of slots per rank. */
	readonly slotsPerRank: number
	/** Expert or {@link EMPTY_SLOT} at index `rank * slotsPerRank + slot`. */
	readonly slots: Int16Array
	/** Number of ranks that hold each expert. */
	readonly copies: Uint16Array
}

/** Creates a layer with the experts in equal blocks and `spare` empty slots per rank. */
export function createLayer(
	ranks: number,
	experts: number,
	spare: number,
): LayerPlacement {
	const blockSize = Math.ceil(experts / ranks)
	const slotsPerRank = blockSize + spare
	const slots = new Int16Array(ranks * slotsPerRank).fill(EMPTY_SLOT)
	for (let expert = 0; expert < experts; expert++) {
		const rank = Math.floor(expert / blockSize)
		slots[rank * slotsPerRank + (expert % blockSize)] = expert
	}
	const copies = new Uint16Array(experts).fill(1)
	return { ranks, experts, slotsPerRank, slots, copies }
}

/** Creates a layer from the experts of each rank. */
export function createLayerFromRanks(
	byRank: readonly (readonly number[])[],
	experts: number,
	spare: number,
): LayerPlacement {
	const ranks = byRank.length
	const slotsPerRank = Math.ceil(experts / ranks) + spare
	const slots = new Int16Array(ranks * slotsPerRank).fill(EMPTY_SLOT)
	const copies = new Uint16Array(experts)
	for (const [rank, own] of byRank.entries())
		for (const [slot, expert] of own.entries()) {
			slots[rank * slotsPerRank + slot] = expert
			copies[expert]!++
		}
	return { ranks, experts, slotsPerRank, slots, copies }
}

/** Lists the experts of each rank. */
export function listExpertsByRank(layer: LayerPlacement): number[][] {
	const { ranks, slotsPerRank, slots } = layer
	return Array.from({ length: ranks }, (_, rank) =>
		[...slots.subarray(rank * slotsPerRank, (rank + 1) * slotsPerRank)].filter(
			expert => expert !== EMPTY_SLOT,
		),
	)
}

/** Returns a copy that can be modified independently. */
export function cloneLayer(layer: LayerPlacement): LayerPlacement {
	return {
		...layer,
		slots: layer.slots.slice(),
		copies: layer.copies.slice(),
	}
}

/** Whether a rank holds an expert. */
export function holdsExpert(
	layer: LayerPlacement,
	rank: number,
	expert: number,
): boolean {
	const { slotsPerRank, slots } = layer
	for (let at = rank * slotsPerRank; at < (rank + 1) * slotsPerRank; at++)
		if (slots[at] === expert) return true
	return false
}

/** Sets the slot at index `at` to an expert or {@link EMPTY_SLOT}. */
export function setSlot(
	layer: LayerPlacement,
	at: number,
	expert: number,
): void {
	const previous = layer.slots[at]!
	if (previous !== EMPTY_SLOT) layer.copies[previous]!--
	if (expert !== EMPTY_SLOT) layer.copies[expert]!++
	layer.slots[at] = expert
}

/** Returns the load of each rank under the shares from `offset` on; the mean is 1/ranks. */
export function computeRankLoads(
	layer: LayerPlacement,
	share: Float64Array,
	offset: number,
): Float64Array {
	const { ranks, slotsPerRank, slots, copies } = layer
	const loads = new Float64Array(ranks)
	for (let rank = 0; rank < ranks; rank++)
		for (let at = rank * slotsPerRank; at < (rank + 1) * slotsPerRank; at++) {
			const expert = slots[at]!
			if (expert === EMPTY_SLOT) continue
			loads[rank]! += share[offset + expert]! / copies[expert]!
		}
	return loads
}

/** Returns the load of the most loaded rank over the mean. */
export function computeSkew(loads: Float64Array): number {
	let maxLoad = 0
	let total = 0
	for (const load of loads) {
		maxLoad = Math.max(maxLoad, load)
		total += load
	}
	return total > 0 ? (maxLoad * loads.length) / total : 1
}
