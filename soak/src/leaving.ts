/**
 * Checks that an entry sends nothing more to a server whose answer announced its
 * leaving.
 */

import type { RequestRecord } from './types.ts'
import { count, recordViolation } from './types.ts'
import type { World } from './world.ts'

/**
 * Requests that an entry receives this long after it relayed the answer must not reach
 * the server, ms.
 */
const DRAIN_MS = 2_000

/** An answer of a leaving server that an entry relayed to a caller. */
export interface RelayedLeaving {
	readonly serverId: string
	readonly entry: number
	/** The entry's incarnation. */
	readonly incarnation: number
	readonly at: number
}

/** Returns the id of the server that an answer's seal names. */
export function serverOfSeal(seal: string | undefined): string | undefined {
	return seal?.startsWith('seal-') ? seal.slice('seal-'.length) : undefined
}

/** Records an answer of a leaving server that an entry has relayed. */
export function recordRelayedLeaving(
	world: World,
	{ entry, incarnation }: RequestRecord,
	serverId: string | undefined,
): void {
	if (serverId === undefined) return
	const at = performance.now()
	world.relayedLeavings.push({ serverId, entry, incarnation, at })
}

/**
 * Checks all entries, including disturbed ones: an entry that has relayed the answer has
 * received it. Only a later incarnation of the entry may lack it.
 */
export function checkLeaving(world: World): void {
	const { record, relayedLeavings } = world
	count(record, 'answers of leaving servers', relayedLeavings.length)
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
				`${serverId} runs ${request.id} though entry-${entry} had relayed that it is leaving`,
			)
			return
		}
}
