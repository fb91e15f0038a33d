/** State of the watch for servers that may have ended. */

import type { ListedServer } from '@juniperhook/core'
import type { InFlightSummary } from './sentRequests.ts'

/** A server whose connections broke. */
export interface CrashCheck {
	readonly server: ListedServer
	/** When the first one broke, ms. */
	readonly at: number
	/** Whether its life was known to be over by then, or to leave. */
	readonly hadLeft: boolean
	/** What it was running then, by request id. */
	readonly inFlight: Map<string, InFlightSummary>
	tries: number
	/** Resolved once it is known, or given up to know, whether the server ended. */
	readonly resolved: Promise<void>
	resolve(): void
}

/** Servers in doubt. */
export interface CrashDetector {
	/** By server id. */
	readonly checks: Map<string, CrashCheck>
	/**
	 * Of servers at whose address a process listened, which may be something in
	 * between: the first since the server last answered. What it was sent after that
	 * may not have reached it.
	 */
	readonly inconclusive: Map<string, CrashCheck>
	/** Ids that wait to be asked. */
	readonly queue: string[]
	probing: number
}

/** Makes a watch with no doubts. */
export function createCrashDetector(): CrashDetector {
	return { checks: new Map(), inconclusive: new Map(), queue: [], probing: 0 }
}
