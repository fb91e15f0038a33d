/**
 * Records and options of a soak. A promise is a guarantee of the product that the soak
 * checks, named in capital letters; a violation is a case in which it was broken.
 */

import type { Random } from '@juniperhook/core'

/** Kind of request: one that may run at most once, a repeatable one, or a stream. */
export type RequestKind = 'once' | 'repeatable' | 'stream'

/** A caller's request and its outcome; times in ms of the monotonic clock. */
export interface RequestRecord {
	readonly id: string
	readonly kind: RequestKind
	readonly path: string
	readonly body: string
	/** Ids of the parts of its prompt that other requests share. */
	readonly parts: readonly string[]
	/** Whether its answer arrived completely. */
	isComplete: boolean
	readonly team: string
	readonly entry: number
	/** The entry's incarnation when the request was sent. */
	readonly incarnation: number
	readonly sentAt: number
	/** When the entry must have ended it: at its deadline or its route's timeout. */
	readonly timeoutAt: number
	readonly deadlineAt: number
	/** When the caller abandoned it, if it did. */
	abandonedAt: number | undefined
	/** Whether the caller closed the connection after the deadline without an answer. */
	callerTimedOut: boolean
	/** When an answer promised that it has not run and never will. */
	promisedNotRunAt: number | undefined
	answeredAt: number | undefined
	status: number
	/** Error kind of a refusal or failure; '' for none. */
	error: string
}

/** One run of a request at a backend server. */
export interface Run {
	readonly id: string
	readonly serverId: string
	readonly startedAt: number
	/** Time that the entry gave the server, ms. */
	readonly deadlineMs: number
	endedAt: number | undefined
}

/** What backend servers and callers observed, and the violations found. */
export interface SoakRecord {
	readonly requests: Map<string, RequestRecord>
	readonly runs: Map<string, Run[]>
	/** Ids of requests whose answer a server has broken off or forged. */
	readonly brokenOff: Set<string>
	/** A line for each broken promise: its name and details. */
	readonly violations: string[]
	readonly counts: Map<string, number>
}

/** Creates an empty record. */
export function createRecord(): SoakRecord {
	return {
		requests: new Map(),
		runs: new Map(),
		brokenOff: new Set(),
		violations: [],
		counts: new Map(),
	}
}

/** Adds to a counter of the record. */
export function count(record: SoakRecord, what: string, by = 1): void {
	record.counts.set(what, (record.counts.get(what) ?? 0) + by)
}

/** Records a broken promise. */
export function recordViolation(
	record: SoakRecord,
	promise: string,
	detail: string,
): void {
	record.violations.push(`${promise}: ${detail}`)
}

/** Options of a soak. */
export interface SoakOptions {
	readonly seed: number
	readonly entries: number
	readonly ranks: number
	readonly plainServers: number
	readonly clients: number
	/** Time in which faults start, ms. */
	readonly faultPhaseMs: number
	/** Number of faults in that time. */
	readonly faults: number
	/** Restricts faults to kinds whose names contain this text; '' for all. */
	readonly faultFilter: string
	/** Second octet of the loopback addresses, so that soaks can run side by side. */
	readonly net: number
	/** Whether a caller repeatedly sends a request that crashes servers. */
	readonly poisonRequest: boolean
	/** Whether streams with a part that crashes the ranks that run them are sent. */
	readonly poisonPart: boolean
	/** Whether servers report rate limits, one at a time. */
	readonly rateLimits: boolean
	/** Whether servers refuse requests and ask entries to back off. */
	readonly backoffs: boolean
	/** Whether the store is rolled back to older copies. */
	readonly rollbacks: boolean
	/** Whether an operator empties data centres, whose servers are cold afterwards. */
	readonly evacuations: boolean
	/** Whether entries are stopped again and again, and servers forge answers. */
	readonly stops: boolean
	/** Whether successors start beside their predecessors, and settings files are away. */
	readonly takeovers: boolean
	/** Whether promises with a time bound are checked. */
	readonly checksTiming: boolean
	/** Path of the processes' bundle; by default that of this repository. */
	readonly bundle?: string | undefined
	/** Folder for settings and logs. */
	readonly folder: string
}

/** Returns a random number from `low` (inclusive) to `high` (exclusive). */
export function randomBetween(
	random: Random,
	low: number,
	high: number,
): number {
	return low + random() * (high - low)
}

/** Returns a random item. */
export function randomItem<T>(random: Random, items: readonly T[]): T {
	return items[Math.floor(random() * items.length)]!
}

export function sleep(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}
