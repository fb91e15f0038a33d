/**
 * Which server is likely to hold a prompt's prefix. Cache events come late and
 * with gaps, so a mark fades with time and never forbids anything.
 */

import { hashText } from '../internal.ts'

/** Characters of the prompt that stand for its prefix. */
export const PREFIX_CHARS = 256
const HALF_LIFE_MS = 60_000
const MAX_MARKS = 16_384

interface PrefixRecord {
	readonly server: string
	readonly at: number
}

/** Marks of prefixes seen, oldest first. */
export interface AffinityTable {
	readonly records: Map<number, PrefixRecord>
}

/** Makes an empty table. */
export function createAffinity(): AffinityTable {
	return { records: new Map() }
}

/** The table key of a prompt. */
export function hashPrefix(prompt: string): number {
	return hashText(prompt.slice(0, PREFIX_CHARS))
}

/** Notes that `server` has just worked on this prefix. */
export function recordPrefix(
	table: AffinityTable,
	prefix: number,
	server: string,
	now: number,
): void {
	table.records.delete(prefix)
	table.records.set(prefix, { server, at: now })
	if (table.records.size <= MAX_MARKS) return
	const oldest = table.records.keys().next().value
	if (oldest !== undefined) table.records.delete(oldest)
}

/** The likely holder of a prefix and how far to trust it, 0 to 1. */
export function findPrefix(
	table: AffinityTable,
	prefix: number,
	now: number,
): { readonly server: string; readonly credit: number } | undefined {
	const mark = table.records.get(prefix)
	if (!mark) return undefined
	return {
		server: mark.server,
		credit: 0.5 ** ((now - mark.at) / HALF_LIFE_MS),
	}
}
