/**
 * Rendezvous (highest random weight) hashing: all processes that know the same names make
 * the same choice, and adding or removing a name moves only the keys of that name.
 */

import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** Returns a 32-bit hash of `text`, the same in every process. */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed)
}

/** Returns the `count` names with the highest scores for `key`, best first. */
export function topByRendezvous(
	key: string,
	names: readonly string[],
	count: number,
): string[] {
	const top: { name: string; score: number }[] = []
	for (const name of names) {
		const score = h32(`${name}\n${key}`)
		if (top.length === count && score <= top[count - 1]!.score) continue
		const index = top.findIndex(other => other.score < score)
		top.splice(index < 0 ? top.length : index, 0, { name, score })
		if (top.length > count) top.pop()
	}
	return top.map(entry => entry.name)
}

/** Returns the name with the highest score for `key`, or `undefined` without names. */
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
