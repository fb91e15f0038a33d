/**
 * Prefix affinity: which server is likely to have a prompt's prefix in its cache. Cache
 * events arrive late and incompletely, so the confidence in a record decays with time
 * and affinity never excludes a server.
 */

import { hashText } from '../internal.ts'

/** Number of leading characters of a prompt that identify its prefix. */
export const PREFIX_CHARS = 256
const HALF_LIFE_MS = 60_000
const MAX_RECORDS = 16_384

interface PrefixRecord {
	readonly server: string
	readonly at: number
}

/** Records of recently seen prefixes, oldest first. */
export interface AffinityTable {
	readonly records: Map<number, PrefixRecord>
}

/** Creates an empty table. */
export function createAffinity(): AffinityTable {
	return { records: new Map() }
}

/** Returns the table key of a prompt. */
export function hashPrefix(prompt: string): number {
	return hashText(prompt.slice(0, PREFIX_CHARS))
}

/** Records that `server` has just processed this prefix. */
export function recordPrefix(
	table: AffinityTable,
	prefix: number,
	server: string,
	now: number,
): void {
	table.records.delete(prefix)
	table.records.set(prefix, { server, at: now })
	if (table.records.size <= MAX_RECORDS) return
	const oldest = table.records.keys().next().value
	if (oldest !== undefined) table.records.delete(oldest)
}

/** Returns the server that likely has the prefix cached; `credit`: confidence, 0 to 1. */
export function findPrefix(
	table: AffinityTable,
	prefix: number,
	now: number,
): { readonly server: string; readonly credit: number } | undefined {
	const record = table.records.get(prefix)
	if (!record) return undefined
	return {
		server: record.server,
		credit: 0.5 ** ((now - record.at) / HALF_LIFE_MS),
	}
}
