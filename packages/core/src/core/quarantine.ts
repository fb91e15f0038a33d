/**
 * Requests that end the servers that run them. A request that comes again is known by
 * its fingerprint; under which ones a server has ended is shared by all entries, and
 * one that has ended two or three is sent to none for a time.
 *
 * Who only ran beside such a request must not be taken for it. So an end counts for a
 * request only if it was sent there after the end that counted before, what was
 * answered whole since starts anew, and servers that end together, as those of a rack
 * or a data centre do, count half for requests that were not at all of them. An end
 * counts double if only one of the requests there had been under an end before. And
 * an end has one cause: what the request that most speaks against was under says
 * nothing of who ran beside it, however often that was.
 *
 * Evidence is a set of ends that only grows, until it is old: entries that have heard
 * the same, in whatever order and however often, judge the same.
 */

/** Points of a request from which on it is sent to no server: three lone ends. */
const BARRED_POINTS = 6
/**
 * Points of a second end of the only request there that had been under one before. In
 * a group of 16 ranks who ran beside it once is beside it again in one of 16 times;
 * in the other 15 the second end tells, and a group of ranks ends once less.
 */
const SINGLED_OUT_POINTS = 4
/** Points of an end that no other end explains. */
const LONE_POINTS = 2
/** Points of an end beside others under other requests. */
const SHARED_POINTS = 1
/**
 * Servers that end within this time have one cause, unless one request was at all of
 * them, ms: a power switch ends a rack within ms, a supervisor within some hundreds.
 */
const TOGETHER_MS = 500
/** Entries reckon the same end up to so much apart, ms: the way of the news. */
const SKEW_MS = 50
/**
 * How long a request is sent to no server after its second end, ms; twice as long
 * after each one more. It is then tried once: a server may have been mended, or the
 * request was blamed for what it did not do.
 */
const BARRED_MS = 600_000
/** How long an end is remembered, ms; a day. */
const KEPT_MS = 86_400_000
/**
 * Ends that are remembered: those of a data centre of 230 servers. Beyond it the
 * oldest is forgotten that bars nothing.
 */
const MAX_ENDS = 256
/** Requests that are named for one end: engines run 4 to 12 at a time. */
export const MAX_REQUESTS_PER_CRASH = 16

/** The end of a server. */
export interface ServerCrash {
	/** Id of the server's life. */
	readonly server: string
	/** When it was first noticed, ms. */
	readonly at: number
	/** For how long each request had been there, ms, by fingerprint. */
	readonly ran: ReadonlyMap<string, number>
}

/** An answer that a server gave whole to a request under which others had ended. */
export interface ServedRecord {
	readonly fingerprint: string
	/** ms */
	readonly at: number
}

/** Evidence that one entry tells another. */
export interface CrashEvidence {
	readonly ends: readonly ServerCrash[]
	readonly served: readonly ServedRecord[]
}

/** What an entry knows of requests under which servers ended. */
export interface Quarantine {
	readonly crashes: Map<string, ServerCrash>
	/** When each was last answered whole, ms, by fingerprint. */
	readonly served: Map<string, number>
	/** Points of requests under which servers ended and that were not served since. */
	suspects: ReadonlyMap<string, Readonly<Suspicion>>
}

/** What speaks against a request. */
export interface Suspicion {
	points: number
	/** Servers that ended under it, in order. */
	readonly servers: string[]
	/** For how long it had been at them in all, ms. */
	ranMs: number
	/** When the first and the last of them ended, ms. */
	readonly firstAt: number
	lastAt: number
}

/** Makes a quarantine that knows of no end. */
export function createQuarantine(): Quarantine {
	return { crashes: new Map(), served: new Map(), suspects: new Map() }
}

/** Fingerprints of requests that end servers: they are sent to none for a time. */
export function listQuarantined({ suspects }: Quarantine): string[] {
	return [...suspects]
		.filter(([, suspicion]) => isConvicting(suspicion))
		.map(([fingerprint]) => fingerprint)
}

/**
 * How long a request is still sent to no server, ms; 0 if it is. It is tried again by one
 * entry after the other: each waits for `turnMs` more than the first.
 */
export function quarantineLeftMs(
	{ suspects }: Quarantine,
	fingerprint: string,
	now: number,
	turnMs = 0,
): number {
	const suspicion = suspects.get(fingerprint)
	if (!suspicion || !isConvicting(suspicion)) return 0
	const { lastAt, servers } = suspicion
	const barredMs = BARRED_MS * 2 ** Math.max(0, servers.length - 2)
	return Math.max(0, lastAt + barredMs + turnMs - now)
}

function isConvicting({ points }: Suspicion): boolean {
	return points >= BARRED_POINTS
}

/** Takes what was seen or told; gives what of it is new. */
export function mergeCrashEvidence(
	quarantine: Quarantine,
	news: CrashEvidence,
	now: number,
): CrashEvidence {
	forgetOld(quarantine, now)
	const ends = news.ends.filter(
		end => now - end.at < KEPT_MS && takeEnd(quarantine, end),
	)
	// Who is not suspected needs no defence.
	if (ends.length > 0) judge(quarantine)
	const served = news.served.filter(one => takeServed(quarantine, one))
	if (served.length > 0) judge(quarantine)
	return { ends, served }
}

/** All that is remembered, for an entry that may know nothing. */
export function listCrashEvidence({ crashes: ends, served }: Quarantine): CrashEvidence {
	return {
		ends: [...ends.values()],
		served: [...served].map(([fingerprint, at]) => ({ fingerprint, at })),
	}
}

