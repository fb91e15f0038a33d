/**
 * How popular each expert of a group will be. Several averages with different
 * memories predict each window before it is seen; the one that has predicted
 * best lately is planned by. Its memory also tells how long a popularity lasts,
 * which bounds what a move can still earn.
 *
 * Drift favours a short memory. Still popularity, sampling noise, and a swing to
 * and fro at the planning period favour a long one, which moves nothing.
 */

/** Half-lives of the averages, in windows. */
const HALF_LIVES = [0.3, 1, 3, 8, 24] as const
/** Weight of the newest window in the prediction errors. */
const ERROR_WEIGHT = 0.15
/** A popularity is expected to last for so many half-lives of its memory. */
const LIVES = 6
/** How much better another memory must predict to be chosen. */
const SWITCH_MARGIN = 0.95

/** Estimates for all layers of a group; shares of a layer add up to 1. */
export interface ExpertEstimate {
	readonly layers: number
	readonly experts: number
	readonly windowMs: number
	/** One average a half-life, `layer * experts + expert`. */
	readonly averages: readonly Float64Array[]
	/** Smoothed error of each average's predictions. */
	readonly errors: Float64Array
	windows: number
	/** Index of the average to plan by. */
	chosen: number
}

/** Makes an estimate that knows nothing. */
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

/** Takes the tokens of one window, `layer * experts + expert`. */
export function observeTokens(
	estimate: ExpertEstimate,
	tokens: Float64Array,
): void {
	const shares = toShares(estimate, tokens)
	const { averages, errors } = estimate
	estimate.windows++
	for (const [at, average] of averages.entries()) {
		if (estimate.windows > 1) {
			const missed = distanceOf(average, shares) - errors[at]!
			// The first errors are taken as they are, not mixed with zero.
			const weight = Math.max(ERROR_WEIGHT, 1 / (estimate.windows - 1))
			errors[at]! += weight * missed
		}
		blend(average, shares, HALF_LIVES[at]!, estimate.windows)
	}
	choose(estimate)
}

/** Shares to plan by. */
export function expectedShares(estimate: ExpertEstimate): Float64Array {
	return estimate.averages[estimate.chosen]!
}

/** How long the present popularity is expected to last, ms. */
export function expectedHorizonMs(estimate: ExpertEstimate): number {
	return HALF_LIVES[estimate.chosen]! * LIVES * estimate.windowMs
}

function choose(estimate: ExpertEstimate): void {
	const { errors } = estimate
	let best = estimate.chosen
	for (const [at, error] of errors.entries())
		if (error < errors[best]!) best = at
	if (errors[best]! < errors[estimate.chosen]! * SWITCH_MARGIN)
		estimate.chosen = best
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
		for (let at = start; at < start + experts; at++) total += tokens[at]!
		const even = 1 / experts
		for (let at = start; at < start + experts; at++)
			shares[at] = total > 0 ? tokens[at]! / total : even
	}
	return shares
}

function distanceOf(a: Float64Array, b: Float64Array): number {
	let distance = 0
	for (let at = 0; at < a.length; at++) distance += Math.abs(a[at]! - b[at]!)
	return distance
}

function blend(
	into: Float64Array,
	from: Float64Array,
	halfLife: number,
	windows: number,
): void {
	// While few windows are known, their plain mean is the better estimate.
	const weight = Math.max(1 - 0.5 ** (1 / halfLife), 1 / windows)
	for (let at = 0; at < into.length; at++)
		into[at]! += weight * (from[at]! - into[at]!)
}
