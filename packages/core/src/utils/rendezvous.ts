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

/** The names in order of preference for `key`, best first. */
export function rankByRendezvous(
	key: string,
	names: readonly string[],
): string[] {
	const scored = names.map(name => ({ name, score: h32(`${name}\n${key}`) }))
	scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
	return scored.map(entry => entry.name)
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
