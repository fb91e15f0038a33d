/**
 * The published list of backend servers as one process believes it, mended by
 * any contact: for each id the record with the highest revision wins, so that
 * it never goes back to an older one, whoever it came from.
 */

import type { ListedServer } from '../types/traffic.ts'

/** What is known of the server published under a name. */
export interface ServerRecord {
	readonly name: string
	/** Revision of the change that the record speaks of. */
	readonly revision: number
	/** Absent once the entry has been removed, and while it names no server. */
	readonly server: ListedServer | undefined
	/** Why an entry that is there names no server. */
	readonly fault?: string | undefined
}

/** What a process believes of the list. */
export interface ServerList {
	/** By name. */
	readonly records: Map<string, ServerRecord>
	/** Removals that are not believed yet, and when they will be, ms. */
	readonly doubted: Map<string, { record: ServerRecord; until: number }>
	/** Ids whose address is known to belong to another server now. */
	readonly displaced: Set<string>
	/** Ids that have said that they leave. */
	readonly left: Set<string>
	/** Highest revision among the records that came. */
	revision: number
}

/** Makes an empty list. */
export function createServerList(): ServerList {
	return {
		records: new Map(),
		doubted: new Map(),
		displaced: new Set(),
		left: new Set(),
		revision: 0,
	}
}

/**
 * Identifies one life of a server: after a restart under the same name nothing
 * that was held, failed or promised before it counts. `bornAt` is the time of its
 * start, Unix ms; undefined where a name belongs to one life alone.
 */
export function incarnationId(
	name: string,
	bornAt: number | undefined,
): string {
	return bornAt === undefined ? name : `${name}@${bornAt}`
}

/** Takes a record; true when it is news. */
export function takeRecord(list: ServerList, record: ServerRecord): boolean {
	const known = list.records.get(record.name)
	if (known && known.revision >= record.revision) return false
	// Also for a record that is passed over: else it is asked for for ever.
	list.revision = Math.max(list.revision, record.revision)
	const { server } = record
	// An incarnation that leaves does not come back.
	if (server && !server.leaving && list.left.has(server.id)) return false
	if (server?.leaving) list.left.add(server.id)
	list.records.set(record.name, record)
	list.doubted.delete(record.name)
	return true
}

/** Notes that a server itself has said that it is another one. */
export function noteDisplaced(list: ServerList, id: string): void {
	list.displaced.add(id)
}

/**
 * Takes a removal that may only be an entry that ran out while the store was
 * away: it is believed at `until` unless the entry comes back first.
 */
export function doubtRemoval(
	list: ServerList,
	record: ServerRecord,
	until: number,
): void {
	const known = list.records.get(record.name)
	if (!known?.server || known.revision >= record.revision) return
	if (known.server.leaving) takeRecord(list, record)
	else if (!list.doubted.has(record.name))
		list.doubted.set(record.name, { record, until })
}

/** Believes the removals whose time has come; gives the names removed. */
export function settleRemovals(list: ServerList, now: number): string[] {
	const settled: string[] = []
	for (const [name, { record, until }] of list.doubted) {
		if (now < until) continue
		list.doubted.delete(name)
		if (takeRecord(list, record)) settled.push(name)
	}
	return settled
}

/**
 * Servers of known services that are neither removed, displaced nor leaving. An
 * entry of an unknown service says nothing of whoever else has its address.
 */
export function listServing(
	list: ServerList,
	isKnown: (service: string) => boolean,
): ListedServer[] {
	const newest = new Map<string, ServerRecord & { server: ListedServer }>()
	for (const { server, ...record } of list.records.values()) {
		if (!server || !isKnown(server.service)) continue
		// A new server at an address shows that the one listed there has ended.
		const other = newest.get(server.address)
		if (other && other.revision > record.revision) continue
		newest.set(server.address, { ...record, server })
	}
	const there = [...newest.values()].map(({ server }) => server)
	return there.filter(({ id, leaving }) => !leaving && !list.displaced.has(id))
}

/**
 * Removals that a full reading as of `revision` implies: known servers that are
 * not among `present`.
 */
export function findMissing(
	list: ServerList,
	present: ReadonlySet<string>,
	revision: number,
): ServerRecord[] {
	const missing: ServerRecord[] = []
	for (const record of list.records.values())
		if (record.server && !present.has(record.name))
			missing.push({ name: record.name, revision, server: undefined })
	return missing
}
