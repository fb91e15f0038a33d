/** Seeded random numbers, so that every decision can be repeated in a test. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Draws a number in [0, 1). */
export type Random = () => number

/** Makes a generator that always gives the same numbers for `seed`. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed)
	return () => uniformFloat64(generator)
}

/** A whole number in [0, `limit`). */
export function randomIndex(random: Random, limit: number): number {
	return Math.floor(random() * limit)
}
