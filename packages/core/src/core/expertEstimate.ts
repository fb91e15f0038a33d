/**
 * Estimates the future popularity of each expert of a group. Exponential moving
 * averages with different half-lives each predict the next window; plans use the
 * one with the lowest recent prediction error. Its half-life also estimates how long
 * a popularity lasts, which bounds the benefit of moving an expert.
 *
 * Drift favours a short half-life. Constant popularity, sampling noise, and an
 * oscillation at the planning period favour a long one, which avoids useless moves.
 */

/** Half-lives of the moving averages, in windows. */
const HALF_LIVES = [0.3, 1, 3, 8, 24] as const
/** Weight of the newest window in the prediction errors. */
const ERROR_WEIGHT = 0.15
/** Expected duration of a popularity, in half-lives of the selected average. */
const HORIZON_HALF_LIVES = 6
/** Another average is selected only if it reduces the error to less than this share. */
const SWITCH_ERROR_RATIO = 0.95

/** Estimates for all layers of a group; the shares of a layer add up to 1. */
export interface ExpertEstimate {
	readonly layers: number
	readonly experts: number
	readonly windowMs: number
	/** Averages by half-life, each indexed by `layer * experts + expert`. */
	readonly averages: readonly Float64Array[]
	/** Smoothed prediction error of each average. */
	readonly errors: Float64Array
	/** Number of windows observed. */
	windows: number
	/** Index of the average that plans use. */
	chosen: number
}

/** Creates an estimate without observations. */
export function createExpertEstimate(
	layers: number,
	experts: number,
	windowMs: number,
): ExpertEstimate {
	const size = layers * experts
	return {
		layers,
		experts,
		windowMs,
		averages: HALF_LIVES.map(() => new Float64Array(size)),
		errors: new Float64Array(HALF_LIVES.length),
		windows: 0,
		chosen: HALF_LIVES.length - 1,
	}
}

/** Adds the token counts of one window, indexed by `layer * experts + expert`. */
export function observeTokens(
	estimate: ExpertEstimate,
	tokens: Float64Array,
): void {
	const shares = toShares(estimate, tokens)
	const { averages, errors } = estimate
	estimate.windows++
	for (const [index, average] of averages.entries()) {
		if (estimate.windows > 1) {
			const errorChange = l1Distance(average, shares) - errors[index]!
			// The first errors are averaged equally, so that the initial zero has no weight.
			const weight = Math.max(ERROR_WEIGHT, 1 / (estimate.windows - 1))
			errors[index]! += weight * errorChange
		}
		updateAverage(average, shares, HALF_LIVES[index]!, estimate.windows)
	}
	selectAverage(estimate)
}

/** Returns the expected share of each expert, `layer * experts + expert`. */
export function expectedShares(estimate: ExpertEstimate): Float64Array {
	return estimate.averages[estimate.chosen]!
}

/** Returns how long the present popularity is expected to last, ms. */
export function expectedHorizonMs(estimate: ExpertEstimate): number {
	return HALF_LIVES[estimate.chosen]! * HORIZON_HALF_LIVES * estimate.windowMs
}

function selectAverage(estimate: ExpertEstimate): void {
	const { errors } = estimate
	let bestIndex = estimate.chosen
	for (const [index, error] of errors.entries())
		if (error < errors[bestIndex]!) bestIndex = index
	if (errors[bestIndex]! < errors[estimate.chosen]! * SWITCH_ERROR_RATIO)
		estimate.chosen = bestIndex
}

function toShares(
	estimate: ExpertEstimate,
	tokens: Float64Array,
): Float64Array {
	const { layers, experts } = estimate
	const shares = new Float64Array(tokens.length)
	for (let layer = 0; layer < layers; layer++) {
		const start = layer * experts
		let total = 0
		for (let index = start; index < start + experts; index++)
			total += tokens[index]!
		const equalShare = 1 / experts
		for (let index = start; index < start + experts; index++)
			shares[index] = total > 0 ? tokens[index]! / total : equalShare
	}
	return shares
}

function l1Distance(a: Float64Array, b: Float64Array): number {
	let distance = 0
	for (let index = 0; index < a.length; index++)
		distance += Math.abs(a[index]! - b[index]!)
	return distance
}

function updateAverage(
	average: Float64Array,
	shares: Float64Array,
	halfLife: number,
	windows: number,
): void {
	// With few windows observed, their arithmetic mean is the better estimate.
	const weight = Math.max(1 - 0.5 ** (1 / halfLife), 1 / windows)
	for (let index = 0; index < average.length; index++)
		average[index]! += weight * (shares[index]! - average[index]!)
}
