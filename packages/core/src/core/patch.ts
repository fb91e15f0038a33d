/**
 * A patch that replaces one contiguous part of a text. Documents change by small edits,
 * for which this simple format is compact enough.
 */

import { hashText } from '../internal.ts'

/** Replaces the part of a text between a kept prefix and a kept suffix. */
export interface TextPatch {
	/** Number of characters kept at the start. */
	readonly prefix: number
	/** Number of characters kept at the end. */
	readonly suffix: number
	readonly middle: string
	/** Hash of the result, to detect a wrong base. */
	readonly hash: number
}

/** Creates the patch that turns `from` into `to`. */
export function makePatch(from: string, to: string): TextPatch {
	const shorter = Math.min(from.length, to.length)
	let prefix = 0
	while (prefix < shorter && from[prefix] === to[prefix]) prefix++
	let suffix = 0
	const maxSuffix = shorter - prefix
	while (
		suffix < maxSuffix &&
		from[from.length - 1 - suffix] === to[to.length - 1 - suffix]
	)
		suffix++
	const middle = to.slice(prefix, to.length - suffix)
	return { prefix, suffix, middle, hash: hashText(to) }
}

/** Returns the patched text, or `undefined` if `from` is not the base of the patch. */
export function applyPatch(from: string, patch: TextPatch): string | undefined {
	const { prefix, suffix, middle } = patch
	if (prefix + suffix > from.length) return undefined
	const end = from.slice(from.length - suffix)
	const text = from.slice(0, prefix) + middle + (suffix > 0 ? end : '')
	return hashText(text) === patch.hash ? text : undefined
}
