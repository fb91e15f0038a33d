/** A VM's network link of limited bandwidth. */

/** A link that carries its transfers one after the other. */
export interface ThrottledLink {
	readonly bytesPerMs: number
	/** When all transfers so far will have completed, monotonic ms. */
	idleAt: number
	/** Bytes of all transfers so far, including those not yet completed. */
	bytesSent: number
}

/** Creates an idle link. */
export function createThrottledLink(bytesPerMs: number): ThrottledLink {
	return { bytesPerMs, idleAt: 0, bytesSent: 0 }
}

/** Transfers bytes over a link; resolves when they have passed it. */
export function transferBytes(
	link: ThrottledLink,
	bytes: number,
): Promise<void> {
	const now = performance.now()
	link.idleAt = Math.max(now, link.idleAt) + bytes / link.bytesPerMs
	link.bytesSent += bytes
	return new Promise(resolve => setTimeout(resolve, link.idleAt - now))
}
