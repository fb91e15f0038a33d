/** Free capacity of lock-step groups whose coordinators limit their requests in flight. */

import type { ServerTable } from '../internal.ts'

/**
 * Returns the lock-step groups that are full. `hasRoom` decides for each group with a
 * limit, given its free capacity: the sum of its ranks' limits less their requests in
 * flight, over the ranks where requests may start; a cold rank adds no more than may
 * start there now. A limit may be fractional: a rank may then have up to the next whole number in
 * flight, but not all ranks at once. Loads reported by other entries are multiplied by
 * `peerScale`, to account for entries that have not reported.
 */
export function listFullGroups(
	table: ServerTable,
	hasRoom: (group: number, capacity: number) => boolean = hasWholeSlot,
	peerScale = 1,
): Set<number> {
	const capacities = new Map<number, number>()
	for (const [row, group] of table.group.entries()) {
		const limit = table.maxInFlight[row]!
		if (group < 0 || limit === Number.POSITIVE_INFINITY) continue
		if (table.startsLeft[row] === 0) continue
		const ofPeers = peerScale * Math.max(0, table.reportedLoad[row]!)
		const free = limit - ofPeers - table.sentSinceReport[row]!
		const bounded = Math.min(free, table.startsLeft[row]!)
		capacities.set(group, (capacities.get(group) ?? 0) + bounded)
	}
	const full = [...capacities].filter(
		([group, capacity]) => !hasRoom(group, capacity),
	)
	return new Set(full.map(([group]) => group))
}

function hasWholeSlot(_group: number, capacity: number): boolean {
	return capacity >= 1
}
