/** What a soak knows of its requests, runs and processes. */

import type { Random } from '@juniperhook/core'

/** How often a request may run, and how its answer comes. */
export type RequestKind = 'once' | 'repeatable' | 'stream'

/** What a caller sent and what came of it; times in ms of the steady clock. */
export interface RequestRecord {
	readonly id: string
	readonly kind: RequestKind
	readonly path: string
	readonly body: string
	readonly team: string
	readonly entry: number
	/** The entry's life that it was sent to. */
	readonly incarnation: number
	readonly sentAt: number
	/** When it is given up, by its deadline or its route's time-out. */
	readonly timeoutAt: number
	readonly deadlineAt: number
	/** When the caller left, if it did. */
	abandonedAt: number | undefined
	/** Whether the caller gave up after its deadline without an answer. */
	timedOut: boolean
	/** A promise that it has not run and never will. */
	promisedNotRunAt: number | undefined
	answeredAt: number | undefined
	status: number
	/** What the answer says of a refusal or failure; '' for none. */
	error: string
}

/** One run of a request at a backend server. */
export interface Run {
	readonly id: string
	readonly serverId: string
	readonly startedAt: number
	/** Time that the server was given, ms. */
	readonly deadlineMs: number
	endedAt: number | undefined
}

/** What backend servers and callers saw, and what was broken. */
export interface SoakRecord {
	readonly requests: Map<string, RequestRecord>
	readonly runs: Map<string, Run[]>
	/** A line for each promise that was broken. */
	readonly violations: string[]
	readonly counts: Map<string, number>
}

/** Makes an empty record. */
export function createRecord(): SoakRecord {
	return {
		requests: new Map(),
		runs: new Map(),
		violations: [],
		counts: new Map(),
	}
}

/** Counts something. */
export function count(record: SoakRecord, what: string, by = 1): void {
	record.counts.set(what, (record.counts.get(what) ?? 0) + by)
}

/** Notes a broken promise. */
export function recordViolation(
	record: SoakRecord,
	promise: string,
	detail: string,
): void {
	record.violations.push(`${promise}: ${detail}`)
}

/** Sizes and lengths of a soak. */
export interface SoakOptions {
	readonly seed: number
	readonly entries: number
	readonly ranks: number
	readonly plainServers: number
	readonly clients: number
	/** Time in which faults begin, ms. */
	readonly faultPhaseMs: number
	/** Faults in that time. */
	readonly faults: number
	/** Only kinds of faults whose names have this in them; all for ''. */
	readonly faultFilter: string
	/** Second part of the loopback addresses, so that soaks can run side by side. */
	readonly net: number
	/** Whether a caller sends a request that ends servers, again and again. */
	readonly poisonRequest: boolean
	/** Whether servers name limits, one after the other. */
	readonly rateLimits: boolean
	/** Whether servers turn requests away and ask for rest. */
	readonly backoffs: boolean
	/** Whether the store goes back to older copies. */
	readonly rollbacks: boolean
	/** Whether promises with a time bound are judged. */
	readonly checksTiming: boolean
	/** The processes' bundle; by default the one that was built here. */
	readonly bundle?: string | undefined
	/** Folder for settings and logs. */
	readonly folder: string
}

/** A number from `low` up to `high`. */
export function randomBetween(
	random: Random,
	low: number,
	high: number,
): number {
	return low + random() * (high - low)
}

/** One of several. */
export function randomItem<T>(random: Random, items: readonly T[]): T {
	return items[Math.floor(random() * items.length)]!
}

/** Waits. */
export function sleep(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}
