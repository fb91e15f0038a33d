/**
 * Prompt parts that servers have answered requests with. They tell a sound part from a
 * poison one when a server crashes under both.
 */

import type { ServedRecord, ServerCrash } from '@juniperhook/core'
import { subjectKeyOf, subjectOf } from '@juniperhook/core'

/** Maximum number of parts retained; those not answered for longest are evicted. */
const MAX_PARTS = 4_096
/** Maximum number of parts, the most recent, that are sent on a new link. */
const MAX_PARTS_TOLD = 512

/** When requests with a part were last answered, ms, by the part's id; oldest first. */
export type ServedParts = Map<string, number>

/** Records an answer to a request with these parts. */
export function recordServedParts(
	served: ServedParts,
	ids: readonly string[],
	at: number,
): void {
	for (const id of ids) {
		// Reinserted at the end, since the oldest are evicted first.
		served.delete(id)
		served.set(id, at)
	}
	while (served.size > MAX_PARTS) {
		const [oldest] = served.keys()
		served.delete(oldest!)
	}
}

/** Returns the ages of the most recent answers, ms, by the part's id, for another entry. */
export function listServedAges(
	served: ServedParts,
	now: number,
): Record<string, number> {
	const recent = [...served].slice(-MAX_PARTS_TOLD)
	return Object.fromEntries(
		recent.map(([id, at]) => [id, Math.max(0, Math.round(now - at))]),
	)
}

/** Whether a request with a part has been answered since a time, ms. */
export function isServedSince(
	served: ServedParts,
	id: string,
	since: number,
): boolean {
	return (served.get(id) ?? Number.NEGATIVE_INFINITY) >= since
}

/** Lists the answers with the parts that were in flight at crashes. */
export function listServedRecords(
	served: ServedParts,
	crashes: readonly ServerCrash[],
): ServedRecord[] {
	const keys = new Set(crashes.flatMap(({ ran }) => [...ran.keys()]))
	const records: ServedRecord[] = []
	for (const key of keys) {
		const subject = subjectOf(key)
		if (subject.kind !== 'part') continue
		const at = served.get(subject.id)
		if (at !== undefined) records.push({ subject: subjectKeyOf(subject), at })
	}
	return records
}
