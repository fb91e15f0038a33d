/**
 * Quarantine of poison requests, those that crash the servers that run them. A repeated
 * request is recognized by its fingerprint. Entries share which requests were in flight
 * at each server crash, and a request that has crashed two or three servers is not sent
 * to any for some time.
 *
 * Requests that were only in flight next to a poison request must not be quarantined:
 * - A crash counts against a request only if the request was sent to that server after
 *   the last crash that counted against it.
 * - A request that was answered completely starts again without points.
 * - Servers that crash together, as those of a rack or a data centre do, count half
 *   against requests that were not in flight at all of them.
 * - A crash counts double if only one of the requests in flight had been in flight at an
 *   earlier crash.
 * - A crash has one cause: crashes attributed to the primary suspect do not count against
 *   the requests next to it, however many there were.
 *
 * Evidence is a set of crashes that only grows, apart from their expiry: entries that
 * have received the same evidence, in any order and any number of times, reach the same
 * result.
 */

/** Points from which a request is quarantined: three isolated crashes. */
const QUARANTINE_POINTS = 6
/**
 * Points of a second crash if the request was the only one there that had been in flight
 * at an earlier one. In a group of 16 ranks, a request that ran next to a poison request
 * once does so again in 1 of 16 cases; in the other 15 the second crash identifies the
 * poison request, which saves the group one crash.
 */
const SINGLED_OUT_POINTS = 4
/** Points of a crash that does not coincide with crashes under other requests. */
const ISOLATED_CRASH_POINTS = 2
/** Points of a crash that coincides with crashes under other requests. */
const CORRELATED_CRASH_POINTS = 1
/**
 * Crashes within this time are taken to have a common cause unless one request was in
 * flight at all of them, ms: a power failure stops a rack within milliseconds, a
 * supervisor within a few hundred.
 */
const CORRELATION_MS = 500
/** Entries date the same crash up to this far apart, ms: the latency of updates. */
const MAX_SKEW_MS = 50
/**
 * Quarantine after a request's second crash, ms; doubled at each further one. Then the
 * request is tried once: the servers may have been fixed, or the request was suspected
 * wrongly.
 */
const QUARANTINE_MS = 600_000
/** Retention of a crash, ms: one day. */
const RETENTION_MS = 86_400_000
/**
 * Maximum crashes retained: enough for a data centre of 230 servers to crash. Beyond it
 * the oldest one that supports no quarantine is evicted.
 */
const MAX_CRASHES = 256
/** Maximum requests recorded per crash: engines run 4 to 12 at a time. */
export const MAX_REQUESTS_PER_CRASH = 16

/** Crash of a server; `end` on the wire. */
export interface ServerCrash {
	/** Id of the server's incarnation. */
	readonly server: string
	/** When it was first detected, ms. */
	readonly at: number
	/** How long each request had been in flight there, ms, by fingerprint. */
	readonly ran: ReadonlyMap<string, number>
}

/** Complete answer to a request that had been in flight at a crash. */
export interface ServedRecord {
	readonly fingerprint: string
	/** ms */
	readonly at: number
}

/** Evidence that entries exchange. */
export interface CrashEvidence {
	readonly ends: readonly ServerCrash[]
	readonly served: readonly ServedRecord[]
}

/** An entry's evidence and the suspicions that follow from it. */
export interface Quarantine {
	/** Crashes, by id of the server's incarnation. */
	readonly crashes: Map<string, ServerCrash>
	/** When each request was last answered completely, ms, by fingerprint. */
	readonly served: Map<string, number>
	/** Requests in flight at a crash and not answered since, by fingerprint. */
	suspects: ReadonlyMap<string, Readonly<Suspicion>>
}

/** Evidence against a request. */
export interface Suspicion {
	points: number
	/** Servers whose crashes count against it, in order. */
	readonly servers: string[]
	/** Total time that it had been in flight there, ms. */
	ranMs: number
	/** Time of the first and of the last of these crashes, ms. */
	readonly firstAt: number
	lastAt: number
}

/** Creates a quarantine without evidence. */
export function createQuarantine(): Quarantine {
	return { crashes: new Map(), served: new Map(), suspects: new Map() }
}

