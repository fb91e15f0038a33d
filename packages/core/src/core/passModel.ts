/**
 * How long a pass of a lock-step group takes, and how much the group may hold
 * for its passes to stay within a limit.
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
export interface PassState {
	/** Time of a pass over that of one with balanced ranks. */
	readonly factor: number
	/** Whether ranks copy experts meanwhile. */
	readonly copying: boolean
}

/** How much longer passes are while experts are copied, by the platform's page. */
export const COPYING_FACTOR = 1.15

/** Time of a pass in which each rank holds `held` requests, ms. */
export function predictPassMs(
	{ stepMs, perRequestMs, stepsPerPass }: PassCost,
	held: number,
	state: PassState,
): number {
	const balancedMs = stepsPerPass * (stepMs + held * perRequestMs)
	return balancedMs * stretchOf(state)
}

/**
 * Requests that each rank may hold, as a fraction, for passes to take `passMs` at
 * most; negative where even empty ranks take longer.
 */
export function heldWithin(
	{ stepMs, perRequestMs, stepsPerPass }: PassCost,
	passMs: number,
	state: PassState,
): number {
	const stepThen = passMs / (stepsPerPass * stretchOf(state))
	if (perRequestMs <= 0) return Number.POSITIVE_INFINITY
	return (stepThen - stepMs) / perRequestMs
}

function stretchOf({ factor, copying }: PassState): number {
	return factor * (copying ? COPYING_FACTOR : 1)
}
