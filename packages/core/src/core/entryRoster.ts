/** Which entries there are, as far as this one hears. */

import type { EntryCount } from '../internal.ts'

/** An entry that has been silent for this long is not counted on, ms. */
export const PEER_SILENT_MS = 2_000
/** An entry counts as one that is cut off, not gone, for this long, ms. */
const KNOWN_MS = 60_000

/** What is known of another entry. */
interface KnownEntry {
	/** When it was first named, or last heard, ms. */
	knownAt: number
	heardAt: number
}

/** The entries by their control addresses. */
export interface EntryRoster {
	readonly others: Map<string, KnownEntry>
	/** This entry and those that it hears. */
	heard: readonly string[]
	count: EntryCount
}

/** Makes the roster of an entry that knows of itself only. */
export function createEntryRoster(own: string): EntryRoster {
	return {
		others: new Map(),
		heard: [own],
		count: { heard: 1, known: 1, place: 0 },
	}
}

/** Notes that another entry has been named. */
export function noteEntryNamed(
	{ others }: EntryRoster,
	address: string,
	now: number,
): void {
	if (others.has(address)) return
	others.set(address, { knownAt: now, heardAt: Number.NEGATIVE_INFINITY })
}

/** Notes that another entry has been heard. */
export function noteEntryHeard(
	{ others }: EntryRoster,
	address: string,
	now: number,
): void {
	others.set(address, { knownAt: now, heardAt: now })
}

/**
 * Takes stock; true when other entries are heard than before. Of entries that this one
 * is not linked to nothing is heard: they count as heard.
 */
export function lookAtRoster(
	roster: EntryRoster,
	own: string,
	isLinked: (address: string) => boolean,
	now: number,
): boolean {
	const known = [...roster.others]
		.filter(([, { knownAt }]) => now - knownAt <= KNOWN_MS)
		.map(([address]) => address)
	const heard = known.filter(address => {
		const { heardAt } = roster.others.get(address)!
		return now - heardAt <= PEER_SILENT_MS || !isLinked(address)
	})
	const before = roster.heard
	roster.heard = [own, ...heard].sort()
	roster.count = {
		heard: roster.heard.length,
		known: known.length + 1,
		place: known.filter(address => address < own).length,
	}
	return before.join() !== roster.heard.join()
}
