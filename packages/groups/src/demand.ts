/** What experts are in demand, from the counts of a group's ranks. */

/** Demand older than this counts half, ms. */
const HALF_LIFE_MS = 350
/** Part of the demand that is taken to be even, against chance. */
const EVEN_SHARE = 0.05

/** Demand for each expert of each set. */
export interface Demand {
	readonly sets: number
	readonly experts: number
	/** Decayed choices. */
	readonly weights: Float64Array
	decayedAt: number
	/** Choices seen since the start. */
	seen: number
}

/** Makes a demand of which nothing is known. */
export function createDemand(sets: number, experts: number): Demand {
	return {
		sets,
		experts,
		weights: new Float64Array(sets * experts),
		decayedAt: 0,
		seen: 0,
	}
}

/** Lets what is known grow old. */
export function decayDemand(demand: Demand, now: number): void {
	const factor = 0.5 ** ((now - demand.decayedAt) / HALF_LIFE_MS)
	demand.decayedAt = now
	for (let at = 0; at < demand.weights.length; at++)
		demand.weights[at]! *= factor
}

/** Takes what a rank's requests chose, set by set, one number an expert. */
export function takeChoices(demand: Demand, chosen: readonly number[]): void {
	if (chosen.length !== demand.weights.length) return
	for (const [at, count] of chosen.entries()) {
		demand.weights[at]! += count
		demand.seen += count
	}
}

/** Each expert's part of its set's demand. */
export function shareOfSet(demand: Demand, set: number): Float64Array {
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
