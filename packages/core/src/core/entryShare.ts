/**
 * How entries share servers without coordinating each request: the fraction of their
 * requests they admit, and the servers that each of them prefers. Entries learn of each
 * other's requests about 0.2 s late, and at a group of 192 ranks a seventh of all
 * requests in flight are newer than that. For these, each entry assumes that the others
 * behave as it does.
 */

/** Recent demand of an entry, requests per second. */
export interface EntryDemand {
	readonly name: string
	readonly dataCentre: string
	readonly perSecond: number
}

/**
 * Added to the demand of every entry, requests per second, so that an entry without
 * recent requests may still send the first one that arrives.
 */
export const MIN_PER_SECOND = 0.5
const SECOND_MS = 1_000

function weightOf({ perSecond }: EntryDemand): number {
	return perSecond + MIN_PER_SECOND
}

/** Arrivals and completions at a group, over all entries. */
export interface GroupTraffic {
	/** Requests per second that arrive at all entries. */
	readonly arrivalsPerSecond: number
	/** Requests per second that the group completes. */
	readonly completionsPerSecond: number
	/** Time within which free slots are to be filled, ms. */
	readonly horizonMs: number
}

/**
 * Returns the fraction of arriving requests that entries may admit while, as far as
 * known, `freeSlots` slots of a group are free; negative if the group is over its limit.
 * Slots freed by completing requests are included. All entries admit the same fraction
 * of their own arrivals, so they refuse callers alike, whichever entry's requests
 * complete.
 */
export function admittedFraction(
	freeSlots: number,
	traffic: GroupTraffic,
): number {
	return fractionOf(slotsPerSecond(freeSlots, traffic), traffic)
}

/** Returns the fraction of all arriving requests that `perSecond` slots serve. */
export function fractionOf(
	perSecond: number,
	{ arrivalsPerSecond }: GroupTraffic,
): number {
	return perSecond / Math.max(arrivalsPerSecond, MIN_PER_SECOND)
}

/** Returns the rate at which slots of a group are to be filled, per second. */
export function slotsPerSecond(
	freeSlots: number,
	{ completionsPerSecond, horizonMs }: GroupTraffic,
): number {
	return completionsPerSecond + (freeSlots * SECOND_MS) / horizonMs
}

/** A server to be assigned to an entry. */
export interface AssignableServer {
	readonly id: string
	readonly dataCentre: string
}

/**
 * Returns the indices of the servers that an entry prefers: a contiguous range in
 * proportion to its share of the demand. Entries and servers are ordered by data centre,
 * so most assignments stay within one. Entries with the same view of the demand assign
 * each server to exactly one of them.
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
	let preceding = 0
	for (const entry of entries) {
		if (entry === own) break
		preceding += weightOf(entry)
	}
	const from = (preceding / total) * servers.length
	const to = ((preceding + weightOf(own)) / total) * servers.length
	// A server belongs to the entry whose range contains its midpoint.
	return order.filter((_, index) => index + 0.5 >= from && index + 0.5 < to)
}

function compare(a: string, b: string): number {
	if (a === b) return 0
	return a < b ? -1 : 1
}

/**
 * Minimum estimate of the unreported requests at a server assigned to another entry,
 * for low rates: what that entry has sent recently is not known yet.
 */
const MIN_UNREPORTED = 0.75
/** Added to the estimate for other entries, in requests, so that own servers win ties. */
const TIE_BREAK = 0.25

/**
 * Estimates the unreported requests at a server assigned to another entry: as many as
 * this entry has sent to each of its own available servers since the last report.
 * `unreported` is the number of requests it has sent since then, `ownServers` the number
 * of its available servers.
 */
export function estimateUnreportedLoad(
	unreported: number,
	ownServers: number,
): number {
	return Math.max(
		MIN_UNREPORTED,
		unreported / Math.max(1, ownServers) + TIE_BREAK,
	)
}
