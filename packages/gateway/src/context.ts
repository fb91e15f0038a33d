/** Settings and shared state of a gateway. */

import type {
	Closures,
	NewsBook,
	Random,
	RateLimits,
	Rests,
	RetryAllowance,
	RetryWindow,
	RouteTable,
	ServerList,
	ServerRecord,
	Spell,
} from '@juniperhook/core'
import type { EventLog } from '@juniperhook/runtime'
import type { EndWatch } from './endWatch.ts'
import type { Fleet } from './fleet.ts'
import type { CallerRequest, GiveUp } from './job.ts'
import type { GatewayMetrics } from './metrics.ts'
import type { OddSignals } from './oddSignals.ts'
import type { Outbox } from './outbox.ts'
import type { PermitGate, PermitHomes } from './permitState.ts'
import type {
	CallerPatience,
	PublishedConfig,
	ServerWire,
	WireNames,
} from './ports.ts'
import type { Pressure } from './pressure.ts'
import type { QuarantineGate } from './quarantineState.ts'
import type { Runs } from './runs.ts'
import type { ServerPool } from './serverPool.ts'
import type { SuspensionWatch } from './suspensionWatch.ts'

/** Settings of a gateway on its VM. */
export interface GatewaySettings {
	readonly name: string
	readonly ip: string
	readonly dataCentre: string
	/** Address that callers connect to. */
	readonly callers: string
	/** Address of the readiness endpoint for the platform's load balancer. */
	readonly readiness: string
	/** Address that other entries connect to. */
	readonly control: string
	/** Address of the metrics endpoint; undefined to serve no metrics. */
	readonly metrics: string | undefined
	/** Control addresses of some entries, for discovery; may be stale. */
	readonly seeds: readonly string[]
	/** Time from SIGTERM to SIGKILL, ms. */
	readonly stopMs: number
	/** Time within which a VM must be up to date again after a failure, ms. */
	readonly contactMs: number
	readonly retries: RetryAllowance
	/**
	 * Share of its remaining time within which a caller honours `Retry-After`; with a
	 * later time it abandons the request.
	 */
	readonly heededShare: number
	readonly patience: CallerPatience
}

/** State of a running gateway. */
export interface GatewayContext {
	/** Replaced when the settings file changes. */
	settings: GatewaySettings
	readonly wire: WireNames
	readonly readStatement: ServerWire['readStatement']
	readonly oddSignals: OddSignals
	readonly log: EventLog
	readonly metrics: GatewayMetrics
	readonly random: Random
	readonly fleet: Fleet
	readonly pool: ServerPool
	readonly list: ServerList
	/** When this entry started, ms of elapsed time. */
	readonly startedAt: number
	/** Whether a peer has sent its state since this entry started. */
	isTold: boolean
	/** Deferred removals that were confirmed, for peers that cannot reach the source. */
	readonly settledRemovals: ServerRecord[]
	/** Whether calls of this entry to the source fail. */
	sourceAway: boolean
	/** Configuration in force, indexed. */
	routes: RouteTable | undefined
	published: PublishedConfig | undefined
	/** Highest configuration version that a peer has announced; -1 for none. */
	toldVersion: number
	/** When the configuration came into force, ms. */
	configSince: number
	/** Backoffs of lock-step groups that refuse requests at every rank. */
	readonly closures: Closures
	/**
	 * When a group that refused before it ever served this process is expected to
	 * open, ms, by group; 0 once it has served.
	 */
	readonly openUntil: Map<string, number>
	/** Outages of lock-step groups, by group. */
	readonly outages: Map<string, Spell>
	/** Load observations, by service. */
	readonly pressures: Map<string, Pressure>
	/** Retry budget windows, by service. */
	readonly retries: Map<string, RetryWindow>
	/** Entries considered alive, including this one. */
	entries: number
	/** Requests that servers run for this entry. */
	readonly runs: Runs
	/** Detects crashes of servers. */
	readonly ends: EndWatch
	/** Gossip state: what entries know of servers and share. */
	readonly book: NewsBook
	/** Updates that are still to be sent to other entries. */
	readonly outbox: Outbox
	/** Rate limits that servers report, over all entries. */
	readonly rateLimits: RateLimits
	/** Backoffs that servers have requested of this entry. */
	readonly rests: Rests
	/** Permits of rate-limited servers that this entry holds. */
	readonly permits: PermitGate
	/** Permits that this entry grants to others, as home of a server. */
	readonly permitHomes: PermitHomes
	/** Requests suspected of crashing the servers that run them. */
	readonly gate: QuarantineGate
	/** Detects suspensions of the VM. */
	readonly suspension: SuspensionWatch
	/** Number of requests being served. */
	open: number
	/** Ends a request without a server's response, for each open request. */
	readonly giveUps: Map<CallerRequest, GiveUp>
	stopping: boolean
}
