/**
 * Rendezvous (highest random weight) hashing: every process that knows the same
 * names picks the same ones, and a change of one name moves only its own share.
 */

import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** A 32-bit hash of `text`, the same in every process. */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed)
}

/** The first `count` choices for `key`, best first, without a full sort. */
export function topByRendezvous(
	key: string,
	names: readonly string[],
	count: number,
): string[] {
	const top: { name: string; score: number }[] = []
	for (const name of names) {
		const score = h32(`${name}\n${key}`)
		if (top.length === count && score <= top[count - 1]!.score) continue
		const place = top.findIndex(other => other.score < score)
		top.splice(place < 0 ? top.length : place, 0, { name, score })
		if (top.length > count) top.pop()
	}
	return top.map(entry => entry.name)
}

/** The first choice for `key`, or `undefined` without names. */
export function pickByRendezvous(
	key: string,
	names: readonly string[],
): string | undefined {
	let best: string | undefined
	let bestScore = -1
	for (const name of names) {
		const score = h32(`${name}\n${key}`)
		const wins =
			score > bestScore || (score === bestScore && name < (best ?? ''))
		if (!wins) continue
		best = name
		bestScore = score
	}
	return best
}
