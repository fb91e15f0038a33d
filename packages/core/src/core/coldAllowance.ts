/**
 * How many requests an entry may start at a cold server. All entries together keep a
 * bound in every second, also those that are cut off or have just started, while the
 * callers of all of them press on few warm servers. Each entry takes an even share of
 * the bound without messages. Where a share is below one request, only the server's
 * permit home sends.
 */

/**
 * Window over which an entry counts its requests to a server, ms: longer than the second
 * of the bound, as requests may wait for a connection on their way.
 */
export const COLD_WINDOW_MS = 1_200
/**
 * A pause of this process from which on its last requests may have left only now, ms;
 * it runs periodic work every 50 ms.
 */
const STALL_MS = 200
/**
 * Share of the known entries by which their number is counted higher, for those that
 * start at the same time and are not known yet: their callers are served as well.
 */
const NEWCOMER_SHARE = 1 / 8
/** Entries that a process counts while it may not have heard of all of them. */
export const ASSUMED_ENTRIES = 32
/** After its start, a process has not heard of all entries for this long, ms. */
const SETTLE_MS = 5_000
/** How long the largest number of entries counted remains in force, ms. */
const PEAK_RETENTION_MS = 600_000
/** Permit homes in force at a time: entries learn of a change at different times. */
const MAX_HOMES = 2

/** Bound on the requests that a cold server gets from all entries in any second. */
export interface ColdBound {
	/** Published rate, requests per second. */
	readonly perSecond: number
	/** Factor on the rate. */
	readonly factor: number
	/** Added requests. */
	readonly extra: number
}

/** What a process knows of the entries. */
export interface EntryKnowledge {
	/** Known entries, reachable or not, including this one. */
	readonly known: number
	/** Whether it has been given the addresses of other entries. */
	readonly hasOthers: boolean
	/** Whether another entry has sent its state since the start. */
	readonly hasPeerState: boolean
	/** Time since the start, ms. */
	readonly upMs: number
}

/** Largest number of entries counted recently. */
export interface EntryPeak {
	count: number
	/** When it was counted, ms. */
	at: number
}

/** Creates a peak without entries. */
export function createEntryPeak(): EntryPeak {
	return { count: 0, at: Number.NEGATIVE_INFINITY }
}

/**
 * Returns the number of entries among which a bound is divided. An entry that is cut off
 * forgets the others after some time, but they still send: the largest recent number
 * stays in force.
 */
export function countSharers(
	peak: EntryPeak,
	{ known, hasOthers, hasPeerState, upMs }: EntryKnowledge,
	now: number,
): number {
	const isAlone = !hasOthers && known === 1
	const isSettled = isAlone || (hasPeerState && upMs >= SETTLE_MS)
	const current = isSettled ? known : Math.max(known, ASSUMED_ENTRIES)
	if (!isSettled) return withNewcomers(Math.max(current, peak.count))
	if (current >= peak.count || now - peak.at > PEAK_RETENTION_MS) {
		peak.count = current
		peak.at = now
	}
	return isAlone && peak.count === 1 ? 1 : withNewcomers(peak.count)
}

function withNewcomers(entries: number): number {
	return entries + Math.ceil(entries * NEWCOMER_SHARE)
}

/** What decides how much of a bound an entry may use. */
export interface ColdShareQuery {
	readonly bound: ColdBound
	/** Entries among which it is divided; see {@link countSharers}. */
	readonly sharers: number
	/** Whether this entry is the server's permit home and reaches most entries. */
	isHome(): boolean
}

/** Returns the requests that an entry may start at a server within the window. */
export function coldShareOf({
	bound,
	sharers,
	isHome,
}: ColdShareQuery): number {
	const inTotal = Math.floor(bound.perSecond * bound.factor + bound.extra)
	const share = Math.floor(inTotal / sharers)
	if (share >= 1) return share
	return isHome() ? Math.floor(inTotal / MAX_HOMES) : 0
}

/** Times of an entry's recent requests, by server id. */
export interface RecentStarts {
	readonly times: Map<string, number[]>
	/** When this process was last known to run, ms. */
	turnAt: number
}

/** Creates a record without requests. */
export function createRecentStarts(now: number): RecentStarts {
	return { times: new Map(), turnAt: now }
}

/**
 * Records that the process runs; must be called more often than `STALL_MS`. After a pause
 * its last requests may only leave now, and count as sent now.
 */
export function recordTurn(starts: RecentStarts, now: number): void {
	const { times, turnAt } = starts
	starts.turnAt = now
	if (now - turnAt < STALL_MS) return
	for (const [server, sentAt] of times) {
		const recent = sentAt.filter(at => at > turnAt - COLD_WINDOW_MS)
		times.set(
			server,
			recent.map(() => now),
		)
	}
}

/** Records a request that is sent to a server. */
export function recordStart(
	{ times }: RecentStarts,
	server: string,
	now: number,
): void {
	const recent = times.get(server)?.filter(at => at > now - COLD_WINDOW_MS)
	times.set(server, [...(recent ?? []), now])
}

/** Returns how many of `share` requests may still be started at a server now. */
export function startsLeft(
	{ times }: RecentStarts,
	server: string,
	share: number,
	now: number,
): number {
	const sentAt = times.get(server) ?? []
	const used = sentAt.filter(at => at > now - COLD_WINDOW_MS).length
	return Math.max(0, share - used)
}

/** Returns the times until further requests may be started at a server, ascending, ms. */
export function listStartsDueMs(
	{ times }: RecentStarts,
	server: string,
	share: number,
	now: number,
): number[] {
	if (share === 0) return []
	const sentAt = times.get(server) ?? []
	return sentAt
		.filter(at => at > now - COLD_WINDOW_MS)
		.slice(-share)
		.map(at => at + COLD_WINDOW_MS - now)
}

/** Drops the times of requests that count no more. */
export function pruneStarts({ times }: RecentStarts, now: number): void {
	for (const [server, sentAt] of times)
		if ((sentAt.at(-1) ?? 0) <= now - COLD_WINDOW_MS) times.delete(server)
}
