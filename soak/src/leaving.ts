/** Servers that say in their answers that they leave, and what they are sent after that. */

import type { Asked } from './types.ts'
import { breakPromise, count } from './types.ts'
import type { World } from './world.ts'

/** Nothing comes from an entry that a caller asks later than this after the answer, ms. */
const DRAIN_MS = 2_000

/** An answer by which a caller heard that a server leaves. */
export interface PassedLeaving {
	readonly serverId: string
	readonly entry: number
	/** The entry's life. */
	readonly life: number
	readonly at: number
}

/** The server whose seal an answer carries. */
export function serverOfSeal(seal: string | undefined): string | undefined {
	return seal?.startsWith('seal-') ? seal.slice('seal-'.length) : undefined
}

/** Notes an answer that an entry has passed on. */
export function notePassed(
	world: World,
	{ entry, life }: Asked,
	serverId: string | undefined,
): void {
	if (serverId === undefined) return
	const at = performance.now()
	world.passedLeavings.push({ serverId, entry, life, at })
}

/** Judges all entries, whatever befell them: only another life may not know. */
export function judgeLeavings(world: World): void {
	const { record, passedLeavings } = world
	count(record, 'answers of servers that leave', passedLeavings.length)
	for (const { serverId, entry, life, at } of passedLeavings)
		for (const asked of record.asked.values()) {
			if (asked.entry !== entry || asked.life !== life) continue
			if (asked.sentAt <= at + DRAIN_MS) continue
			const runs = record.runs.get(asked.id) ?? []
			if (!runs.some(run => run.serverId === serverId)) continue
			breakPromise(
				record,
				'DRAIN',
				`${serverId} runs ${asked.id} though entry-${entry} had passed on that it leaves`,
			)
			return
		}
}
