/**
 * Evacuated data centres: the operator has asked that nothing new be sent to their
 * servers, which takes a part of the capacity away at once while callers go on. For each
 * data centre the statement with the latest revision wins, whichever process it came
 * from, so that the result depends neither on the order nor on the repetition of
 * statements. If the source is restored from an older copy, what it has forgotten stays
 * in force for a grace period, and only then the copy is followed.
 */

import type { TermRevision } from '../internal.ts'
import { isLater, laterOf, NO_REVISION } from '../internal.ts'

/**
 * Time for which a statement that a restored source contradicts stays in force, ms:
 * operators and peers that know better repeat theirs within it. Shorter than the time in
 * which an evacuation must be in force, since the copy may contain a new one.
 */
const RESTORED_GRACE_MS = 2_500
/** Maximum data centres retained; the oldest that are not evacuated are evicted. */
const MAX_RETAINED = 1_024

/** Whether a data centre is evacuated, as of a revision of the source. */
export interface Evacuation {
	readonly dataCentre: string
	readonly revision: TermRevision
	/** False once the evacuation is taken back. */
	readonly isEvacuated: boolean
}

/** A process's replica of all evacuations. */
export interface Evacuations {
	readonly byDataCentre: Map<string, Evacuation>
	/** Statements of a restored source, and when they take effect, ms; by data centre. */
	readonly pending: Map<string, { evacuation: Evacuation; until: number }>
	/** Revision up to which this process has read the source itself. */
	readUpTo: TermRevision
}

/** Creates a replica without evacuations. */
export function createEvacuations(): Evacuations {
	return { byDataCentre: new Map(), pending: new Map(), readUpTo: NO_REVISION }
}

/** Whether a data centre is evacuated. */
export function isEvacuated(
	{ byDataCentre }: Evacuations,
	dataCentre: string,
): boolean {
	return byDataCentre.get(dataCentre)?.isEvacuated ?? false
}

/** Returns the number of evacuated data centres. */
export function countEvacuated({ byDataCentre }: Evacuations): number {
	return [...byDataCentre.values()].filter(one => one.isEvacuated).length
}

/** Applies a statement unless a newer one is known; returns whether it was applied. */
export function applyEvacuation(
	evacuations: Evacuations,
	evacuation: Evacuation,
): boolean {
	const { byDataCentre, pending } = evacuations
	const { dataCentre, revision } = evacuation
	const known = byDataCentre.get(dataCentre)
	if (known && !isLater(revision, known.revision)) return false
	// Reinserted at the end, since the oldest are evicted first.
	byDataCentre.delete(dataCentre)
	byDataCentre.set(dataCentre, evacuation)
	const waiting = pending.get(dataCentre)?.evacuation.revision
	if (waiting && !isLater(waiting, revision)) pending.delete(dataCentre)
	evictOldest(evacuations)
	return true
}

function evictOldest({ byDataCentre }: Evacuations): void {
	if (byDataCentre.size <= MAX_RETAINED) return
	const oldest = [...byDataCentre.values()].find(one => !one.isEvacuated)
	if (oldest) byDataCentre.delete(oldest.dataCentre)
}

/**
 * Applies a peer's statement; returns whether it was applied. What precedes the revision
 * that this process has read itself is known from there, and the peer may not know that
 * the evacuation has been taken back since. From before a restoration of the source, an
 * evacuation that this process never knew is kept for the grace period.
 */
export function applyPeerEvacuation(
	evacuations: Evacuations,
	evacuation: Evacuation,
	now: number,
): boolean {
	const { readUpTo, byDataCentre, pending } = evacuations
	const { dataCentre, revision } = evacuation
	if (isLater(revision, readUpTo))
		return applyEvacuation(evacuations, evacuation)
	const isOfOtherTerm = revision.term !== readUpTo.term
	if (!isOfOtherTerm || byDataCentre.has(dataCentre)) return false
	if (!evacuation.isEvacuated) return false
	pending.set(dataCentre, {
		evacuation: { dataCentre, revision: readUpTo, isEvacuated: false },
		until: now + RESTORED_GRACE_MS,
	})
	return applyEvacuation(evacuations, evacuation)
}

/** Applies changes that this process has read; returns those that were applied. */
export function applyReadChanges(
	evacuations: Evacuations,
	changes: readonly Evacuation[],
	revision: TermRevision,
): Evacuation[] {
	const applied = changes.filter(one => applyEvacuation(evacuations, one))
	evacuations.readUpTo = laterOf(evacuations.readUpTo, revision)
	return applied
}

/**
 * Applies a full read at `revision`; returns what was applied. Known evacuations that it
 * lacks are taken back as of its revision. Where it belongs to a later term than what is
 * known and contradicts that, it takes effect after the grace period.
 */
export function applyFullRead(
	evacuations: Evacuations,
	listed: readonly Evacuation[],
	revision: TermRevision,
	now: number,
): Evacuation[] {
	// What an earlier read of a restored source said is outdated.
	const deferred = new Map(evacuations.pending)
	evacuations.pending.clear()
	const statements = [
		...listed,
		...listMissing(evacuations, listed, revision),
	].filter(one => !deferContradiction(evacuations, one, deferred, now))
	return applyReadChanges(evacuations, statements, revision)
}

function listMissing(
	{ byDataCentre }: Evacuations,
	listed: readonly Evacuation[],
	revision: TermRevision,
): Evacuation[] {
	const present = new Set(listed.map(one => one.dataCentre))
	return [...byDataCentre.values()]
		.filter(one => one.isEvacuated && !present.has(one.dataCentre))
		.map(({ dataCentre }) => ({ dataCentre, revision, isEvacuated: false }))
}

/**
 * Defers a statement of a later term that contradicts the known one; the grace period of
 * one that was `deferred` in the same term goes on.
 */
function deferContradiction(
	{ byDataCentre, pending }: Evacuations,
	evacuation: Evacuation,
	deferred: Evacuations['pending'],
	now: number,
): boolean {
	const { dataCentre, revision, isEvacuated } = evacuation
	const known = byDataCentre.get(dataCentre)
	if (!known || known.isEvacuated === isEvacuated) return false
	if (revision.term <= known.revision.term) return false
	const before = deferred.get(dataCentre)
	const isSameTerm = before?.evacuation.revision.term === revision.term
	const until = isSameTerm ? before!.until : now + RESTORED_GRACE_MS
	pending.set(dataCentre, { evacuation, until })
	return true
}

/** Applies the deferred statements that are due; returns those applied. */
export function confirmEvacuations(
	evacuations: Evacuations,
	now: number,
): Evacuation[] {
	const due = [...evacuations.pending.values()].filter(
		({ until }) => now >= until,
	)
	for (const { evacuation } of due)
		evacuations.pending.delete(evacuation.dataCentre)
	return due
		.map(({ evacuation }) => evacuation)
		.filter(one => applyEvacuation(evacuations, one))
}
