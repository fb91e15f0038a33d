/**
 * The order of what a source has published. Revisions rise within a term; when the source
 * comes back from an older copy of itself a new term begins, and revisions are given out
 * again. So a revision alone orders nothing.
 */

/** A revision and the term in which it was given out. */
export interface TermRevision {
	readonly term: number
	readonly revision: number
}

/** Before all that is published. */
export const NO_REVISION: TermRevision = { term: 0, revision: 0 }

/** Negative, zero or positive, as `a` is before, at or after `b`. */
export function compareRevisions(a: TermRevision, b: TermRevision): number {
	return a.term - b.term || a.revision - b.revision
}

/** Whether `a` is after `b`. */
export function isLater(a: TermRevision, b: TermRevision): boolean {
	return compareRevisions(a, b) > 0
}

/** The later of two. */
export function laterOf(a: TermRevision, b: TermRevision): TermRevision {
	return isLater(b, a) ? b : a
}

/** Whether both are the same place. */
export function isSameRevision(a: TermRevision, b: TermRevision): boolean {
	return compareRevisions(a, b) === 0
}

/** For logs and people. */
export function formatRevision({ term, revision }: TermRevision): string {
	return `${term}:${revision}`
}
