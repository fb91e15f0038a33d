/** Which entries there are, as far as this one hears. */

import type { EntryCount } from '../internal.ts'

/** An entry that has been silent for this long is not counted on, ms. */
export const PEER_TIMEOUT_MS = 2_000
/** An entry counts as one that is cut off, not gone, for this long, ms. */
const KNOWN_MS = 60_000

/** What is known of another entry. */
interface KnownEntry {
	/** When it was first named, or last heard, ms. */
	knownAt: number
	heardAt: number
}

/** The entries by their control addresses. */
export interface EntryMembership {
	readonly others: Map<string, KnownEntry>
	/** This entry and those that it hears. */
	reachable: readonly string[]
	count: EntryCount
}

/** Makes the roster of an entry that knows of itself only. */
export function createEntryMembership(own: string): EntryMembership {
	return {
		others: new Map(),
		reachable: [own],
		count: { reachable: 1, known: 1, index: 0 },
	}
}

/** Notes that another entry has been named. */
export function recordEntryDiscovered(
	{ others }: EntryMembership,
	address: string,
	now: number,
): void {
	if (others.has(address)) return
	others.set(address, { knownAt: now, heardAt: Number.NEGATIVE_INFINITY })
}

/** Notes that another entry has been heard. */
export function recordEntryContact(
	{ others }: EntryMembership,
	address: string,
	now: number,
): void {
	others.set(address, { knownAt: now, heardAt: now })
}

/**
 * Takes stock; true when other entries are heard than before. Of entries that this one
 * is not linked to nothing is heard: they count as heard.
 */
export function updateEntryMembership(
	roster: EntryMembership,
	own: string,
	isLinked: (address: string) => boolean,
	now: number,
): boolean {
	const known = [...roster.others]
		.filter(([, { knownAt }]) => now - knownAt <= KNOWN_MS)
		.map(([address]) => address)
	const heard = known.filter(address => {
		const { heardAt } = roster.others.get(address)!
		return now - heardAt <= PEER_TIMEOUT_MS || !isLinked(address)
	})
	const before = roster.reachable
	roster.reachable = [own, ...heard].sort()
	roster.count = {
		reachable: roster.reachable.length,
		known: known.length + 1,
		index: known.filter(address => address < own).length,
	}
	return before.join() !== roster.reachable.join()
}
