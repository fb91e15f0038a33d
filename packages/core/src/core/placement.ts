/**
 * Where the experts of one layer lie: a table of slots, rank by rank, and the
 * load that a popularity puts on each rank. A replicated expert's tokens split
 * evenly over its holders.
 */

/** No expert in a slot. */
export const EMPTY_SLOT = -1

/** The slots of one layer. */
export interface LayerPlacement {
	readonly ranks: number
	readonly experts: number
	/** Slots a rank. */
	readonly slotsPerRank: number
	/** `rank * width + slot` holds an expert or {@link EMPTY_SLOT}. */
	readonly slots: Int16Array
	/** Holders of each expert. */
	readonly copies: Uint16Array
}

/** Makes a layer with `experts` in even blocks and `spare` slots a rank. */
export function createLayer(
	ranks: number,
	experts: number,
	spare: number,
): LayerPlacement {
	const size = Math.ceil(experts / ranks)
	const width = size + spare
	const slots = new Int16Array(ranks * width).fill(EMPTY_SLOT)
	for (let expert = 0; expert < experts; expert++) {
		const rank = Math.floor(expert / size)
		slots[rank * width + (expert % size)] = expert
	}
	const copies = new Uint16Array(experts).fill(1)
	return { ranks, experts, slotsPerRank: width, slots, copies }
}

/** Makes a layer from the experts of each rank. */
export function createLayerFromRanks(
	byRank: readonly (readonly number[])[],
	experts: number,
	spare: number,
): LayerPlacement {
	const ranks = byRank.length
	const width = Math.ceil(experts / ranks) + spare
	const slots = new Int16Array(ranks * width).fill(EMPTY_SLOT)
	const copies = new Uint16Array(experts)
	for (const [rank, own] of byRank.entries())
		for (const [slot, expert] of own.entries()) {
			slots[rank * width + slot] = expert
			copies[expert]!++
		}
	return { ranks, experts, slotsPerRank: width, slots, copies }
}

/** The experts of each rank. */
export function listExpertsByRank(layer: LayerPlacement): number[][] {
	const { ranks, slotsPerRank: width, slots } = layer
	return Array.from({ length: ranks }, (_, rank) =>
		[...slots.subarray(rank * width, (rank + 1) * width)].filter(
			expert => expert !== EMPTY_SLOT,
		),
	)
}

/** A copy that may be changed. */
export function cloneLayer(layer: LayerPlacement): LayerPlacement {
	return {
		...layer,
		slots: layer.slots.slice(),
		copies: layer.copies.slice(),
	}
}

/** Whether the rank holds the expert. */
export function holdsExpert(
	layer: LayerPlacement,
	rank: number,
	expert: number,
): boolean {
	const { slotsPerRank: width, slots } = layer
	for (let at = rank * width; at < (rank + 1) * width; at++)
		if (slots[at] === expert) return true
	return false
}

/** Puts `expert` (or {@link EMPTY_SLOT}) into a slot. */
export function setSlot(
	layer: LayerPlacement,
	at: number,
	expert: number,
): void {
	const old = layer.slots[at]!
	if (old !== EMPTY_SLOT) layer.copies[old]!--
	if (expert !== EMPTY_SLOT) layer.copies[expert]!++
	layer.slots[at] = expert
}

/** Load of each rank under `share` (from `offset` on); the mean is 1/ranks. */
export function computeRankLoads(
	layer: LayerPlacement,
	share: Float64Array,
	offset: number,
): Float64Array {
	const { ranks, slotsPerRank: width, slots, copies } = layer
	const loads = new Float64Array(ranks)
	for (let rank = 0; rank < ranks; rank++)
		for (let at = rank * width; at < (rank + 1) * width; at++) {
			const expert = slots[at]!
			if (expert === EMPTY_SLOT) continue
			loads[rank]! += share[offset + expert]! / copies[expert]!
		}
	return loads
}

/** Slowest rank over the mean. */
export function computeSkew(loads: Float64Array): number {
	let most = 0
	let total = 0
	for (const load of loads) {
		most = Math.max(most, load)
		total += load
	}
	return total > 0 ? (most * loads.length) / total : 1
}
