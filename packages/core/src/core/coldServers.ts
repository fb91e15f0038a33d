/**
 * Cold servers: for some time after its start, and again at any moment, a server bears
 * only part of its load, while callers press on the servers of a data centre that has
 * just returned. A server states how long it remains cold; the longest statement wins,
 * whichever entry received it, and the period ends by time. Only an answer to a request
 * that was sent after the period was known here can shorten it.
 */

import type { ColdStart } from '../types/traffic.ts'

/** Maximum duration of a cold period, ms, even if a server states more. */
export const MAX_COLD_MS = 600_000
/**
 * Differences of this size between two ends are no news, ms: remaining time is sent
 * between entries, and every transfer adds the time that it took.
 */
const SAME_END_MS = 250
/** Maximum servers retained; the oldest periods are evicted. */
const MAX_RETAINED = 4_096

/** A cold period of a server. */
export interface ColdPeriod {
	/** When it is over, ms. */
	readonly endsAt: number
	/** Since when it has been known here, ms. */
	readonly since: number
}

/** Cold periods by server id; a restarted server has a new id. */
export type ColdServers = Map<string, ColdPeriod>

/** State of a server. */
export type ServerWarmth =
	| { readonly kind: 'warm' }
	| {
			readonly kind: 'cold'
			/** When it is over, ms. */
			readonly endsAt: number
			/** Requests that it bears from all entries together, per second. */
			readonly perSecond: number
	  }

const WARM: ServerWarmth = { kind: 'warm' }

/** Returns a usable remaining time for one that was stated, ms: 0 if it is invalid. */
export function limitColdMs(statedMs: number): number {
	return statedMs > 0 ? Math.min(statedMs, MAX_COLD_MS) : 0
}

/** Returns how long a server that was listed remains cold, ms. */
export function listedColdMs(
	statedMs: number,
	isNewIncarnation: boolean,
	cold: ColdStart | undefined,
): number {
	const ofStart = isNewIncarnation ? (cold?.forMs ?? 0) : 0
	return Math.max(limitColdMs(statedMs), limitColdMs(ofStart))
}

/** Extends a server's cold period to `endsAt`; returns whether that is news. */
export function extendColdPeriod(
	servers: ColdServers,
	server: string,
	endsAt: number,
	now: number,
): boolean {
	const known = servers.get(server)
	const limitedEnd = Math.min(endsAt, now + MAX_COLD_MS)
	// An end that is not a number is no statement.
	if (!(limitedEnd > now)) return false
	if (known && limitedEnd <= known.endsAt + SAME_END_MS) return false
	const isOver = !known || known.endsAt <= now
	const since = isOver ? now : known.since
	// Reinserted at the end, since the oldest are evicted first.
	servers.delete(server)
	servers.set(server, { endsAt: limitedEnd, since })
	const [oldest] = servers.keys()
	if (servers.size > MAX_RETAINED) servers.delete(oldest!)
	return true
}

/**
 * Applies the remaining time that an answer states; returns whether that is news.
 * `sentAt` is when its request was sent: one sent before the period was known cannot show
 * that it is shorter.
 */
export function applyStatedColdMs(
	servers: ColdServers,
	server: string,
	{ leftMs, sentAt }: { readonly leftMs: number; readonly sentAt: number },
	now: number,
): boolean {
	const endsAt = now + limitColdMs(leftMs)
	const known = servers.get(server)
	if (!known || known.endsAt <= now || endsAt >= known.endsAt)
		return extendColdPeriod(servers, server, endsAt, now)
	if (sentAt <= known.since || endsAt >= known.endsAt - SAME_END_MS)
		return false
	servers.set(server, { ...known, endsAt })
	return true
}

/** Returns a server's state; one whose service states no rate bears its full load. */
export function warmthOf(
	servers: ColdServers,
	server: string,
	cold: ColdStart | undefined,
	now: number,
): ServerWarmth {
	const endsAt = servers.get(server)?.endsAt ?? now
	if (endsAt <= now || !cold) return WARM
	return { kind: 'cold', endsAt, perSecond: cold.perSecond }
}

/** Evicts periods that are over, and those of servers that are gone; returns them. */
export function pruneColdServers(
	servers: ColdServers,
	isGone: (server: string) => boolean,
	now: number,
): string[] {
	const pruned: string[] = []
	for (const [server, { endsAt }] of servers) {
		if (endsAt > now && !isGone(server)) continue
		servers.delete(server)
		pruned.push(server)
	}
	return pruned
}