/**
 * Returns the fingerprints of requests with enough points for a quarantine, also after
 * its end.
 */
export function listQuarantined({ suspects }: Quarantine): string[] {
	return [...suspects]
		.filter(([, suspicion]) => isConclusive(suspicion))
		.map(([fingerprint]) => fingerprint)
}

/**
 * Returns the remaining quarantine of a request, ms; 0 if it may be sent. This
 * entry waits `turnMs` longer than the first one: entries retry it one after the other.
 */
export function quarantineLeftMs(
	{ suspects }: Quarantine,
	fingerprint: string,
	now: number,
	turnMs = 0,
): number {
	const suspicion = suspects.get(fingerprint)
	if (!suspicion || !isConclusive(suspicion)) return 0
	const { lastAt, servers } = suspicion
	const quarantineMs = QUARANTINE_MS * 2 ** Math.max(0, servers.length - 2)
	return Math.max(0, lastAt + quarantineMs + turnMs - now)
}

function isConclusive({ points }: Suspicion): boolean {
	return points >= QUARANTINE_POINTS
}

/** Merges evidence observed here or received from peers; returns what is new of it. */
export function mergeCrashEvidence(
	quarantine: Quarantine,
	evidence: CrashEvidence,
	now: number,
): CrashEvidence {
	pruneExpired(quarantine, now)
	const ends = evidence.ends.filter(
		crash => now - crash.at < RETENTION_MS && mergeCrash(quarantine, crash),
	)
	// Crashes first: an answer is recorded only for a request that is suspected.
	if (ends.length > 0) updateSuspects(quarantine)
	const served = evidence.served.filter(one => mergeServed(quarantine, one))
	if (served.length > 0) updateSuspects(quarantine)
	return { ends, served }
}

/** Returns all evidence, for an entry that may have none. */
export function listCrashEvidence({
	crashes,
	served,
}: Quarantine): CrashEvidence {
	return {
		ends: [...crashes.values()],
		served: [...served].map(([fingerprint, at]) => ({ fingerprint, at })),
	}
}

/** Merges a crash; returns true if it adds evidence. */
function mergeCrash({ crashes }: Quarantine, crash: ServerCrash): boolean {
	const known = crashes.get(crash.server)
	const ran = new Map(known?.ran)
	for (const [fingerprint, ms] of crash.ran) {
		if (ran.size >= MAX_REQUESTS_PER_CRASH && !ran.has(fingerprint)) continue
		ran.set(fingerprint, Math.min(ms, ran.get(fingerprint) ?? ms))
	}
	const isNew = !known || ran.size > known.ran.size
	if (isNew) {
		const at = Math.min(crash.at, known?.at ?? crash.at)
		crashes.set(crash.server, { server: crash.server, at, ran })
	}
	return isNew
}

/** Merges an answer; returns true if it clears a suspicion. */
function mergeServed(
	{ served, suspects }: Quarantine,
	{ fingerprint, at }: ServedRecord,
): boolean {
	const suspicion = suspects.get(fingerprint)
	if (!suspicion || at <= lastServedAt(served, fingerprint)) return false
	served.set(fingerprint, at)
	return true
}

function pruneExpired(quarantine: Quarantine, now: number): void {
	const { crashes } = quarantine
	for (const [server, { at }] of crashes)
		if (now - at >= RETENTION_MS) crashes.delete(server)
}

function updateSuspects(quarantine: Quarantine): void {
	const { crashes, served } = quarantine
	const sorted = [...crashes.values()].sort((a, b) => a.at - b.at)
	quarantine.suspects = findSuspects(sorted, served)
	if (crashes.size > MAX_CRASHES) evictOldest(quarantine, sorted)
	if (served.size === 0) return
	const reported = new Set(sorted.flatMap(({ ran }) => [...ran.keys()]))
	for (const fingerprint of served.keys())
		if (!reported.has(fingerprint)) served.delete(fingerprint)
}

