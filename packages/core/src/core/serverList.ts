/**
 * A process's replica of the published list of backend servers, updated from the source
 * and from peers. For each name the record with the latest revision wins, whichever
 * process it came from, so that the replica never goes back. If the source itself is
 * restored from an older copy, server incarnations that are known to have ended do not
 * reappear with it.
 */

import type { TermRevision } from '../internal.ts'
import { isLater, laterOf, NO_REVISION } from '../internal.ts'
import type { ListedServer } from '../types/traffic.ts'

/**
 * Delay after which a removed incarnation that a restored source lists again is accepted,
 * ms: the record of one that has ended expires within this time.
 */
const RETURN_DELAY_MS = 5_000
/** Maximum removed incarnations retained; the oldest are evicted. */
const MAX_REMOVED = 1_024
/** Maximum departed incarnations retained, four for each server of a large fleet. */
const MAX_DEPARTED = 16_384

/** Record published under a server's name. */
export interface ServerRecord {
	readonly name: string
	/** Revision of the change that produced the record. */
	readonly revision: TermRevision
	/** Undefined once the record is removed, and while it is invalid. */
	readonly server: ListedServer | undefined
	/** Why a record that exists is invalid. */
	readonly fault?: string | undefined
}

/** A process's replica of the list. */
export interface ServerList {
	/** By name. */
	readonly records: Map<string, ServerRecord>
	/** Deferred removals by name, and when they take effect, ms. */
	readonly pendingRemovals: Map<string, { record: ServerRecord; until: number }>
	/** Ids of incarnations whose address is known to belong to another server now. */
	readonly displaced: Set<string>
	/** Ids of incarnations that announced their departure or were replaced by another one. */
	readonly departed: Set<string>
	/** Ids of incarnations whose record was removed without notice; the oldest first. */
	readonly removed: Set<string>
	/** Removed incarnations that a restored source lists again, by name. */
	readonly pendingReturns: Map<string, { record: ServerRecord; until: number }>
	/** Latest revision among all records received. */
	revision: TermRevision
	/** Revision up to which this process has read the source itself. */
	readUpTo: TermRevision
}

/** Records an incarnation as departed; the oldest are evicted. */
export function recordDeparted(departed: Set<string>, id: string): void {
	departed.add(id)
	if (departed.size <= MAX_DEPARTED) return
	const [oldest] = departed
	departed.delete(oldest!)
}

/** Creates an empty list. */
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
 * Returns the id of one incarnation of a server: state from before a restart under the
 * same name, such as load, failures and backoff, does not carry over. `bornAt` is its
 * start time, Unix ms; undefined if a name has only one incarnation.
 */
export function incarnationId(
	name: string,
	bornAt: number | undefined,
): string {
	return bornAt === undefined ? name : `${name}@${bornAt}`
}

/** Applies a record; returns true if it changes the list. */
export function applyRecord(list: ServerList, record: ServerRecord): boolean {
	const known = list.records.get(record.name)
	if (known && !isLater(record.revision, known.revision)) return false
	// Also updated for a record that is ignored below, or it would be pulled for ever.
	list.revision = laterOf(list.revision, record.revision)
	const { server } = record
	// An incarnation that has left does not come back.
	if (server && !server.leaving && list.departed.has(server.id)) return false
	if (server?.leaving) recordDeparted(list.departed, server.id)
	if (known?.server) retireFormer(list, known, record)
	if (server) list.removed.delete(server.id)
	list.records.set(record.name, record)
	list.pendingRemovals.delete(record.name)
	list.pendingReturns.delete(record.name)
	return true
}

