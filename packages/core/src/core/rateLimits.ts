/**
 * Rate limits that servers announce: requests per second from all entries together. A
 * server repeats its limit in its answers while it applies; the newest notice wins,
 * whichever entry received it.
 */

/** A server's last notice. */
export interface RateNotice {
	/** Requests per second; undefined for no limit. */
	readonly perSecond: number | undefined
	/** When the server last announced it, ms. */
	readonly at: number
	/** Since when this limit has been known here without change, ms. */
	readonly since: number
}

/** Last notices, by server id. */
export type RateLimits = Map<string, RateNotice>

/**
 * Retention of the last notice of a server that is not listed or no longer limited, ms:
 * an older notice that arrives late must not be taken for a newer one.
 */
const RETENTION_MS = 60_000

/** Creates a table without notices. */
export function createRateLimits(): RateLimits {
	return new Map()
}

/**
 * Applies a server's notice unless a newer one is known; returns true if it changes the
 * limit. The end of a limit is retained even if the limit was not known here, since an
 * older notice of it may still arrive.
 */
export function applyRateNotice(
	limits: RateLimits,
	server: string,
	{ perSecond, at }: Pick<RateNotice, 'perSecond' | 'at'>,
): boolean {
	const known = limits.get(server)
	if (known && known.at >= at) return false
	const isSame = known?.perSecond === perSecond
	const since = known && isSame ? known.since : at
	limits.set(server, { perSecond, at, since })
	return !isSame
}

/** Returns a server's limit in requests per second; undefined for no limit. */
export function rateLimitOf(
	limits: RateLimits,
	server: string,
): number | undefined {
	return limits.get(server)?.perSecond
}

/** Evicts expired notices of servers that have no limit or are not listed any more. */
export function pruneRateNotices(
	limits: RateLimits,
	isListed: (server: string) => boolean,
	now: number,
): void {
	for (const [server, { perSecond, at }] of limits) {
		const isInForce = perSecond !== undefined && isListed(server)
		if (!isInForce && now - at > RETENTION_MS) limits.delete(server)
	}
}
