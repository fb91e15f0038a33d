/**
 * State about servers that entries exchange. Each kind of update has a merge whose result
 * does not depend on the order or repetition of updates: the newest rate limit wins, a
 * departure and a crash are final, the longest backoff and cold period win, and the latest
 * revision of an evacuation.
 */

import type {
	ColdServers,
	Evacuation,
	Evacuations,
	Quarantine,
	RateLimits,
	ServerCrash,
} from '../internal.ts'
import {
	applyPeerEvacuation,
	applyRateNotice,
	createEvacuations,
	createQuarantine,
	createRateLimits,
	extendColdPeriod,
	listCrashEvidence,
	mergeCrashEvidence,
	recordDeparted,
} from '../internal.ts'

/** Maximum backoffs retained; the oldest are evicted. */
const MAX_BACKOFFS = 1_024

/** Update about a server, or about a request that was in flight at a crash. */
export type ServerUpdate =
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
	| ({ readonly kind: 'end' } & ServerCrash)
	/** Complete answer that clears a suspected request or prompt part; `at` in ms. */
	| {
			readonly kind: 'served'
			/** Key of the request or prompt part. */
			readonly subject: string
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
	/** The server bears only part of its load until `endsAt`, ms. */
	| {
			readonly kind: 'cold'
			readonly server: string
			readonly endsAt: number
	  }
	/** A data centre is evacuated, or no longer. */
	| ({ readonly kind: 'evacuation' } & Evacuation)

/** Update of one kind. */
export type UpdateOf<K extends ServerUpdate['kind']> = Extract<
	ServerUpdate,
	{ kind: K }
>

/** An entry's replica of the exchanged state. */
export interface SharedState {
	readonly rateLimits: RateLimits
	/** Ids of incarnations that are leaving or have ended. */
	readonly departed: Set<string>
	readonly quarantine: Quarantine
	/** Backoffs by entry and server; the oldest first. */
	readonly backoffs: Map<string, UpdateOf<'rest'>>
	readonly coldServers: ColdServers
	readonly evacuations: Evacuations
}

/** Creates an empty state; the set of departed incarnations may be shared. */
export function createSharedState(
	departed: Set<string> = new Set(),
): SharedState {
	return {
		rateLimits: createRateLimits(),
		departed,
		quarantine: createQuarantine(),
		backoffs: new Map(),
		coldServers: new Map(),
		evacuations: createEvacuations(),
	}
}

/**
 * Merges updates; returns those that change the state, to be forwarded. Several entries
 * report the same crash, each with its own requests in flight: the forwarded update
 * contains all that are known.
 */
export function mergeServerUpdates<T extends ServerUpdate>(
	state: SharedState,
	updates: readonly T[],
	now: number,
): T[] {
	const newEvidence = mergeEvidence(state, updates, now)
	return updates
		.filter(one => newEvidence.has(one) || mergeUpdate(state, one, now))
		.map(one => withFullEvidence(state, one))
}

/** Merges crashes and served requests together, so that each batch is scored once. */
function mergeEvidence(
	{ quarantine }: SharedState,
	updates: readonly ServerUpdate[],
	now: number,
): ReadonlySet<unknown> {
	const ends = updates.filter(one => one.kind === 'end')
	const served = updates.filter(one => one.kind === 'served')
	if (ends.length + served.length === 0) return new Set()
	const merged = mergeCrashEvidence(quarantine, { ends, served }, now)
	return new Set([...merged.ends, ...merged.served])
}

function withFullEvidence<T extends ServerUpdate>(
	{ quarantine }: SharedState,
	update: T,
): T {
	if (update.kind !== 'end') return update
	return { ...update, ...quarantine.crashes.get(update.server) }
}

function mergeUpdate(
	state: SharedState,
	update: ServerUpdate,
	now: number,
): boolean {
	switch (update.kind) {
		case 'limit':
			return applyRateNotice(state.rateLimits, update.server, update)
		case 'left':
			return mergeDeparture(state, update.server)
		case 'end':
		case 'served':
			// See mergeEvidence.
			return false
		case 'rest':
			return mergeBackoff(state, update, now)
		case 'cold':
			return extendColdPeriod(
				state.coldServers,
				update.server,
				update.endsAt,
				now,
			)
		case 'evacuation':
			return applyPeerEvacuation(state.evacuations, update, now)
		default:
			return update satisfies never
	}
}

function mergeDeparture({ departed }: SharedState, server: string): boolean {
	if (departed.has(server)) return false
	recordDeparted(departed, server)
	return true
}

function mergeBackoff(
	{ backoffs }: SharedState,
	update: UpdateOf<'rest'>,
	now: number,
): boolean {
	const key = `${update.entry} ${update.server}`
	const known = backoffs.get(key)?.endsAt ?? now
	if (update.endsAt <= known) return false
	// Reinserted at the end, since the oldest are evicted first.
	backoffs.delete(key)
	backoffs.set(key, update)
	const [oldest] = backoffs.keys()
	if (backoffs.size > MAX_BACKOFFS) backoffs.delete(oldest!)
	return true
}

/** Removes backoffs that are over. */
export function pruneExpiredBackoffs(
	{ backoffs }: SharedState,
	now: number,
): void {
	for (const [key, { endsAt }] of backoffs)
		if (endsAt <= now) backoffs.delete(key)
}

/**
 * Returns the whole state as updates, for an entry that may have none; of departed
 * incarnations only the last `maxDeparted`.
 */
export function listServerUpdates(
	state: SharedState,
	maxDeparted: number,
): ServerUpdate[] {
	const { ends, served } = listCrashEvidence(state.quarantine)
	return [
		...listLimitUpdates(state),
		...[...state.departed]
			.slice(-maxDeparted)
			.map(server => ({ kind: 'left', server }) as const),
		...ends.map(end => ({ kind: 'end', ...end }) as const),
		...served.map(one => ({ kind: 'served', ...one }) as const),
		...state.backoffs.values(),
		...[...state.coldServers].map(
			([server, { endsAt }]) => ({ kind: 'cold', server, endsAt }) as const,
		),
		...listEvacuationUpdates(state),
	]
}

/** Returns the evacuations, and those taken back, as updates. */
export function listEvacuationUpdates({
	evacuations,
}: SharedState): UpdateOf<'evacuation'>[] {
	return [...evacuations.byDataCentre.values()].map(one => ({
		...one,
		kind: 'evacuation',
	}))
}

/** Returns the known limits and ends of limits as updates. */
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

/** Returns an update's key: a newer update with the same key replaces it. */
export function updateKeyOf(update: ServerUpdate): string {
	switch (update.kind) {
		case 'limit':
		case 'left':
		case 'end':
		case 'cold':
			return `${update.kind} ${update.server}`
		case 'served':
			return `served ${update.subject}`
		case 'rest':
			return `rest ${update.entry} ${update.server}`
		case 'evacuation':
			return `evacuation ${update.dataCentre}`
		default:
			return update satisfies never
	}
}
