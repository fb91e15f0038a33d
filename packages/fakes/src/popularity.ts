/**
 * Distribution of tokens over experts: in each layer, a Zipf distribution over a shuffled
 * order of experts, which drifts by swapping neighbours.
 */

import type { Random } from '@juniperhook/core'
import { randomIndex } from '@juniperhook/core'

/** Popularity of the experts of each layer. */
export interface Popularity {
	readonly exponent: number
	/** `order[layer][position]` is an expert; the most popular is first. */
	readonly order: number[][]
	/** `share[layer][expert]`; each layer adds up to 1. */
	readonly share: Float64Array[]
}

/** Creates a popularity with a random order in each layer. */
export function createPopularity(
	layers: number,
	experts: number,
	exponent: number,
	random: Random,
): Popularity {
	const order = Array.from({ length: layers }, () => shuffle(experts, random))
	const share = order.map(() => new Float64Array(experts))
	const popularity = { exponent, order, share }
	refreshShares(popularity)
	return popularity
}

/** Applies slow drift: swaps `swaps` random pairs of neighbours in each layer. */
export function drift(
	popularity: Popularity,
	swaps: number,
	random: Random,
): void {
	for (const order of popularity.order)
		for (let n = 0; n < swaps; n++) {
			const at = randomIndex(random, order.length - 1)
			swap(order, at, at + 1)
		}
	refreshShares(popularity)
}

/** Shifts demand: the `count` least popular experts of each layer become the first. */
export function shiftDemand(popularity: Popularity, count: number): void {
	for (const order of popularity.order)
		order.unshift(...order.splice(order.length - count, count))
	refreshShares(popularity)
}

function refreshShares(popularity: Popularity): void {
	const { order, share, exponent } = popularity
	for (const [layer, positions] of order.entries()) {
		let total = 0
		for (const position of positions.keys())
			total += (position + 1) ** -exponent
		for (const [position, expert] of positions.entries())
			share[layer]![expert] = (position + 1) ** -exponent / total
	}
}

function shuffle(size: number, random: Random): number[] {
	const order = Array.from({ length: size }, (_, at) => at)
	for (let at = size - 1; at > 0; at--)
		swap(order, at, randomIndex(random, at + 1))
	return order
}

function swap(list: number[], a: number, b: number): void {
	const first = list[a]!
	list[a] = list[b]!
	list[b] = first
}
