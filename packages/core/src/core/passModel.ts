/**
 * How long a pass of a lock-step group takes, and how much the group may hold
 * for its passes to stay within a limit. What the published figures leave open,
 * how much of a pass imbalance stretches and what comes besides, is fitted to the
 * passes that are seen.
 */

/** How a pass grows with the requests of its ranks. */
export interface PassCost {
	/** A token step without requests, ms. */
	readonly stepMs: number
	/** What each request adds to it, ms. */
	readonly perRequestMs: number
	/** Token steps in a pass. */
	readonly stepsPerPass: number
}

/** What a pass depends on besides its cost. */
export interface PassConditions {
	/** Time of a pass over that of one with balanced ranks. */
	readonly factor: number
	/** Whether ranks copy experts meanwhile. */
	readonly copying: boolean
}

/** How much longer passes are while experts are copied, by the platform's page. */
export const COPYING_FACTOR = 1.15

/** How the passes of a group compare with its published figures. */
export interface PassFit {
	/** A balanced pass over the published one. */
	readonly base: number
	/**
	 * Part of a step without requests that imbalance stretches; all of what
	 * requests add is stretched.
	 */
	readonly stepSkew: number
}

/** A mean of passes that ran under the same conditions. */
export interface PassSample extends PassConditions {
	readonly passMs: number
	/** Requests that each rank held, in the mean. */
	readonly inFlight: number
}

/** Sums of a least-squares fit that forgets. */
export interface PassFitter {
	fit: PassFit
	/** Sums over observations of 1, x, x squared, y and x times y. */
	count: number
	x: number
	xx: number
	y: number
	xy: number
}

/**
 * Before passes were seen. Two kinds of emulated groups, with steps of 4.55 and
 * 5.85 ms, gave 0.26 and 0.29 for the part of a step that imbalance stretches.
 */
const FIRST_FIT: PassFit = { base: 1, stepSkew: 0.3 }
/** Observations that the first fit stands for, and how far apart they lie. */
const PRIOR_WEIGHT = 6
const PRIOR_SPREAD = 0.5
/** What is kept of older observations at each new one: some 25 count. */
const KEPT_SHARE = 0.96
/** A fit is not believed outside these bounds. */
const LEAST_BASE = 0.6
const MOST_BASE = 2

/** Makes a fitter that has seen nothing. */
export function createPassFitter(): PassFitter {
	const { base, stepSkew } = FIRST_FIT
	const xx = PRIOR_WEIGHT * PRIOR_SPREAD ** 2
	return {
		fit: FIRST_FIT,
		count: PRIOR_WEIGHT,
		x: 0,
		xx,
		y: PRIOR_WEIGHT * base,
		xy: xx * base * stepSkew,
	}
}

/** Takes passes that were seen into the fit. */
export function addPassSample(
	fitter: PassFitter,
	cost: PassCost,
	{ passMs, inFlight: held, factor, copying }: PassSample,
): void {
	const { stepMs, perRequestMs, stepsPerPass } = cost
	const stretched = stepMs + held * perRequestMs * factor
	const x = (stepMs * (factor - 1)) / stretched
	const y = passMs / (stepsPerPass * stretched * copyingOf(copying))
	fitter.count = fitter.count * KEPT_SHARE + 1
	fitter.x = fitter.x * KEPT_SHARE + x
	fitter.xx = fitter.xx * KEPT_SHARE + x * x
	fitter.y = fitter.y * KEPT_SHARE + y
	fitter.xy = fitter.xy * KEPT_SHARE + x * y
	fitter.fit = solve(fitter)
}

function solve({ fit, count, x, xx, y, xy }: PassFitter): PassFit {
	const determinant = count * xx - x * x
	// Observations that are all alike cannot tell the two apart.
	if (determinant < 1e-6 * count) return fit
	const base = clamp((y * xx - xy * x) / determinant, LEAST_BASE, MOST_BASE)
	const slope = (xy * count - y * x) / determinant
	return { base, stepSkew: clamp(slope / base, 0, 1) }
}

function clamp(value: number, least: number, most: number): number {
	return Math.min(most, Math.max(least, value))
}

/** Time of a pass in which each rank holds `held` requests, ms. */
export function predictPassMs(
	{ stepMs, perRequestMs, stepsPerPass }: PassCost,
	{ base, stepSkew }: PassFit,
	held: number,
	{ factor, copying }: PassConditions,
): number {
	const step = stepMs * (1 + stepSkew * (factor - 1))
	const requests = held * perRequestMs * factor
	return base * stepsPerPass * (step + requests) * copyingOf(copying)
}

/**
 * Requests that each rank may hold, as a fraction, for passes to take `passMs` at
 * most; negative where even empty ranks take longer.
 */
export function maxInFlightWithin(
	{ stepMs, perRequestMs, stepsPerPass }: PassCost,
	{ base, stepSkew }: PassFit,
	passMs: number,
	{ factor, copying }: PassConditions,
): number {
	if (perRequestMs <= 0) return Number.POSITIVE_INFINITY
	const stepThen = passMs / (base * stepsPerPass * copyingOf(copying))
	const step = stepMs * (1 + stepSkew * (factor - 1))
	return (stepThen - step) / (perRequestMs * factor)
}

function copyingOf(copying: boolean): number {
	return copying ? COPYING_FACTOR : 1
}
