/**
 * Quarantine of poison requests, which crash the servers that run them. A repeated request
 * is recognized by its fingerprint; requests that are all different, by a part that their
 * prompts share. Entries share what was in flight at each server crash, and a subject that
 * has crashed two or three servers is not sent to any for some time.
 *
 * Evidence is a set of crashes that only grows, apart from their expiry: entries that
 * have received the same evidence, in any order and any number of times, reach the same
 * result.
 */

import type { Subject, Suspicion, Suspicions } from '../internal.ts'
import {
	CRASH_CORRELATION_MS,
	exemptUntil,
	findSuspects,
	subjectKindOf,
} from '../internal.ts'

/**
 * Quarantine after a subject's second crash, ms; doubled at each further one. Then it is
 * tried once: the servers may have been fixed, or it was suspected wrongly.
 */
const QUARANTINE_MS = 600_000
/**
 * Quarantine of a part after one crash, or after two beside others that no quarantined
 * subject explains, ms. Requests of many callers may contain the part, and only a trial
 * can clear it.
 */
const DOUBTFUL_PART_QUARANTINE_MS = 60_000
/** Retention of a crash, ms: one day. */
const RETENTION_MS = 86_400_000
/**
 * Maximum crashes retained: enough for a data centre of 230 servers to crash. Beyond it
 * the oldest one that supports no quarantine is evicted.
 */
const MAX_CRASHES = 256
/** Maximum requests recorded per crash: engines run 4 to 12 at a time. */
export const MAX_REQUESTS_PER_CRASH = 16
/** Maximum prompt parts recorded per crash. */
export const MAX_PARTS_PER_CRASH = 64
const MAX_PER_CRASH: Readonly<Record<Subject['kind'], number>> = {
	request: MAX_REQUESTS_PER_CRASH,
	part: MAX_PARTS_PER_CRASH,
}

/** Crash of a server; `end` on the wire. */
export interface ServerCrash {
	/** Id of the server's incarnation. */
	readonly server: string
	/** When it was first detected, ms. */
	readonly at: number
	/** How long each subject had been in flight there, ms, by key. */
	readonly ran: ReadonlyMap<string, number>
}

/** Complete answer to a request, which clears it and its parts of earlier crashes. */
export interface ServedRecord {
	/** Key of the request or the part. */
	readonly subject: string
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
	/** When each subject was last answered completely, ms, by key. */
	readonly served: Map<string, number>
	/** Subjects in flight at a crash and not cleared since, by key. */
	suspects: Suspicions
}

/** Creates a quarantine without evidence. */
export function createQuarantine(): Quarantine {
	return { crashes: new Map(), served: new Map(), suspects: new Map() }
}

/** Returns the keys of the quarantined subjects, also after the quarantine's end. */
export function listQuarantined({ suspects }: Quarantine): string[] {
	return [...suspects]
		.filter(([, { isConclusive }]) => isConclusive)
		.map(([key]) => key)
}

/**
 * Returns the remaining quarantine of a subject, ms; 0 if it may be sent. This entry
 * waits `turnMs` longer than the first one: entries retry it one after the other.
 */
export function quarantineLeftMs(
	{ suspects }: Quarantine,
	key: string,
	now: number,
	turnMs = 0,
): number {
	const suspicion = suspects.get(key)
	if (!suspicion?.isConclusive) return 0
	return Math.max(0, quarantineEndOf(key, suspicion) + turnMs - now)
}

/**
 * Returns when a suspected subject may be tried at the earliest, ms: after its quarantine,
 * or so late that another crash is evidence of its own.
 */
export function triableFrom(key: string, suspicion: Suspicion): number {
	return suspicion.isConclusive
		? quarantineEndOf(key, suspicion)
		: suspicion.lastAt + CRASH_CORRELATION_MS
}

function quarantineEndOf(key: string, suspicion: Suspicion): number {
	return suspicion.lastAt + quarantineMs(subjectKindOf(key), suspicion)
}

function quarantineMs(
	kind: Subject['kind'],
	{ servers, isDoubtful }: Suspicion,
): number {
	const isSure = servers.length > (isDoubtful ? 2 : 1)
	if (kind === 'part' && !isSure) return DOUBTFUL_PART_QUARANTINE_MS
	return QUARANTINE_MS * 2 ** Math.max(0, servers.length - 2)
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
	// Crashes first: an answer is recorded only for a subject of one.
	const served = evidence.served.filter(one => mergeServed(quarantine, one))
	if (ends.length + served.length > 0) updateSuspects(quarantine)
	return { ends, served }
}

/** Returns all evidence, for an entry that may have none. */
export function listCrashEvidence({
	crashes,
	served,
}: Quarantine): CrashEvidence {
	return {
		ends: [...crashes.values()],
		served: [...served].map(([subject, at]) => ({ subject, at })),
	}
}

/** Merges a crash; returns true if it adds evidence. */
function mergeCrash({ crashes }: Quarantine, crash: ServerCrash): boolean {
	const known = crashes.get(crash.server)
	const ran = new Map(known?.ran)
	const counts = { request: 0, part: 0 }
	for (const key of ran.keys()) counts[subjectKindOf(key)]++
	for (const [key, ms] of crash.ran) {
		const kind = subjectKindOf(key)
		if (!ran.has(key) && counts[kind]++ >= MAX_PER_CRASH[kind]) continue
		ran.set(key, Math.min(ms, ran.get(key) ?? ms))
	}
	const isNew = !known || ran.size > known.ran.size
	if (isNew) {
		const at = Math.min(crash.at, known?.at ?? crash.at)
		crashes.set(crash.server, { server: crash.server, at, ran })
	}
	return isNew
}

/** Merges an answer; returns true if it clears its subject of a crash. */
function mergeServed(
	{ crashes, served }: Quarantine,
	{ subject, at }: ServedRecord,
): boolean {
	const before = served.get(subject)
	const clearedUntil =
		before === undefined
			? Number.NEGATIVE_INFINITY
			: exemptUntil(subject, before)
	const clears = exemptUntil(subject, at)
	const isNew = [...crashes.values()].some(
		crash =>
			crash.at > clearedUntil && crash.at <= clears && crash.ran.has(subject),
	)
	if (isNew) served.set(subject, at)
	return isNew
}

function pruneExpired({ crashes }: Quarantine, now: number): void {
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
	for (const key of served.keys()) if (!reported.has(key)) served.delete(key)
}

/** Evicts the oldest crashes that support no quarantine; if all do, the oldest. */
function evictOldest(
	{ crashes, suspects }: Quarantine,
	sorted: readonly ServerCrash[],
): void {
	const evidence = new Set<string>()
	for (const { isConclusive, servers } of suspects.values())
		if (isConclusive) for (const server of servers) evidence.add(server)
	const inconclusive = sorted.filter(({ server }) => !evidence.has(server))
	const order = [
		...inconclusive,
		...sorted.filter(({ server }) => evidence.has(server)),
	]
	for (const { server } of order.slice(0, crashes.size - MAX_CRASHES))
		crashes.delete(server)
}
