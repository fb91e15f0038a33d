/**
 * Which VM is being troubled, so that promises with a time bound are judged only
 * for those that are not, as the platform's rules say.
 */

/** A VM counts as untroubled this long after a fault's end, ms. */
export const CONTACT_MS = 3_000

interface Span {
	readonly who: string
	readonly from: number
	until: number
}

/** Spans of trouble; the store's and all servers' belong to everybody. */
export interface Troubles {
	readonly spans: Span[]
}

/** Who a span of the store or of all belongs to. */
export const EVERYBODY = '*'

/** Makes a log without troubles. */
export function createTroubles(): Troubles {
	return { spans: [] }
}

/** Begins a trouble; the function that is returned ends it. */
export function beginTrouble(troubles: Troubles, who: string): () => void {
	const span = {
		who,
		from: performance.now(),
		until: Number.POSITIVE_INFINITY,
	}
	troubles.spans.push(span)
	return () => {
		span.until = performance.now()
	}
}

/** Whether a VM was left alone from {@link CONTACT_MS} before `from` to `until`. */
export function isCalm(
	troubles: Troubles,
	who: string,
	from: number,
	until: number,
): boolean {
	return troubles.spans.every(
		span =>
			(span.who !== who && span.who !== EVERYBODY) ||
			span.from > until ||
			span.until + CONTACT_MS < from,
	)
}
