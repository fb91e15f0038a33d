/** Traces of expert popularity, one share vector a window of a minute. */

import { createRandom } from '@juniperhook/core'
import { createPopularity, drift, shiftDemand } from '@juniperhook/fakes'

const HOURS = 4
const WINDOWS_PER_HOUR = 60
const WARM_UP = 30
/** Neighbours that change places a layer a minute. */
const DRIFT_SWAPS = 4
const STORM_AT = 90
const STORM_WINDOWS = 20
const SEASON_WINDOWS = 40
const EXPERTS_OF_A_SEASON = 16

/** A trace of popularity. */
export interface Trace {
	readonly name: string
	/** `layer * experts + expert`, a window each. */
	readonly windows: readonly Float64Array[]
	/** Windows until a policy should have settled. */
	readonly warmUp: number
	/** Whether a window is later than `grace` after a change. */
	isSettled(window: number, grace: number): boolean
}

/** All traces for one seed. */
export function createTraces(
	experts: number,
	layers: number,
	exponent: number,
	seed: number,
): Trace[] {
	const length = HOURS * WINDOWS_PER_HOUR
	const start = () =>
		createPopularity(layers, experts, exponent, createRandom(seed))
	const flat = (popularity: ReturnType<typeof start>) => {
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
			return flat(popularity)
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
	const perWindow = Math.ceil(EXPERTS_OF_A_SEASON / STORM_WINDOWS)
	return [
		make('drift', popularity => drift(popularity, DRIFT_SWAPS, random)),
		make(
			'storm',
			(popularity, window) => {
				const stormy = window >= STORM_AT && window < STORM_AT + STORM_WINDOWS
				if (stormy) shiftDemand(popularity, perWindow)
			},
			[0, ...Array.from({ length: STORM_WINDOWS }, (_, n) => STORM_AT + n)],
		),
		make(
			'swings',
			(popularity, window) => {
				const turn = window > 0 && window % SEASON_WINDOWS === 0
				if (turn) shiftDemand(popularity, EXPERTS_OF_A_SEASON)
			},
			Array.from(
				{ length: length / SEASON_WINDOWS },
				(_, n) => n * SEASON_WINDOWS,
			),
		),
		make('oscillating', (popularity, window) => {
			// To and fro each window: the period at which the policy plans.
			const back = EXPERTS_OF_A_SEASON
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
