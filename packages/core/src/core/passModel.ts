/**
 * Predicts how long a pass of a lock-step group takes, and how many requests the group
 * may have in flight for its passes to stay within a limit. The published figures do not
 * state how much of a pass is stretched by imbalance, nor what overhead there is; both
 * are fitted to observed passes.
 */

/** Published cost of a pass, depending on the requests of its ranks. */
export interface PassCost {
	/** Time of a token step without requests, ms. */
	readonly stepMs: number
	/** Time that each request adds to a token step, ms. */
	readonly perRequestMs: number
	/** Number of token steps in a pass. */
	readonly stepsPerPass: number
}

/** Far above the duration of any pass, ms, and the token steps of one. */
const MAX_COST = 1_000_000

/** Whether published costs are in the range for which passes can be predicted. */
export function isUsableCost(cost: PassCost): boolean {
	const { stepMs, perRequestMs, stepsPerPass } = cost
	const isInRange = (value: number) => value >= 0 && value <= MAX_COST
	return isInRange(stepMs) && isInRange(perRequestMs) && isInRange(stepsPerPass)
}

/** Conditions that affect the time of a pass. */
export interface PassConditions {
	/** Time of a pass relative to one with balanced ranks. */
	readonly factor: number
	/** Whether ranks copy experts during the pass. */
	readonly copying: boolean
}

/**
 * Factor by which passes take longer while experts are copied, as published by the
 * platform.
 */
export const COPYING_FACTOR = 1.15

/** Relation of observed passes to the published cost. */
export interface PassFit {
	/** Time of a balanced pass relative to the published one. */
	readonly base: number
	/**
	 * Share of a step without requests that imbalance stretches; the time that requests
	 * add is stretched entirely.
	 */
	readonly stepSkew: number
}

/** Mean of observed passes that ran under the same conditions. */
export interface PassSample extends PassConditions {
	readonly passMs: number
	/** Mean number of requests in flight per rank. */
	readonly inFlight: number
}

/** State of a least-squares fit with exponential forgetting. */
export interface PassFitter {
	fit: PassFit
	/** Sums over samples of 1, x, x squared, y, and x times y. */
	count: number
	x: number
	xx: number
	y: number
	xy: number
}

/**
 * Fit before any pass is observed. Two kinds of emulated groups, with steps of 4.55 and
 * 5.85 ms, gave 0.26 and 0.29 for the share of a step that imbalance stretches.
 */
const INITIAL_FIT: PassFit = { base: 1, stepSkew: 0.3 }
/** Weight of the first fit, in samples, and their standard deviation in x. */
const PRIOR_WEIGHT = 6
const PRIOR_SPREAD = 0.5
/** Decay of the older samples' weight per new sample; some 25 samples count. */
const SAMPLE_DECAY = 0.96
/** Bounds of the fitted base; values outside are clamped. */
const MIN_BASE = 0.6
const MAX_BASE = 2

/** Creates a fitter without samples. */
export function createPassFitter(): PassFitter {
	const { base, stepSkew } = INITIAL_FIT
	const xx = PRIOR_WEIGHT * PRIOR_SPREAD ** 2
	return {
		fit: INITIAL_FIT,
		count: PRIOR_WEIGHT,
		x: 0,
		xx,
		y: PRIOR_WEIGHT * base,
		xy: xx * base * stepSkew,
	}
}

/** Adds a sample of observed passes to the fit. */
export function addPassSample(
	fitter: PassFitter,
	cost: PassCost,
	{ passMs, inFlight, factor, copying }: PassSample,
): void {
	const { stepMs, perRequestMs, stepsPerPass } = cost
	const stretchedMs = stepMs + inFlight * perRequestMs * factor
	// Costs of which none is published are no basis to fit.
	if (!(stretchedMs > 0 && stepsPerPass > 0)) return
	const x = (stepMs * (factor - 1)) / stretchedMs
	const y = passMs / (stepsPerPass * stretchedMs * copyingFactor(copying))
	fitter.count = fitter.count * SAMPLE_DECAY + 1
	fitter.x = fitter.x * SAMPLE_DECAY + x
	fitter.xx = fitter.xx * SAMPLE_DECAY + x * x
	fitter.y = fitter.y * SAMPLE_DECAY + y
	fitter.xy = fitter.xy * SAMPLE_DECAY + x * y
	fitter.fit = solveFit(fitter)
}

function solveFit({ fit, count, x, xx, y, xy }: PassFitter): PassFit {
	const determinant = count * xx - x * x
	// The two parameters cannot be distinguished if all samples have the same x.
	if (determinant < 1e-6 * count) return fit
	const base = clamp((y * xx - xy * x) / determinant, MIN_BASE, MAX_BASE)
	const slope = (xy * count - y * x) / determinant
	return { base, stepSkew: clamp(slope / base, 0, 1) }
}

function clamp(value: number, min: number, max: number): number {
	return Math.min(max, Math.max(min, value))
}

/** Returns the predicted time of a pass with `inFlight` requests on each rank, ms. */
export function predictPassMs(
	{ stepMs, perRequestMs, stepsPerPass }: PassCost,
	{ base, stepSkew }: PassFit,
	inFlight: number,
	{ factor, copying }: PassConditions,
): number {
	const step = stepMs * (1 + stepSkew * (factor - 1))
	const requests = inFlight * perRequestMs * factor
	return base * stepsPerPass * (step + requests) * copyingFactor(copying)
}

/**
 * Returns how many requests each rank may have in flight, not rounded, for passes to
 * take at most `passMs`; negative if even empty ranks take longer.
 */
export function maxInFlightWithin(
	{ stepMs, perRequestMs, stepsPerPass }: PassCost,
	{ base, stepSkew }: PassFit,
	passMs: number,
	{ factor, copying }: PassConditions,
): number {
	if (perRequestMs <= 0) return Number.POSITIVE_INFINITY
	const maxStepMs = passMs / (base * stepsPerPass * copyingFactor(copying))
	const emptyStepMs = stepMs * (1 + stepSkew * (factor - 1))
	return (maxStepMs - emptyStepMs) / (perRequestMs * factor)
}

function copyingFactor(copying: boolean): number {
	return copying ? COPYING_FACTOR : 1
}
