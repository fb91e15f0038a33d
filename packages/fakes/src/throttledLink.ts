/** The link of a VM that carries only so many bytes a second. */

/** What shares a link; bytes pass it one piece after the other. */
export interface ThrottledLink {
	readonly bytesPerMs: number
	/** When what has been given to the link will have passed it, ms. */
	freeAt: number
	/** Bytes that have been given to the link. */
	bytesSent: number
}

/** Makes an idle link. */
export function createThrottledLink(bytesPerMs: number): ThrottledLink {
	return { bytesPerMs, freeAt: 0, bytesSent: 0 }
}

/** Gives bytes to a link; resolves when they have passed it. */
export function passLink(link: ThrottledLink, bytes: number): Promise<void> {
	const now = performance.now()
	link.freeAt = Math.max(now, link.freeAt) + bytes / link.bytesPerMs
	link.bytesSent += bytes
	return new Promise(resolve => setTimeout(resolve, link.freeAt - now))
}
