/** Servers that say in their answers that they leave, and what they are sent after that. */

import type { RequestRecord } from './types.ts'
import { count, recordViolation } from './types.ts'
import type { World } from './world.ts'

/** Nothing comes from an entry that a caller asks later than this after the answer, ms. */
const DRAIN_MS = 2_000

/** An answer by which a caller heard that a server leaves. */
export interface RelayedLeaving {
	readonly serverId: string
	readonly entry: number
	/** The entry's life. */
	readonly incarnation: number
	readonly at: number
}

/** The server whose seal an answer carries. */
export function serverOfSeal(seal: string | undefined): string | undefined {
	return seal?.startsWith('seal-') ? seal.slice('seal-'.length) : undefined
}

/** Notes an answer that an entry has passed on. */
export function recordRelayedLeaving(
	world: World,
	{ entry, incarnation }: RequestRecord,
	serverId: string | undefined,
): void {
	if (serverId === undefined) return
	const at = performance.now()
	world.relayedLeavings.push({ serverId, entry, incarnation, at })
}

/** Judges all entries, whatever befell them: only another life may not know. */
export function checkLeaving(world: World): void {
	const { record, relayedLeavings } = world
	count(record, 'answers of servers that leave', relayedLeavings.length)
	for (const { serverId, entry, incarnation, at } of relayedLeavings)
		for (const request of record.requests.values()) {
			if (request.entry !== entry || request.incarnation !== incarnation)
				continue
			if (request.sentAt <= at + DRAIN_MS) continue
			const runs = record.runs.get(request.id) ?? []
			if (!runs.some(run => run.serverId === serverId)) continue
			recordViolation(
				record,
				'DRAIN',
				`${serverId} runs ${request.id} though entry-${entry} had passed on that it leaves`,
			)
			return
		}
}
