/**
 * Services that refuse everywhere at once, as a lock-step group does while it
 * forms anew: instead of a storm of tries, one request at a time finds out
 * whether the service is open again.
 */

/** Between tries while a service refuses, ms; a forming takes some 600. */
export const TRY_AGAIN_MS = 100

/** What is known of a service that refuses. */
export interface Closure {
	/** When it began to refuse, ms. */
	readonly since: number
	/** Nothing is sent before this time, ms. */
	until: number
}

/** Services that refuse, by name. */
export type Closures = Map<string, Closure>

/** Notes that a server of the service refused for its whole group. */
export function noteClosed(
	closures: Closures,
	service: string,
	now: number,
): void {
	const since = closures.get(service)?.since ?? now
	closures.set(service, { since, until: now + TRY_AGAIN_MS })
}

/** Notes that a server of the service took a request; true if it was closed. */
export function noteOpen(closures: Closures, service: string): boolean {
	return closures.delete(service)
}

/**
 * Whether a request may be sent now. While the service is closed, a yes is a
 * try: the next one waits until its answer, or a while.
 */
export function mayEnter(
	closures: Closures,
	service: string,
	now: number,
): boolean {
	const closure = closures.get(service)
	if (!closure) return true
	if (now < closure.until) return false
	closure.until = now + TRY_AGAIN_MS
	return true
}
