/**
 * How entries that decide apart use servers together: which part of what comes
 * they take, and which servers each turns to first. Entries learn of each other's
 * requests a fifth of a second late, while a seventh of all requests at a group of
 * 192 ranks are new; until then each assumes that the others do as it does.
 */

/** An entry's demand of late, requests a second. */
export interface EntryDemand {
	readonly name: string
	readonly dataCentre: string
	readonly perSecond: number
}

/**
 * Every entry counts as if this came to it besides, requests a second: one that
 * had nothing of late may still send the first request that comes.
 */
const LEAST_PER_SECOND = 0.5
const SECOND_MS = 1_000

function weightOf({ perSecond }: EntryDemand): number {
	return perSecond + LEAST_PER_SECOND
}

/** What comes to and leaves a group by way of all entries. */
export interface GroupTraffic {
	/** Requests that come to all entries, a second. */
	readonly perSecond: number
	/** Requests that end at the group, a second. */
	readonly endedPerSecond: number
	/** Within this time, places that are free are to be taken, ms. */
	readonly horizonMs: number
}

/**
 * Part of the requests that entries take now, when `room` places of a group are
 * free as far as is known; negative for fewer than none. What ends meanwhile is
 * free as well. As each entry takes the same part of what comes to it, all turn
 * callers away alike, and it does not matter to whom places fall free.
 */
export function admittedFraction(
	room: number,
	{ perSecond, endedPerSecond, horizonMs }: GroupTraffic,
): number {
	const places = endedPerSecond + (room * SECOND_MS) / horizonMs
	return places / Math.max(perSecond, LEAST_PER_SECOND)
}

/** A server as the shares of entries are dealt. */
export interface AssignableServer {
	readonly id: string
	readonly dataCentre: string
}

/**
 * Places in `servers` that an entry turns to first: a run of them as long as its
 * part of the demand. Entries and servers are laid out data centre by data centre,
 * so that the two mostly meet in their own; entries that know of the same demand
 * deal each server to one of them.
 */
export function assignServers(
	own: EntryDemand,
	others: readonly EntryDemand[],
	servers: readonly AssignableServer[],
): number[] {
	const entries = [own, ...others].sort(
		(a, b) => compare(a.dataCentre, b.dataCentre) || compare(a.name, b.name),
	)
	const order = [...servers.keys()].sort(
		(a, b) =>
			compare(servers[a]!.dataCentre, servers[b]!.dataCentre) ||
			compare(servers[a]!.id, servers[b]!.id),
	)
	const total = entries.reduce((sum, entry) => sum + weightOf(entry), 0)
	let before = 0
	for (const entry of entries) {
		if (entry === own) break
		before += weightOf(entry)
	}
	const from = (before / total) * servers.length
	const to = ((before + weightOf(own)) / total) * servers.length
	// A server belongs to the entry in whose run its middle lies.
	return order.filter((_, place) => place + 0.5 >= from && place + 0.5 < to)
}

function compare(a: string, b: string): number {
	if (a === b) return 0
	return a < b ? -1 : 1
}

/**
 * Requests that a server seems to hold, before its own entry tells of them, where
 * few are sent: what that entry has sent there of late is not known yet.
 */
const LEAST_ELSEWHERE = 0.75
/** Others are taken to be ahead by this part of a request, so that no tie is drawn. */
const AHEAD = 0.25

/**
 * Requests that a server dealt to another entry seems to hold besides those known
 * of: as many as this entry, which has sent `untold` requests since entries told
 * each other, has given to each of its `own` servers that are open.
 */
export function estimateUnreportedLoad(untold: number, own: number): number {
	return Math.max(LEAST_ELSEWHERE, untold / Math.max(1, own) + AHEAD)
}
