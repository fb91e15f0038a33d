/**
 * Which VM is being troubled, so that promises with a time bound are judged only
 * for those that are not, as the platform's rules say.
 */

/** A VM counts as untroubled this long after a fault's end, ms. */
export const CONTACT_MS = 3_000

interface Disturbance {
	readonly vm: string
	readonly from: number
	until: number
}

/** Spans of trouble; the store's and all servers' belong to everybody. */
export interface Disturbances {
	readonly spans: Disturbance[]
}

/** Who a span of the store or of all belongs to. */
export const ALL_VMS = '*'

/** Makes a log without troubles. */
export function createDisturbances(): Disturbances {
	return { spans: [] }
}

/** Begins a trouble; the function that is returned ends it. */
export function beginDisturbance(
	disturbances: Disturbances,
	vm: string,
): () => void {
	const span = {
		vm,
		from: performance.now(),
		until: Number.POSITIVE_INFINITY,
	}
	disturbances.spans.push(span)
	return () => {
		span.until = performance.now()
	}
}

/** Whether a VM was left alone from {@link CONTACT_MS} before `from` to `until`. */
export function isUndisturbed(
	disturbances: Disturbances,
	vm: string,
	from: number,
	until: number,
): boolean {
	return disturbances.spans.every(
		span =>
			(span.vm !== vm && span.vm !== ALL_VMS) ||
			span.from > until ||
			span.until + CONTACT_MS < from,
	)
}