/** Records as departed or removed the incarnation that a record replaces or removes. */
function retireFormer(
	list: ServerList,
	known: ServerRecord,
	{ server, fault, revision }: ServerRecord,
): void {
	const former = known.server!.id
	if (server?.id === former || fault !== undefined) return
	// A restored source may list an incarnation older than the known one.
	const isRestored = known.revision.term !== revision.term
	if (server && !isRestored) recordDeparted(list.departed, former)
	if (server) return
	list.removed.add(former)
	const [oldest] = list.removed
	if (list.removed.size > MAX_REMOVED) list.removed.delete(oldest!)
}

/**
 * Applies a record of a source that may have been restored from an older copy; returns
 * true if it changes the list. An incarnation that was removed before may have ended: it
 * is accepted only if it stays listed for `RETURN_DELAY_MS` or is written again.
 */
export function applyRestoredRecord(
	list: ServerList,
	record: ServerRecord,
	now: number,
): boolean {
	const { name, server, revision } = record
	const knownTerm = list.records.get(name)?.revision.term ?? 0
	const mayHaveEnded = server && list.removed.has(server.id)
	if (!mayHaveEnded || knownTerm >= revision.term)
		return applyRecord(list, record)
	list.revision = laterOf(list.revision, revision)
	list.pendingReturns.set(name, { record, until: now + RETURN_DELAY_MS })
	return false
}

/**
 * Applies a record received from a peer; returns true if it changes the list. Records at
 * or below the revision read from the source are ignored: the peer may not know that the
 * server has been removed since.
 */
export function applyPeerRecord(
	list: ServerList,
	record: ServerRecord,
	now: number,
): boolean {
	if (!isLater(record.revision, list.readUpTo)) return false
	return applyRestoredRecord(list, record, now)
}

/** Records the revision up to which this process has read the source itself. */
export function recordRead(list: ServerList, revision: TermRevision): void {
	list.readUpTo = laterOf(list.readUpTo, revision)
}

/** Applies the pending returns that are due; returns the records applied. */
export function confirmReturns(list: ServerList, now: number): ServerRecord[] {
	const applied: ServerRecord[] = []
	for (const [name, { record, until }] of list.pendingReturns) {
		if (now < until) continue
		list.pendingReturns.delete(name)
		if (applyRecord(list, record)) applied.push(record)
	}
	return applied
}

/** Marks an incarnation whose address was found to belong to another server. */
export function markDisplaced(list: ServerList, id: string): void {
	list.displaced.add(id)
}

/**
 * Defers a removal that may only be a record that expired while the store was
 * unavailable: it takes effect at `until` unless the record is written again before.
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
	const pending = list.pendingRemovals.get(record.name)?.record.revision
	// After another restore of the source the grace period starts again.
	if (!pending || record.revision.term > pending.term)
		list.pendingRemovals.set(record.name, { record, until })
}

/** Applies the deferred removals that are due; returns the records applied. */
export function confirmRemovals(list: ServerList, now: number): ServerRecord[] {
	const applied: ServerRecord[] = []
	for (const [name, { record, until }] of list.pendingRemovals) {
		if (now < until) continue
		list.pendingRemovals.delete(name)
		if (applyRecord(list, record)) applied.push(record)
	}
	return applied
}

/**
 * Returns the servers of known services that are not removed, displaced, leaving or
 * departed. A record of an unknown service does not displace another server at its
 * address.
 */
export function listServing(
	list: ServerList,
	isKnown: (service: string) => boolean,
): ListedServer[] {
	const newest = new Map<string, ServerRecord & { server: ListedServer }>()
	for (const { server, ...record } of list.records.values()) {
		if (!server || !isKnown(server.service)) continue
		// A newer server at the same address shows that the older one has ended.
		const other = newest.get(server.address)
		if (other && isLater(other.revision, record.revision)) continue
		newest.set(server.address, { ...record, server })
	}
	const current = [...newest.values()].map(({ server }) => server)
	return current.filter(
		({ id, leaving }) =>
			!leaving && !list.displaced.has(id) && !list.departed.has(id),
	)
}

/**
 * Returns the removals that a full read at `revision` implies: known names that are not
 * among `present`.
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
