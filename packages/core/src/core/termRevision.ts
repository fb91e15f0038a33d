/**
 * Ordering of a source's revisions. Revisions increase within a term. When the source is
 * restored from an older copy, a new term begins and revision numbers are reused, so
 * a revision number alone does not define an order.
 */

/** A revision and the term in which it was assigned. */
export interface TermRevision {
	readonly term: number
	readonly revision: number
}

/** Precedes all published revisions. */
export const NO_REVISION: TermRevision = { term: 0, revision: 0 }

/** Returns a number below, equal to or above 0 if `a` is before, at or after `b`. */
export function compareRevisions(a: TermRevision, b: TermRevision): number {
	return a.term - b.term || a.revision - b.revision
}

/** Whether `a` is later than `b`. */
export function isLater(a: TermRevision, b: TermRevision): boolean {
	return compareRevisions(a, b) > 0
}

/** Returns the later of two revisions. */
export function laterOf(a: TermRevision, b: TermRevision): TermRevision {
	return isLater(b, a) ? b : a
}

/** Whether both are the same revision of the same term. */
export function isSameRevision(a: TermRevision, b: TermRevision): boolean {
	return compareRevisions(a, b) === 0
}

/** Formats a revision as `term:revision`, for logs. */
export function formatRevision({ term, revision }: TermRevision): string {
	return `${term}:${revision}`
}
