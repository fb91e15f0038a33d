/**
 * The difference of two texts as one replaced middle. Documents change by small
 * edits, so this is short where it matters and simple everywhere.
 */

import { hashText } from '../internal.ts'

/** Replaces the middle of a text. */
export interface TextPatch {
	/** Characters kept at the beginning. */
	readonly prefix: number
	/** Characters kept at the end. */
	readonly suffix: number
	readonly middle: string
	/** Hash of the result, against a wrong base. */
	readonly hash: number
}

/** The patch that makes `to` of `from`. */
export function makePatch(from: string, to: string): TextPatch {
	const shorter = Math.min(from.length, to.length)
	let prefix = 0
	while (prefix < shorter && from[prefix] === to[prefix]) prefix++
	let suffix = 0
	const room = shorter - prefix
	while (
		suffix < room &&
		from[from.length - 1 - suffix] === to[to.length - 1 - suffix]
	)
		suffix++
	const middle = to.slice(prefix, to.length - suffix)
	return { prefix, suffix, middle, hash: hashText(to) }
}

/** The patched text, or `undefined` when `from` is not the right base. */
export function applyPatch(from: string, patch: TextPatch): string | undefined {
	const { prefix, suffix, middle } = patch
	if (prefix + suffix > from.length) return undefined
	const end = from.slice(from.length - suffix)
	const text = from.slice(0, prefix) + middle + (suffix > 0 ? end : '')
	return hashText(text) === patch.hash ? text : undefined
}
