/**
 * How many requests a second servers say they take from all entries together. A server
 * says so in its answers for as long as it holds; the newest notice about it wins, whoever
 * heard it.
 */

/** A server's last notice. */
export interface RateNotice {
	/** Requests a second; undefined for as many as come. */
	readonly perSecond: number | undefined
	/** When the server last said so, ms. */
	readonly at: number
	/** Since when it has said the same, as far as is known here, ms. */
	readonly since: number
}

/** Last notices, by server id. */
export type RateLimits = Map<string, RateNotice>

/**
 * Of a server that is not listed, or that has no limit any more, the last notice is kept
 * for this long, ms: an older notice that comes late must not count as news.
 */
const KEPT_MS = 60_000

/** Makes a record of servers that said nothing. */
export function createRateLimits(): RateLimits {
	return new Map()
}

/**
 * Takes a server's notice unless a newer one is known; true if it changes the limit. That
 * a limit has ended is kept also where it was not known: it may still be told.
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

/** Requests a second that a server takes; undefined for as many as come. */
export function rateLimitOf(
	limits: RateLimits,
	server: string,
): number | undefined {
	return limits.get(server)?.perSecond
}

/** Forgets old notices of servers that have no limit or, by `isListed`, are gone. */
export function pruneRateNotices(
	limits: RateLimits,
	isListed: (server: string) => boolean,
	now: number,
): void {
	for (const [server, { perSecond, at }] of limits) {
		const isInForce = perSecond !== undefined && isListed(server)
		if (!isInForce && now - at > KEPT_MS) limits.delete(server)
	}
}
