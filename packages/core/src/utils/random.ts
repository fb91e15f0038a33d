/** Seeded random numbers, so that tests can reproduce every decision. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Returns a random number in [0, 1). */
export type Random = () => number

/** Creates a generator whose numbers depend only on `seed`. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed)
	return () => uniformFloat64(generator)
}

/** Returns a random integer in [0, `limit`). */
export function randomIndex(random: Random, limit: number): number {
	return Math.floor(random() * limit)
}

/** Returns up to `count` of the items, each at most once, in random order. */
export function sampleItems<T>(
	items: readonly T[],
	count: number,
	random: Random,
): T[] {
	const remaining = [...items]
	const sampled: T[] = []
	while (remaining.length > 0 && sampled.length < count) {
		const at = randomIndex(random, remaining.length)
		sampled.push(remaining[at]!)
		remaining[at] = remaining.at(-1)!
		remaining.pop()
	}
	return sampled
}
