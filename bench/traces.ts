/** Traces of expert popularity: one vector of shares per window of a minute. */

import { createRandom } from '@juniperhook/core'
import { createPopularity, drift, shiftDemand } from '@juniperhook/fakes'

const HOURS = 4
const WINDOWS_PER_HOUR = 60
const WARM_UP = 30
/** Swaps of neighbours in the order of popularity, per layer and minute. */
const DRIFT_SWAPS = 4
const STORM_AT = 90
const STORM_WINDOWS = 20
const SHIFT_INTERVAL_WINDOWS = 40
const SHIFTED_EXPERTS = 16

/** A trace of popularity. */
export interface Trace {
	readonly name: string
	/** Shares of each window, indexed by `layer * experts + expert`. */
	readonly windows: readonly Float64Array[]
	/** Number of windows until a policy should have settled. */
	readonly warmUp: number
	/** Whether a window is at least `grace` windows after any earlier change. */
	isSettled(window: number, grace: number): boolean
}

/** Creates all traces for one seed. */
export function createTraces(
	experts: number,
	layers: number,
	exponent: number,
	seed: number,
): Trace[] {
	const length = HOURS * WINDOWS_PER_HOUR
	const start = () =>
		createPopularity(layers, experts, exponent, createRandom(seed))
	const flatten = (popularity: ReturnType<typeof start>) => {
		const all = new Float64Array(layers * experts)
		for (const [layer, share] of popularity.share.entries())
			all.set(share, layer * experts)
		return all
	}
	const make = (
		name: string,
		change: (popularity: ReturnType<typeof start>, window: number) => void,
		changes: readonly number[] = [0],
	): Trace => {
		const popularity = start()
		const windows = Array.from({ length }, (_, window) => {
			change(popularity, window)
			return flatten(popularity)
		})
		return {
			name,
			windows,
			warmUp: WARM_UP,
			isSettled: (window, grace) =>
				changes.every(at => window < at || window >= at + grace),
		}
	}
	const random = createRandom(seed + 1)
	const perWindow = Math.ceil(SHIFTED_EXPERTS / STORM_WINDOWS)
	return [
		make('drift', popularity => drift(popularity, DRIFT_SWAPS, random)),
		make(
			'storm',
			(popularity, window) => {
				const isStorm = window >= STORM_AT && window < STORM_AT + STORM_WINDOWS
				if (isStorm) shiftDemand(popularity, perWindow)
			},
			[0, ...Array.from({ length: STORM_WINDOWS }, (_, n) => STORM_AT + n)],
		),
		make(
			'swings',
			(popularity, window) => {
				const isShift = window > 0 && window % SHIFT_INTERVAL_WINDOWS === 0
				if (isShift) shiftDemand(popularity, SHIFTED_EXPERTS)
			},
			Array.from(
				{ length: length / SHIFT_INTERVAL_WINDOWS },
				(_, n) => n * SHIFT_INTERVAL_WINDOWS,
			),
		),
		make('oscillating', (popularity, window) => {
			// Changes back and forth in each window, the interval at which policies plan.
			const back = SHIFTED_EXPERTS
			for (const order of popularity.order) {
				if (window === 0) break
				if (window % 2 === 1) order.unshift(...order.splice(-back))
				else order.push(...order.splice(0, back))
			}
			shiftDemand(popularity, 0)
		}),
		make('stationary', () => {}),
	]
}
