/**
 * What entries know of servers and tell each other. Each kind of news has a merge that
 * gives the same whatever the order in which news come, and however often: of a limit the
 * newest holds, a leaving and an end are final, of a rest the longest holds.
 */

import type { Quarantine, RateLimits, ServerCrash } from '../internal.ts'
import {
	applyRateNotice,
	createQuarantine,
	createRateLimits,
	listCrashEvidence,
	mergeCrashEvidence,
} from '../internal.ts'

/** Rests of entries that are remembered for them, the last ones. */
const MAX_RESTS = 1_024

/** News of a server, or of a request under which servers ended. */
export type ServerUpdate =
	/** How many requests a second it takes; undefined for as many as come. */
	| {
			readonly kind: 'limit'
			readonly server: string
			readonly perSecond: number | undefined
			/** When it said so, ms. */
			readonly at: number
	  }
	/** Its life is about to end, or over. */
	| { readonly kind: 'left'; readonly server: string }
	| ({ readonly kind: 'end' } & ServerCrash)
	/** A request that was answered whole, ms. */
	| {
			readonly kind: 'served'
			readonly fingerprint: string
			readonly at: number
	  }
	/** It wants nothing from an entry until then, ms. */
	| {
			readonly kind: 'rest'
			readonly server: string
			/** The entry's address. */
			readonly entry: string
			readonly endsAt: number
	  }

/** One kind of it. */
export type UpdateOf<K extends ServerUpdate['kind']> = Extract<
	ServerUpdate,
	{ kind: K }
>

/** What an entry knows. */
export interface SharedState {
	readonly rateLimits: RateLimits
	/** Ids of lives that leave or are over. */
	readonly departed: Set<string>
	readonly quarantine: Quarantine
	/** By entry and server; the oldest first. */
	readonly backoffs: Map<string, UpdateOf<'rest'>>
}

/** Makes an empty book; `left` may be a part of something larger. */
export function createSharedState(left: Set<string> = new Set()): SharedState {
	return {
		rateLimits: createRateLimits(),
		departed: left,
		quarantine: createQuarantine(),
		backoffs: new Map(),
	}
}

/**
 * Merges news; gives those that change what is known, to be told on. Several entries tell
 * of one end what it ran for each: what is told on has all of it.
 */
export function mergeServerUpdates<T extends ServerUpdate>(
	book: SharedState,
	news: readonly T[],
	now: number,
): T[] {
	const fresh = takeEvidence(book, news, now)
	return news
		.filter(one => fresh.has(one) || takeOne(book, one, now))
		.map(one => withAllOf(book, one))
}

/** Ends and what was served, together: each batch is weighed once. */
function takeEvidence(
	{ quarantine }: SharedState,
	news: readonly ServerUpdate[],
	now: number,
): ReadonlySet<unknown> {
	const ends = news.filter(one => one.kind === 'end')
	const served = news.filter(one => one.kind === 'served')
	if (ends.length + served.length === 0) return new Set()
	const fresh = mergeCrashEvidence(quarantine, { ends, served }, now)
	return new Set([...fresh.ends, ...fresh.served])
}

function withAllOf<T extends ServerUpdate>(
	{ quarantine }: SharedState,
	one: T,
): T {
	if (one.kind !== 'end') return one
	return { ...one, ...quarantine.crashes.get(one.server) }
}

function takeOne(book: SharedState, news: ServerUpdate, now: number): boolean {
	switch (news.kind) {
		case 'limit':
			return applyRateNotice(book.rateLimits, news.server, news)
		case 'left':
			return takeLeft(book, news.server)
		case 'end':
		case 'served':
			// See takeEvidence.
			return false
		case 'rest':
			return takeRest(book, news, now)
		default:
			return news satisfies never
	}
}

function takeLeft({ departed: left }: SharedState, server: string): boolean {
	const before = left.size
	return left.add(server).size > before
}

function takeRest(
	{ backoffs: rests }: SharedState,
	news: UpdateOf<'rest'>,
	now: number,
): boolean {
	const key = `${news.entry} ${news.server}`
	const known = rests.get(key)?.endsAt ?? now
	if (news.endsAt <= known) return false
	// The last ones are kept, so it goes to the end.
	rests.delete(key)
	rests.set(key, news)
	const [oldest] = rests.keys()
	if (rests.size > MAX_RESTS) rests.delete(oldest!)
	return true
}

/** Forgets rests that are over. */
export function pruneExpiredBackoffs(
	{ backoffs: rests }: SharedState,
	now: number,
): void {
	for (const [key, { endsAt }] of rests) if (endsAt <= now) rests.delete(key)
}

/** All that is known, for an entry that may know nothing; `left` only the last ones. */
export function listServerUpdates(
	book: SharedState,
	maxLeft: number,
): ServerUpdate[] {
	const { ends, served } = listCrashEvidence(book.quarantine)
	return [
		...listLimitUpdates(book),
		...[...book.departed]
			.slice(-maxLeft)
			.map(server => ({ kind: 'left', server }) as const),
		...ends.map(end => ({ kind: 'end', ...end }) as const),
		...served.map(one => ({ kind: 'served', ...one }) as const),
		...book.backoffs.values(),
	]
}

/** Limits, and that servers have none any more, as far as that is remembered. */
export function listLimitUpdates({
	rateLimits,
}: SharedState): UpdateOf<'limit'>[] {
	return [...rateLimits].map(([server, { perSecond, at }]) => ({
		kind: 'limit',
		server,
		perSecond,
		at,
	}))
}

/** What a piece of news is of: a newer one takes its place. */
export function updateKeyOf(news: ServerUpdate): string {
	switch (news.kind) {
		case 'limit':
		case 'left':
		case 'end':
			return `${news.kind} ${news.server}`
		case 'served':
			return `served ${news.fingerprint}`
		case 'rest':
			return `rest ${news.entry} ${news.server}`
		default:
			return news satisfies never
	}
}
