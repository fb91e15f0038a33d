/**
 * The published list of backend servers as one process believes it, mended by any
 * contact: for each name the latest record wins, so that it never goes back to an older
 * one, whoever it came from. Where the source itself goes back to an older copy, lives of
 * servers that are known to be over do not come back with it.
 */

import type { TermRevision } from '../internal.ts'
import { isLater, laterOf, NO_REVISION } from '../internal.ts'
import type { ListedServer } from '../types/traffic.ts'

/**
 * A life that was believed gone, and that an older copy of the source lists, is used if it
 * is still listed after this time, ms: the entry of one that has ended has run out by then.
 */
const RETURN_MS = 5_000
/** Lives that are remembered as gone, the last ones. */
const MAX_GONE = 1_024

/** What is known of the server published under a name. */
export interface ServerRecord {
	readonly name: string
	/** Revision of the change that the record speaks of. */
	readonly revision: TermRevision
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
	readonly pendingRemovals: Map<string, { record: ServerRecord; until: number }>
	/** Ids whose address is known to belong to another server now. */
	readonly displaced: Set<string>
	/** Ids of lives that are over for good: they said so, or another one followed. */
	readonly departed: Set<string>
	/** Ids whose entry was removed, without a word; the oldest first. */
	readonly removed: Set<string>
	/** What an older copy lists of those, and when it will be believed, ms. */
	readonly pendingReturns: Map<string, { record: ServerRecord; until: number }>
	/** The latest revision among the records that came. */
	revision: TermRevision
	/** Up to where this process has itself read what is published. */
	readUpTo: TermRevision
}

/** Makes an empty list. */
export function createServerList(): ServerList {
	return {
		records: new Map(),
		pendingRemovals: new Map(),
		displaced: new Set(),
		departed: new Set(),
		removed: new Set(),
		pendingReturns: new Map(),
		revision: NO_REVISION,
		readUpTo: NO_REVISION,
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
export function applyRecord(list: ServerList, record: ServerRecord): boolean {
	const known = list.records.get(record.name)
	if (known && !isLater(record.revision, known.revision)) return false
	// Also for a record that is passed over: else it is asked for for ever.
	list.revision = laterOf(list.revision, record.revision)
	const { server } = record
	// An incarnation that leaves does not come back.
	if (server && !server.leaving && list.departed.has(server.id)) return false
	if (server?.leaving) list.departed.add(server.id)
	if (known?.server) recordFormer(list, known, record)
	if (server) list.removed.delete(server.id)
	list.records.set(record.name, record)
	list.pendingRemovals.delete(record.name)
	list.pendingReturns.delete(record.name)
	return true
}

/** Remembers the life that a record puts an end to. */
function recordFormer(
	list: ServerList,
	known: ServerRecord,
	{ server, fault, revision }: ServerRecord,
): void {
	const former = known.server!.id
	if (server?.id === former || fault !== undefined) return
	// An older copy may name a life from before the one that is known.
	const isCopy = known.revision.term !== revision.term
	if (server && !isCopy) list.departed.add(former)
	if (server) return
	list.removed.add(former)
	const [oldest] = list.removed
	if (list.removed.size > MAX_GONE) list.removed.delete(oldest!)
}

/**
 * Takes a record of a source that came back from an older copy; true when it is news. A
 * life that was gone before may have ended: it is believed only if it is listed for long
 * enough, or written again.
 */
export function applyRestoredRecord(
	list: ServerList,
	record: ServerRecord,
	now: number,
): boolean {
	const { name, server, revision } = record
	const before = list.records.get(name)?.revision.term ?? 0
	const mayBeOver = server && list.removed.has(server.id)
	if (!mayBeOver || before >= revision.term) return applyRecord(list, record)
	list.revision = laterOf(list.revision, revision)
	list.pendingReturns.set(name, { record, until: now + RETURN_MS })
	return false
}

/**
 * Takes a record that another process tells; true when it is news. What this one has read
 * past is not: of a server that was removed since it may not know.
 */
export function applyPeerRecord(
	list: ServerList,
	record: ServerRecord,
	now: number,
): boolean {
	if (!isLater(record.revision, list.readUpTo)) return false
	return applyRestoredRecord(list, record, now)
}

/** Notes up to where this process has itself read what is published. */
export function recordRead(list: ServerList, revision: TermRevision): void {
	list.readUpTo = laterOf(list.readUpTo, revision)
}

/** Believes the returns whose time has come; gives the records taken. */
export function confirmReturns(list: ServerList, now: number): ServerRecord[] {
	const settled: ServerRecord[] = []
	for (const [name, { record, until }] of list.pendingReturns) {
		if (now < until) continue
		list.pendingReturns.delete(name)
		if (applyRecord(list, record)) settled.push(record)
	}
	return settled
}

/** Notes that a server itself has said that it is another one. */
export function markDisplaced(list: ServerList, id: string): void {
	list.displaced.add(id)
}

/**
 * Takes a removal that may only be an entry that ran out while the store was
 * away: it is believed at `until` unless the entry comes back first.
 */
export function deferRemoval(
	list: ServerList,
	record: ServerRecord,
	until: number,
): void {
	const known = list.records.get(record.name)
	if (list.pendingReturns.has(record.name)) applyRecord(list, record)
	if (!known?.server || !isLater(record.revision, known.revision)) return
	if (known.server.leaving) {
		applyRecord(list, record)
		return
	}
	const doubted = list.pendingRemovals.get(record.name)?.record.revision
	// After another copy the server has its time to be written again anew.
	if (!doubted || record.revision.term > doubted.term)
		list.pendingRemovals.set(record.name, { record, until })
}

/** Believes the removals whose time has come; gives them. */
export function confirmRemovals(list: ServerList, now: number): ServerRecord[] {
	const settled: ServerRecord[] = []
	for (const [name, { record, until }] of list.pendingRemovals) {
		if (now < until) continue
		list.pendingRemovals.delete(name)
		if (applyRecord(list, record)) settled.push(record)
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
		if (other && isLater(other.revision, record.revision)) continue
		newest.set(server.address, { ...record, server })
	}
	const there = [...newest.values()].map(({ server }) => server)
	return there.filter(
		({ id, leaving }) =>
			!leaving && !list.displaced.has(id) && !list.departed.has(id),
	)
}

/**
 * Removals that a full reading as of `revision` implies: known servers that are
 * not among `present`.
 */
export function findMissing(
	list: ServerList,
	present: ReadonlySet<string>,
	revision: TermRevision,
): ServerRecord[] {
	const missing: ServerRecord[] = []
	for (const { name, server } of list.records.values())
		if ((server || list.pendingReturns.has(name)) && !present.has(name))
			missing.push({ name, revision, server: undefined })
	return missing
}