/** True when it is news. */
function takeEnd({ crashes: ends }: Quarantine, end: ServerCrash): boolean {
	const known = ends.get(end.server)
	const ran = new Map(known?.ran)
	for (const [fingerprint, ms] of end.ran) {
		if (ran.size >= MAX_REQUESTS_PER_CRASH && !ran.has(fingerprint)) continue
		ran.set(fingerprint, Math.min(ms, ran.get(fingerprint) ?? ms))
	}
	const isNews = !known || ran.size > known.ran.size
	if (isNews) {
		const at = Math.min(end.at, known?.at ?? end.at)
		ends.set(end.server, { server: end.server, at, ran })
	}
	return isNews
}

/** True when it takes a suspicion back. */
function takeServed(
	{ served, suspects }: Quarantine,
	{ fingerprint, at }: ServedRecord,
): boolean {
	const suspicion = suspects.get(fingerprint)
	if (!suspicion || at <= servedAt(served, fingerprint)) return false
	served.set(fingerprint, at)
	return true
}

function forgetOld(quarantine: Quarantine, now: number): void {
	const { crashes: ends } = quarantine
	for (const [server, { at }] of ends)
		if (now - at >= KEPT_MS) ends.delete(server)
}

function judge(quarantine: Quarantine): void {
	const { crashes: ends, served } = quarantine
	const sorted = [...ends.values()].sort((a, b) => a.at - b.at)
	quarantine.suspects = findSuspects(sorted, served)
	if (ends.size > MAX_ENDS) forgetLeast(quarantine, sorted)
	if (served.size === 0) return
	const named = new Set(sorted.flatMap(({ ran }) => [...ran.keys()]))
	for (const fingerprint of served.keys())
		if (!named.has(fingerprint)) served.delete(fingerprint)
}

/** Forgets the oldest ends that bar nothing; if all do, the oldest. */
function forgetLeast(
	{ crashes: ends, suspects }: Quarantine,
	sorted: readonly ServerCrash[],
): void {
	const bars = new Set<string>()
	for (const suspicion of suspects.values())
		if (isConvicting(suspicion))
			for (const server of suspicion.servers) bars.add(server)
	const idle = sorted.filter(({ server }) => !bars.has(server))
	const order = [...idle, ...sorted.filter(({ server }) => bars.has(server))]
	for (const { server } of order.slice(0, ends.size - MAX_ENDS))
		ends.delete(server)
}

/** What speaks against requests once the ends under the worst ones are set aside. */
function findSuspects(
	sorted: readonly ServerCrash[],
	served: ReadonlyMap<string, number>,
): Map<string, Suspicion> {
	const convicted = new Map<string, Suspicion>()
	let unexplained = sorted
	for (;;) {
		const suspects = weigh(unexplained, served)
		const worst = findWorst(suspects)
		if (worst === undefined) return new Map([...suspects, ...convicted])
		convicted.set(worst, suspects.get(worst)!)
		unexplained = unexplained.filter(({ ran }) => !ran.has(worst))
	}
}

/** The request that most speaks against; of equals the one sent last before ends. */
function findWorst(
	suspects: ReadonlyMap<string, Suspicion>,
): string | undefined {
	let worst: [string, Suspicion] | undefined
	for (const [fingerprint, one] of suspects) {
		if (!isConvicting(one)) continue
		const more = one.points - (worst?.[1].points ?? 0)
		const isWorse = more > 0 || (more === 0 && one.ranMs < worst![1].ranMs)
		if (isWorse) worst = [fingerprint, one]
	}
	return worst?.[0]
}

/** Weighs what speaks against each request, from ends in their order. */
function weigh(
	sorted: readonly ServerCrash[],
	served: ReadonlyMap<string, number>,
): Map<string, Suspicion> {
	const suspects = new Map<string, Suspicion>()
	for (const together of groupTogether(sorted))
		for (const end of together) weighEnd(suspects, end, together, served)
	return suspects
}

function weighEnd(
	suspects: Map<string, Suspicion>,
	{ server, at, ran }: ServerCrash,
	together: readonly ServerCrash[],
	served: ReadonlyMap<string, number>,
): void {
	const since = together[0]!.at
	const known = [...ran.keys()].filter(
		one => (suspects.get(one)?.firstAt ?? since) < since,
	)
	for (const [fingerprint, ranMs] of ran) {
		if (at <= servedAt(served, fingerprint)) continue
		const suspicion = suspects.get(fingerprint) ?? {
			points: 0,
			servers: [],
			ranMs: 0,
			firstAt: at,
			lastAt: Number.NEGATIVE_INFINITY,
		}
		if (at - ranMs < suspicion.lastAt - SKEW_MS) continue
		const isAtAll = together.every(one => one.ran.has(fingerprint))
		const isSingledOut = known.length === 1 && known[0] === fingerprint
		suspicion.points += pointsOf(isAtAll, isSingledOut)
		suspicion.servers.push(server)
		suspicion.ranMs += ranMs
		suspicion.lastAt = at
		suspects.set(fingerprint, suspicion)
	}
}

function pointsOf(isAtAll: boolean, isSingledOut: boolean): number {
	if (!isAtAll) return SHARED_POINTS
	return isSingledOut ? SINGLED_OUT_POINTS : LONE_POINTS
}

function servedAt(
	served: ReadonlyMap<string, number>,
	fingerprint: string,
): number {
	return served.get(fingerprint) ?? Number.NEGATIVE_INFINITY
}

/** Ends that come so close that one cause is likely. */
function groupTogether(sorted: readonly ServerCrash[]): ServerCrash[][] {
	const groups: ServerCrash[][] = []
	for (const end of sorted) {
		const last = groups.at(-1)
		if (last && end.at - last[0]!.at < TOGETHER_MS) last.push(end)
		else groups.push([end])
	}
	return groups
}
