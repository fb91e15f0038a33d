/** State of the detection of server crashes. */

import type { ListedServer } from '@juniperhook/core'
import type { InFlightSummary } from './sentRequests.ts'

/** A check whether a server has crashed, opened when one of its connections broke. */
export interface CrashCheck {
	readonly server: ListedServer
	/** When the first connection broke, ms. */
	readonly at: number
	/** Whether the server was already known to be leaving or gone. */
	readonly hadLeft: boolean
	/** Requests in flight at the server at that time, by request id. */
	readonly inFlight: Map<string, InFlightSummary>
	/** Probes without a conclusive result. */
	attempts: number
	/** Resolves when the check has a result or the probes are used up. */
	readonly resolved: Promise<void>
	resolve(): void
}

/** Checks of servers that may have crashed. */
export interface CrashDetector {
	/** Checks in progress, by server id. */
	readonly checks: Map<string, CrashCheck>
	/**
	 * Checks that found a listening process, by server id. It may be a middlebox rather
	 * than the server, so the server list can still confirm the crash. Only the first
	 * check since the server's last answer is kept: requests sent later may not have
	 * reached it.
	 */
	readonly inconclusive: Map<string, CrashCheck>
	/** Ids of servers to be probed. */
	readonly queue: string[]
	/** Probes in progress. */
	probing: number
}

/** Creates a crash detector without checks. */
export function createCrashDetector(): CrashDetector {
	return { checks: new Map(), inconclusive: new Map(), queue: [], probing: 0 }
}