/** Evicts the oldest crashes that support no quarantine; if all do, the oldest. */
function evictOldest(
	{ crashes, suspects }: Quarantine,
	sorted: readonly ServerCrash[],
): void {
	const evidence = new Set<string>()
	for (const suspicion of suspects.values())
		if (isConclusive(suspicion))
			for (const server of suspicion.servers) evidence.add(server)
	const inconclusive = sorted.filter(({ server }) => !evidence.has(server))
	const order = [
		...inconclusive,
		...sorted.filter(({ server }) => evidence.has(server)),
	]
	for (const { server } of order.slice(0, crashes.size - MAX_CRASHES))
		crashes.delete(server)
}

/**
 * Finds the suspects: repeatedly takes the primary suspect and removes the crashes that
 * it explains, so that they do not count against other requests.
 */
function findSuspects(
	sorted: readonly ServerCrash[],
	served: ReadonlyMap<string, number>,
): Map<string, Suspicion> {
	const conclusive = new Map<string, Suspicion>()
	let unexplained = sorted
	for (;;) {
		const suspects = scoreRequests(unexplained, served)
		const primary = findPrimarySuspect(suspects)
		if (primary === undefined) return new Map([...suspects, ...conclusive])
		conclusive.set(primary, suspects.get(primary)!)
		unexplained = unexplained.filter(({ ran }) => !ran.has(primary))
	}
}

/**
 * Returns the request with enough points for a quarantine that has the most; among equal
 * ones the one that was in flight for the shortest time.
 */
function findPrimarySuspect(
	suspects: ReadonlyMap<string, Suspicion>,
): string | undefined {
	let primary: [string, Suspicion] | undefined
	for (const [fingerprint, one] of suspects) {
		if (!isConclusive(one)) continue
		const lead = one.points - (primary?.[1].points ?? 0)
		const isStronger = lead > 0 || (lead === 0 && one.ranMs < primary![1].ranMs)
		if (isStronger) primary = [fingerprint, one]
	}
	return primary?.[0]
}

/** Scores each request from crashes in order of time. */
function scoreRequests(
	sorted: readonly ServerCrash[],
	served: ReadonlyMap<string, number>,
): Map<string, Suspicion> {
	const suspects = new Map<string, Suspicion>()
	for (const correlated of groupCorrelated(sorted))
		for (const crash of correlated)
			scoreCrash(suspects, crash, correlated, served)
	return suspects
}

function scoreCrash(
	suspects: Map<string, Suspicion>,
	{ server, at, ran }: ServerCrash,
	correlated: readonly ServerCrash[],
	served: ReadonlyMap<string, number>,
): void {
	const since = correlated[0]!.at
	const repeated = [...ran.keys()].filter(
		one => (suspects.get(one)?.firstAt ?? since) < since,
	)
	for (const [fingerprint, ranMs] of ran) {
		if (at <= lastServedAt(served, fingerprint)) continue
		const suspicion = suspects.get(fingerprint) ?? {
			points: 0,
			servers: [],
			ranMs: 0,
			firstAt: at,
			lastAt: Number.NEGATIVE_INFINITY,
		}
		if (at - ranMs < suspicion.lastAt - MAX_SKEW_MS) continue
		const ranOnAll = correlated.every(one => one.ran.has(fingerprint))
		const isSingledOut = repeated.length === 1 && repeated[0] === fingerprint
		suspicion.points += pointsOf(ranOnAll, isSingledOut)
		suspicion.servers.push(server)
		suspicion.ranMs += ranMs
		suspicion.lastAt = at
		suspects.set(fingerprint, suspicion)
	}
}

function pointsOf(ranOnAll: boolean, isSingledOut: boolean): number {
	if (!ranOnAll) return CORRELATED_CRASH_POINTS
	return isSingledOut ? SINGLED_OUT_POINTS : ISOLATED_CRASH_POINTS
}

function lastServedAt(
	served: ReadonlyMap<string, number>,
	fingerprint: string,
): number {
	return served.get(fingerprint) ?? Number.NEGATIVE_INFINITY
}

/** Groups crashes that are so close in time that a common cause is likely. */
function groupCorrelated(sorted: readonly ServerCrash[]): ServerCrash[][] {
	const groups: ServerCrash[][] = []
	for (const crash of sorted) {
		const last = groups.at(-1)
		if (last && crash.at - last[0]!.at < CORRELATION_MS) last.push(crash)
		else groups.push([crash])
	}
	return groups
}
