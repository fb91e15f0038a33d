/**
 * What experts are in demand, from the counts of a group's ranks. Demand is
 * remembered for a while against chance, but only as long as new counts agree
 * with it: after a shift the memory would hide half of it for its half-life.
 *
 * Forgetting at a shift took streams in time from 0.62 to 0.67 of those asked for,
 * the longer memory that it allows from 0.87 to 0.93 (emulated quiet days of 12
 * ranks whose demand shifts each 3.5 s, the second with plans by gain).
 */

/** Demand older than this counts half, ms. */
const HALF_LIFE_MS = 1_500
/** Part of the demand that is taken to be even, against chance. */
const EVEN_SHARE = 0.05
/**
 * Agreement (cosine) of new counts with the memory below which nothing of the
 * memory is kept, and from which all of it is. Counts of 200 ms of emulated
 * groups agree by 0.98 and more while demand is steady; in the reading in which
 * it shifts, by 0.34 to 0.93 in small ones and by 0.84 to 0.92 in one of 192
 * ranks, where subjects share much of what they like. With 0.8 and 0.95 the first
 * plan after a shift there followed half of the demand before.
 */
export const AGREES_NOT = 0.9
const AGREES = 0.975
/** A set's counts below this number are too few to speak against the memory. */
const MIN_COUNTED = 1_000

/** Demand for each expert of each set. */
export interface Demand {
	readonly sets: number
	readonly experts: number
	/** Decayed choices. */
	readonly weights: Float64Array
	/** Choices that were read since the memory was last refreshed. */
	readonly fresh: Float64Array
	decayedAt: number
	/** Choices seen since the start. */
	totalChoices: number
}

/** Makes a demand of which nothing is known. */
export function createDemand(sets: number, experts: number): Demand {
	return {
		sets,
		experts,
		weights: new Float64Array(sets * experts),
		fresh: new Float64Array(sets * experts),
		decayedAt: 0,
		totalChoices: 0,
	}
}

/** Takes what a rank's requests chose, set by set, one number an expert. */
export function addChoices(demand: Demand, chosen: readonly number[]): void {
	if (chosen.length !== demand.fresh.length) return
	for (const [at, count] of chosen.entries()) {
		demand.fresh[at]! += count
		demand.totalChoices += count
	}
}

/**
 * Puts fresh choices into the memory. Gives the least agreement of any set with
 * what was remembered: 1 for none that speaks against it.
 */
export function refreshDemand(demand: Demand, now: number): number {
	const { sets, experts, weights, fresh } = demand
	const factor = 0.5 ** ((now - demand.decayedAt) / HALF_LIFE_MS)
	demand.decayedAt = now
	let least = 1
	for (let set = 0; set < sets; set++) {
		const agreement = agreementOf(demand, set)
		least = Math.min(least, agreement)
		const kept = factor * keptShare(agreement)
		for (let at = set * experts; at < (set + 1) * experts; at++)
			weights[at] = weights[at]! * kept + fresh[at]!
	}
	fresh.fill(0)
	return least
}

/** Whether fresh choices of some set speak against the memory. */
export function isShifting(demand: Demand): boolean {
	for (let set = 0; set < demand.sets; set++)
		if (agreementOf(demand, set) < AGREES_NOT) return true
	return false
}

/**
 * Cosine of a set's fresh choices and its memory; 1 where either is small. What
 * chance alone adds to the squares of counts, as much as their sum, is left out:
 * of 384 experts, a reading with few choices would never agree otherwise.
 */
function agreementOf({ experts, weights, fresh }: Demand, set: number): number {
	let product = 0
	let freshSquares = 0
	let knownSquares = 0
	let counted = 0
	for (let at = set * experts; at < (set + 1) * experts; at++) {
		const one = fresh[at]!
		const known = weights[at]!
		counted += one
		product += one * known
		freshSquares += one * one
		knownSquares += known * known
	}
	if (counted < MIN_COUNTED || knownSquares === 0) return 1
	const expected = Math.max(freshSquares - counted, freshSquares / 2)
	return Math.min(1, product / Math.sqrt(expected * knownSquares))
}

function keptShare(agreement: number): number {
	const share = (agreement - AGREES_NOT) / (AGREES - AGREES_NOT)
	return Math.min(1, Math.max(0, share))
}

/** Each expert's part of its set's demand. */
export function computeExpertShares(demand: Demand, set: number): Float64Array {
	const { experts, weights } = demand
	const share = new Float64Array(experts)
	let total = 0
	for (let expert = 0; expert < experts; expert++)
		total += weights[set * experts + expert]!
	for (let expert = 0; expert < experts; expert++) {
		const part = total > 0 ? weights[set * experts + expert]! / total : 0
		share[expert] = part * (1 - EVEN_SHARE) + EVEN_SHARE / experts
	}
	return share
}
