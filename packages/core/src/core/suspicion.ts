/**
 * Finds the requests and prompt parts that may have crashed servers, from the crashes and
 * from what was in flight there.
 *
 * Subjects that were only in flight next to the cause must not be quarantined:
 * - A crash counts against a subject only if it was sent to that server after the last
 *   crash that counted against it.
 * - A subject that was answered completely starts again without points.
 * - Servers that crash together, as those of a rack or a data centre do, count half
 *   against subjects that were not in flight at all of them.
 * - A crash counts more if only one of the subjects in flight had been in flight at an
 *   earlier crash.
 * - A crash has one cause: crashes attributed to the primary suspect do not count against
 *   the subjects next to it, however many there were.
 *
 * Requests and parts are assessed separately, since each request in flight contributes to
 * both. A part is not to blame where one and the same request explains all of its crashes.
 */

import type { ServerCrash, Subject } from '../internal.ts'
import {
	concludeLoneParts,
	isExplainedByRequest,
	markDoubtful,
	subjectKindOf,
} from '../internal.ts'

/** Points from which a request is quarantined: three isolated crashes. */
const QUARANTINE_POINTS = 6
/**
 * Points from which a part is quarantined. It is lower than that of requests because parts
 * that have been answered are exempt, and because a suspected part is tried by one request
 * at a time.
 */
const PART_QUARANTINE_POINTS = 5
/** Points of a crash that does not coincide with crashes under other subjects. */
const ISOLATED_CRASH_POINTS = 2
/** Points of a crash that coincides with crashes under other subjects. */
const CORRELATED_CRASH_POINTS = 1
/**
 * Points added if the subject was the only one there that had been in flight at an earlier
 * crash. In a group of 16 ranks, a request that ran next to a poison request once does so
 * again in 1 of 16 cases; in the other 15 the second crash identifies the poison request,
 * which saves the group one crash.
 */
const SINGLED_OUT_POINTS = 2
/**
 * The same for parts, also at correlated crashes: several parts may be poison at the same
 * time, and the next crash of each is enough.
 */
const PART_SINGLED_OUT_POINTS = 3
/**
 * Crashes within this time are taken to have a common cause unless one subject was in
 * flight at all of them, ms: a power failure stops a rack within milliseconds, a
 * supervisor within a few hundred.
 */
export const CRASH_CORRELATION_MS = 500
/** Entries date the same crash up to this far apart, ms: the latency of updates. */
const MAX_SKEW_MS = 50
/**
 * How long a complete answer exempts a part, ms. A poison part crashes each server that
 * answers it, so one that was answered before a crash is not the cause, unless the servers
 * have changed since.
 */
const PART_EXEMPT_MS = 600_000

/** How subjects of a kind are assessed. */
interface Assessment {
	/** Points from which a subject is quarantined. */
	readonly quarantinePoints: number
	/** Points added if it is singled out at an isolated and at a correlated crash. */
	readonly singledOutPoints: { isolated: number; correlated: number }
	/** How long after a complete answer crashes do not count, ms. */
	readonly exemptMs: number
}

const ASSESSMENTS: Readonly<Record<Subject['kind'], Assessment>> = {
	request: {
		quarantinePoints: QUARANTINE_POINTS,
		singledOutPoints: { isolated: SINGLED_OUT_POINTS, correlated: 0 },
		exemptMs: 0,
	},
	part: {
		quarantinePoints: PART_QUARANTINE_POINTS,
		singledOutPoints: {
			isolated: PART_SINGLED_OUT_POINTS,
			correlated: PART_SINGLED_OUT_POINTS,
		},
		exemptMs: PART_EXEMPT_MS,
	},
}

/** Evidence against a subject. */
export interface Suspicion {
	readonly points: number
	/** Servers whose crashes count against it, in order. */
	readonly servers: readonly string[]
	/** Total time that it had been in flight there, ms. */
	readonly ranMs: number
	/** Time of the first and of the last of these crashes, ms. */
	readonly firstAt: number
	readonly lastAt: number
	/** Whether the evidence suffices for a quarantine. */
	readonly isConclusive: boolean
	/** Whether servers also crashed at that time without a quarantined subject in flight. */
	readonly isDoubtful: boolean
}

/** Suspicions by key of the subject. */
export type Suspicions = ReadonlyMap<string, Suspicion>

/** Finds the suspects among all subjects; `sorted` by time, `served` by key. */
export function findSuspects(
	sorted: readonly ServerCrash[],
	served: ReadonlyMap<string, number>,
): Suspicions {
	const requests = findSuspectsOf('request', sorted, served)
	const parts = findSuspectsOf('part', sorted, served)
	for (const [key, part] of parts)
		if (part.isConclusive && isExplainedByRequest(part, requests))
			parts.set(key, { ...part, isConclusive: false })
	const suspects = new Map([...requests, ...parts])
	concludeLoneParts(sorted, suspects)
	markDoubtful(sorted, suspects)
	return suspects
}

/** Returns how long a complete answer at `at` exempts a subject from crashes, ms. */
export function exemptUntil(key: string, at: number): number {
	return at + ASSESSMENTS[subjectKindOf(key)].exemptMs
}

/**
 * Finds the suspects of a kind: repeatedly takes the primary suspects and removes the
 * crashes that they explain, so that these do not count against other subjects.
 */
