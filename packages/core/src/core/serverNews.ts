/**
 * State about servers that entries gossip. Each kind of update has a merge whose result
 * does not depend on the order or repetition of updates: the newest rate limit wins, a
 * departure and a crash are final, the longest backoff wins.
 */

import type { Quarantine, RateLimits, ServerEnd } from '../internal.ts'
import {
	createQuarantine,
	createRateLimits,
	listEndNews,
	takeEndNews,
	takeRateNotice,
} from '../internal.ts'

/** Maximum backoffs retained; the oldest are evicted. */
const MAX_BACKOFFS = 1_024

/** Update about a server, or about a request that was in flight at a crash. */
export type ServerNews =
	/** Rate limit of a server in requests per second; undefined for no limit. */
	| {
			readonly kind: 'limit'
			readonly server: string
			readonly perSecond: number | undefined
			/** When the server announced it, ms. */
			readonly at: number
	  }
	/** The server's incarnation is leaving or has ended. */
	| { readonly kind: 'left'; readonly server: string }
	/** Crash of a server. */
	| ({ readonly kind: 'end' } & ServerEnd)
	/** Complete answer to a suspected request; `at` in ms. */
	| {
			readonly kind: 'served'
			readonly fingerprint: string
			readonly at: number
	  }
	/** The server asked an entry for backoff until `endsAt`, ms. */
	| {
			readonly kind: 'rest'
			readonly server: string
			/** The entry's address. */
			readonly entry: string
			readonly endsAt: number
	  }

/** Update of one kind. */
export type NewsOf<K extends ServerNews['kind']> = Extract<
	ServerNews,
	{ kind: K }
>

/** An entry's replica of the gossiped state. */
export interface NewsBook {
	readonly rateLimits: RateLimits
	/** Ids of incarnations that are leaving or have ended. */
	readonly left: Set<string>
	readonly quarantine: Quarantine
	/** Backoffs by entry and server; the oldest first. */
	readonly rests: Map<string, NewsOf<'rest'>>
}

/** Creates an empty state; the set of departed incarnations may be shared. */
export function createNewsBook(left: Set<string> = new Set()): NewsBook {
	return {
		rateLimits: createRateLimits(),
		left,
		quarantine: createQuarantine(),
		rests: new Map(),
	}
}

/**
 * Merges updates; returns those that change the state, to be forwarded. Several entries
 * report the same crash, each with its own requests in flight: the forwarded update
 * contains all that are known.
 */
export function takeServerNews<T extends ServerNews>(
	state: NewsBook,
	updates: readonly T[],
	now: number,
): T[] {
	const fresh = mergeEvidence(state, updates, now)
	return updates
		.filter(one => fresh.has(one) || mergeOne(state, one, now))
		.map(one => withFullEvidence(state, one))
}

/** Merges crashes and served requests together, so that each batch is scored once. */
function mergeEvidence(
	{ quarantine }: NewsBook,
	updates: readonly ServerNews[],
	now: number,
): ReadonlySet<unknown> {
	const ends = updates.filter(one => one.kind === 'end')
	const served = updates.filter(one => one.kind === 'served')
	if (ends.length + served.length === 0) return new Set()
	const fresh = takeEndNews(quarantine, { ends, served }, now)
	return new Set([...fresh.ends, ...fresh.served])
}

function withFullEvidence<T extends ServerNews>(
	{ quarantine }: NewsBook,
	update: T,
): T {
	if (update.kind !== 'end') return update
	return { ...update, ...quarantine.ends.get(update.server) }
}

function mergeOne(state: NewsBook, update: ServerNews, now: number): boolean {
	switch (update.kind) {
		case 'limit':
			return takeRateNotice(state.rateLimits, update.server, update)
		case 'left':
			return mergeLeft(state, update.server)
		case 'end':
		case 'served':
			// See mergeEvidence.
			return false
		case 'rest':
			return mergeBackoff(state, update, now)
		default:
			return update satisfies never
	}
}

function mergeLeft({ left }: NewsBook, server: string): boolean {
	const before = left.size
	return left.add(server).size > before
}

function mergeBackoff(
	{ rests }: NewsBook,
	update: NewsOf<'rest'>,
	now: number,
): boolean {
	const key = `${update.entry} ${update.server}`
	const known = rests.get(key)?.endsAt ?? now
	if (update.endsAt <= known) return false
	// Reinserted at the end, since the oldest are evicted first.
	rests.delete(key)
	rests.set(key, update)
	const [oldest] = rests.keys()
	if (rests.size > MAX_BACKOFFS) rests.delete(oldest!)
	return true
}

/** Removes backoffs that are over. */
export function forgetNews({ rests }: NewsBook, now: number): void {
	for (const [key, { endsAt }] of rests) if (endsAt <= now) rests.delete(key)
}

/**
 * Returns the whole state as updates, for an entry that may have none; of departed
 * incarnations only the last `maxDeparted`.
 */
export function listServerNews(
	state: NewsBook,
	maxDeparted: number,
): ServerNews[] {
	const { ends, served } = listEndNews(state.quarantine)
	return [
		...listLimitNews(state),
		...[...state.left]
			.slice(-maxDeparted)
			.map(server => ({ kind: 'left', server }) as const),
		...ends.map(end => ({ kind: 'end', ...end }) as const),
		...served.map(one => ({ kind: 'served', ...one }) as const),
		...state.rests.values(),
	]
}

/** Returns the known limits and ends of limits as updates. */
export function listLimitNews({ rateLimits }: NewsBook): NewsOf<'limit'>[] {
	return [...rateLimits].map(([server, { perSecond, at }]) => ({
		kind: 'limit',
		server,
		perSecond,
		at,
	}))
}

/** Returns an update's key: a newer update with the same key replaces it. */
export function subjectOf(update: ServerNews): string {
	switch (update.kind) {
		case 'limit':
		case 'left':
		case 'end':
			return `${update.kind} ${update.server}`
		case 'served':
			return `served ${update.fingerprint}`
		case 'rest':
			return `rest ${update.entry} ${update.server}`
		default:
			return update satisfies never
	}
}
