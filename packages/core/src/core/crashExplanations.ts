/**
 * Weighs suspicions against each other: which crashes the quarantined subjects explain, and
 * what the other crashes say about them.
 */

import type { ServerCrash, Suspicion, Suspicions } from '../internal.ts'
import { subjectKindOf } from '../internal.ts'

/**
 * Crashes within this time of each other that have different explanations raise doubt, ms:
 * servers that crash by themselves do so several times.
 */
const DOUBT_MS = 60_000

/** Whether a quarantined request was in flight at all crashes that count against a part. */
export function isExplainedByRequest(
	part: Suspicion,
	requests: Suspicions,
): boolean {
	for (const request of requests.values())
		if (
			request.isConclusive &&
			part.servers.every(one => request.servers.includes(one))
		)
			return true
	return false
}

/** Returns the crashes that no quarantined subject explains. */
function listUnexplained(
	sorted: readonly ServerCrash[],
	suspects: Suspicions,
): ServerCrash[] {
	const explained = new Set<string>()
	for (const { isConclusive, servers } of suspects.values())
		if (isConclusive) for (const server of servers) explained.add(server)
	return sorted.filter(({ server }) => !explained.has(server))
}

/**
 * Quarantines the only suspected part of a crash while another part is quarantined: where
 * one part is poison, a further one is more likely than a server that crashes by itself,
 * unless another crash of that time shows that servers do.
 */
export function concludeLoneParts(
	sorted: readonly ServerCrash[],
	suspects: Map<string, Suspicion>,
): void {
	const concluded = [...suspects].filter(
		([key, one]) => one.isConclusive && subjectKindOf(key) === 'part',
	)
	if (concluded.length === 0) return
	const unexplained = listUnexplained(sorted, suspects)
	const others = unexplained.filter(
		crash => findLoneSuspect(crash, suspects) === undefined,
	)
	for (const crash of unexplained) {
		const key = findLoneSuspect(crash, suspects)
		if (key === undefined) continue
		const suspicion = suspects.get(key)!
		const isBesidePoison = concluded.some(([, one]) => isNear(one, crash.at))
		const isDoubtful = others.some(({ at }) => isNear(suspicion, at))
		if (isBesidePoison && !isDoubtful)
			suspects.set(key, { ...suspicion, isConclusive: true })
	}
}

/** Returns the key of the only part that a crash counts against, if it is the only one. */
function findLoneSuspect(
	{ server, ran }: ServerCrash,
	suspects: Suspicions,
): string | undefined {
	const parts = [...ran.keys()].filter(
		key =>
			subjectKindOf(key) === 'part' &&
			suspects.get(key)?.servers.includes(server),
	)
	return parts.length === 1 ? parts[0] : undefined
}

/** Whether a crash happened about when those that count against a subject did. */
function isNear({ firstAt, lastAt }: Suspicion, at: number): boolean {
	return at > firstAt - DOUBT_MS && at < lastAt + DOUBT_MS
}

/** Marks conclusive suspicions beside crashes that no quarantined subject explains. */
export function markDoubtful(
	sorted: readonly ServerCrash[],
	suspects: Map<string, Suspicion>,
): void {
	const unexplained = listUnexplained(sorted, suspects)
	for (const [key, one] of suspects) {
		if (!one.isConclusive) continue
		const isDoubtful = unexplained.some(({ at }) => isNear(one, at))
		if (isDoubtful) suspects.set(key, { ...one, isDoubtful })
	}
}