function findSuspectsOf(
	kind: Subject['kind'],
	sorted: readonly ServerCrash[],
	served: ReadonlyMap<string, number>,
): Map<string, Suspicion> {
	const crashes = sorted.map(crash => onlyOfKind(crash, kind))
	const conclusive = new Map<string, Suspicion>()
	let unexplained = crashes
	for (;;) {
		const suspects = scoreSubjects(kind, unexplained, served)
		const primaries = findPrimarySuspects(suspects)
		if (primaries.length === 0) {
			const suspicionWithout = (key: string, others: readonly string[]) =>
				scoreWithout(kind, crashes, served, key, others)
			const kept = withdrawExplained(conclusive, suspicionWithout)
			return new Map([...suspects, ...kept])
		}
		for (const key of primaries) conclusive.set(key, suspects.get(key)!)
		unexplained = unexplained.filter(
			({ ran }) => !primaries.some(key => ran.has(key)),
		)
	}
}

/**
 * Withdraws the quarantine of subjects whose crashes the other quarantined ones explain:
 * a subject that ran beside the cause several times may have been the primary suspect
 * before the cause was known.
 */
function withdrawExplained(
	conclusive: ReadonlyMap<string, Suspicion>,
	suspicionWithout: (
		key: string,
		others: readonly string[],
	) => Suspicion | undefined,
): Map<string, Suspicion> {
	const kept = new Map(conclusive)
	for (const [key, { servers }] of conclusive) {
		const others = [...kept]
			.filter(([, one]) => one.isConclusive)
			.filter(([, one]) => one.servers.join() !== servers.join())
			.map(([other]) => other)
		if (others.length === 0) continue
		const remaining = suspicionWithout(key, others)
		if (remaining?.isConclusive) continue
		if (remaining) kept.set(key, remaining)
		else kept.delete(key)
	}
	return kept
}

/** Scores a subject by the crashes without other subjects in flight. */
function scoreWithout(
	kind: Subject['kind'],
	crashes: readonly ServerCrash[],
	served: ReadonlyMap<string, number>,
	key: string,
	others: readonly string[],
): Suspicion | undefined {
	const rest = crashes.filter(({ ran }) => !others.some(one => ran.has(one)))
	return scoreSubjects(kind, rest, served).get(key)
}

/** Returns a crash with only the subjects of a kind. */
function onlyOfKind(crash: ServerCrash, kind: Subject['kind']): ServerCrash {
	const ran = [...crash.ran].filter(([key]) => subjectKindOf(key) === kind)
	return { ...crash, ran: new Map(ran) }
}

/**
 * Returns the conclusive suspect with the most points; among equal ones the one that was
 * in flight for the shortest time. Parts that were in flight at the same crashes cannot be
 * told apart, so all of them are returned.
 */
function findPrimarySuspects(suspects: Suspicions): string[] {
	let primary: [string, Suspicion] | undefined
	for (const [key, one] of suspects) {
		if (!one.isConclusive) continue
		const lead = one.points - (primary?.[1].points ?? 0)
		const isStronger = lead > 0 || (lead === 0 && one.ranMs < primary![1].ranMs)
		if (isStronger) primary = [key, one]
	}
	if (!primary) return []
	const [primaryKey, { servers }] = primary
	if (subjectKindOf(primaryKey) === 'request') return [primaryKey]
	return [...suspects]
		.filter(
			([, one]) => one.isConclusive && one.servers.join() === servers.join(),
		)
		.map(([key]) => key)
}

/** Scores each subject from crashes in order of time; all are of one kind. */
function scoreSubjects(
	kind: Subject['kind'],
	sorted: readonly ServerCrash[],
	served: ReadonlyMap<string, number>,
): Map<string, Suspicion> {
	const suspects = new Map<string, Suspicion>()
	for (const correlated of groupCorrelated(sorted))
		for (const crash of correlated)
			scoreCrash(suspects, kind, crash, correlated, served)
	return suspects
}

function scoreCrash(
	suspects: Map<string, Suspicion>,
	kind: Subject['kind'],
	{ server, at, ran }: ServerCrash,
	correlated: readonly ServerCrash[],
	served: ReadonlyMap<string, number>,
): void {
	const assessment = ASSESSMENTS[kind]
	const since = correlated[0]!.at
	const repeated = [...ran.keys()].filter(
		key => (suspects.get(key)?.firstAt ?? since) < since,
	)
	for (const [key, ranMs] of ran) {
		const servedAt = served.get(key) ?? Number.NEGATIVE_INFINITY
		if (at <= exemptUntil(key, servedAt)) continue
		const before = suspects.get(key)
		if (before && at - ranMs < before.lastAt - MAX_SKEW_MS) continue
		const isOnAll = correlated.every(one => one.ran.has(key))
		const isSingledOut = repeated.length === 1 && repeated[0] === key
		const points =
			(before?.points ?? 0) + pointsOf(assessment, isOnAll, isSingledOut)
		suspects.set(key, {
			points,
			servers: [...(before?.servers ?? []), server],
			ranMs: (before?.ranMs ?? 0) + ranMs,
			firstAt: before?.firstAt ?? at,
			lastAt: at,
			isConclusive: points >= assessment.quarantinePoints,
			isDoubtful: false,
		})
	}
}

function pointsOf(
	{ singledOutPoints }: Assessment,
	isOnAll: boolean,
	isSingledOut: boolean,
): number {
	const { isolated, correlated } = singledOutPoints
	const bonus = isOnAll ? isolated : correlated
	const points = isOnAll ? ISOLATED_CRASH_POINTS : CORRELATED_CRASH_POINTS
	return isSingledOut ? points + bonus : points
}

/** Groups crashes that are so close in time that a common cause is likely. */
function groupCorrelated(sorted: readonly ServerCrash[]): ServerCrash[][] {
	const groups: ServerCrash[][] = []
	for (const crash of sorted) {
		const last = groups.at(-1)
		if (last && crash.at - last[0]!.at < CRASH_CORRELATION_MS) last.push(crash)
		else groups.push([crash])
	}
	return groups
}
