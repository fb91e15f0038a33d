/**
 * Which server takes a request when an entry sends to servers itself: the one
 * with the least part of its slots taken, as far as this entry and its peers
 * know, among those that have room.
 */

import type { Random, ServerTable } from '../internal.ts'
import { drawIndex, isEjected } from '../internal.ts'

/** What a choice is made from. */
export interface DispatchQuery {
	/** Rows of the service. */
	readonly rows: readonly number[]
	/** Rows that this request has been to. */
	readonly tried: ReadonlySet<number>
	/** Requests that a server may hold beyond its slots. */
	readonly queueRoom: number
	/** This entry's data centre is where these rows are. */
	readonly near: ReadonlySet<number>
}

/** What a choice gives. */
export type DispatchChoice =
	| { readonly kind: 'row'; readonly row: number }
	/** All servers are full. */
	| { readonly kind: 'full' }
	/** There is no server at all. */
	| { readonly kind: 'none' }

/** Load that a server in another data centre seems to have in addition. */
const FAR_LOAD = 0.02
/** Most of a service's servers that may be left alone for their failures. */
const MAX_EJECTED = 0.5

/** Chooses a server. */
export function chooseRow(
	table: ServerTable,
	query: DispatchQuery,
	now: number,
	random: Random,
): DispatchChoice {
	const open = query.rows.filter(row => table.open[row] === 1)
	if (open.length === 0) return { kind: 'none' }
	const fresh = open.filter(row => !query.tried.has(row))
	const untried = fresh.length > 0 ? fresh : open
	const sound = untried.filter(row => !isEjected(table, row, now))
	const enough = sound.length >= open.length * (1 - MAX_EJECTED)
	const candidates = enough && sound.length > 0 ? sound : untried
	let best = -1
	let bestLoad = Number.POSITIVE_INFINITY
	const first = drawIndex(random, candidates.length)
	for (let at = 0; at < candidates.length; at++) {
		const row = candidates[(first + at) % candidates.length]!
		const held = heldBy(table, row)
		const slots = table.slots[row]!
		if (held >= slots + query.queueRoom) continue
		const load = held / slots + (query.near.has(row) ? 0 : FAR_LOAD)
		if (load >= bestLoad) continue
		best = row
		bestLoad = load
	}
	return best < 0 ? { kind: 'full' } : { kind: 'row', row: best }
}

/** Requests that a server holds, as far as is known. */
export function heldBy(table: ServerTable, row: number): number {
	return Math.max(0, table.reported[row]!) + table.sentSince[row]!
}
