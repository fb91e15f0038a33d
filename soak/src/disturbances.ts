/**
 * Records which VMs are disturbed by faults, and when. By the platform's rules, promises
 * with a time bound hold only for undisturbed VMs.
 */

/** Time after the end of a fault during which a VM still counts as disturbed, ms. */
export const CONTACT_MS = 3_000

interface Disturbance {
	readonly vm: string
	readonly from: number
	until: number
}

/** All disturbances; those of the store and of servers concern all VMs. */
export interface Disturbances {
	readonly spans: Disturbance[]
}

/** Stands for all VMs in {@link Disturbance.vm}. */
export const ALL_VMS = '*'

/** Creates an empty log of disturbances. */
export function createDisturbances(): Disturbances {
	return { spans: [] }
}

/** Records the start of a disturbance and returns the function that records its end. */
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

/** Whether a VM was undisturbed from {@link CONTACT_MS} before `from` to `until`. */
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
