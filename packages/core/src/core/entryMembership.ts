/** Membership of the entries, as seen by this one. */

import type { EntryCount } from '../internal.ts'

/** An entry without contact for this long is not considered reachable, ms. */
export const PEER_TIMEOUT_MS = 2_000
/** For this long after its last contact, an entry counts as cut off, not as gone, ms. */
const RETENTION_MS = 60_000

interface KnownEntry {
	/** When it was discovered or last contacted this entry, ms. */
	knownAt: number
	/** When it last contacted this entry, ms. */
	contactAt: number
}

/** The entries, by their control addresses. */
export interface EntryMembership {
	readonly others: Map<string, KnownEntry>
	/** This entry and the reachable others, sorted. */
	reachable: readonly string[]
	count: EntryCount
}

/** Creates the membership of an entry that knows only itself. */
export function createEntryMembership(own: string): EntryMembership {
	return {
		others: new Map(),
		reachable: [own],
		count: { reachable: 1, known: 1, index: 0 },
	}
}

/** Records that another entry has been discovered. */
export function recordEntryDiscovered(
	{ others }: EntryMembership,
	address: string,
	now: number,
): void {
	if (others.has(address)) return
	others.set(address, { knownAt: now, contactAt: Number.NEGATIVE_INFINITY })
}

/** Records contact from another entry. */
export function recordEntryContact(
	{ others }: EntryMembership,
	address: string,
	now: number,
): void {
	others.set(address, { knownAt: now, contactAt: now })
}

/**
 * Updates the reachable entries and the counts; returns whether the reachable entries
 * have changed. Entries without a link to this one cannot contact it and count as
 * reachable.
 */
export function updateEntryMembership(
	membership: EntryMembership,
	own: string,
	isLinked: (address: string) => boolean,
	now: number,
): boolean {
	const known = [...membership.others]
		.filter(([, { knownAt }]) => now - knownAt <= RETENTION_MS)
		.map(([address]) => address)
	const reachable = known.filter(address => {
		const { contactAt } = membership.others.get(address)!
		return now - contactAt <= PEER_TIMEOUT_MS || !isLinked(address)
	})
	const previous = membership.reachable
	membership.reachable = [own, ...reachable].sort()
	membership.count = {
		reachable: membership.reachable.length,
		known: known.length + 1,
		index: known.filter(address => address < own).length,
	}
	return previous.join() !== membership.reachable.join()
}
