/** What all parts of a gateway share. */

import type {
	BlockageTracker,
	GroupClosures,
	Random,
	RateLimits,
	RetryAllowance,
	RetryWindow,
	RouteTable,
	ServerBackoffs,
	ServerList,
	ServerRecord,
	SharedState,
} from '@juniperhook/core'
import type { EventLog } from '@juniperhook/runtime'
import type { CrashDetector } from './crashDetectorState.ts'
import type { Fleet } from './fleet.ts'
import type { CallerRequest, CancelRequest } from './job.ts'
import type { GatewayMetrics } from './metrics.ts'
import type { Outbox } from './outbox.ts'
import type { PermitHomes, PermitStore } from './permitState.ts'
import type {
	EventTimeoutPolicy,
	PublishedConfig,
	ServerWire,
	WireNames,
} from './ports.ts'
import type { Pressure } from './pressure.ts'
import type { QuarantineGate } from './quarantineState.ts'
import type { SentRequests } from './sentRequests.ts'
import type { ServerPool } from './serverPool.ts'
import type { SuspensionWatch } from './suspensionWatch.ts'
import type { UnrecognizedSignals } from './unrecognizedSignals.ts'

/** What a gateway is told of its VM. */
export interface GatewaySettings {
	readonly name: string
	readonly ip: string
	readonly dataCentre: string
	/** Where callers connect. */
	readonly callers: string
	/** Where the platform's balancer asks for readiness. */
	readonly readiness: string
	/** Where other entries connect. */
	readonly control: string
	/** Where metrics are served; absent for none. */
	readonly metrics: string | undefined
	/** Control addresses of some entries; may be stale. */
	readonly seeds: readonly string[]
	/** From SIGTERM to SIGKILL, ms. */
	readonly stopMs: number
	/** After trouble, a VM must be up to date again after this time, ms. */
	readonly contactMs: number
	readonly retries: RetryAllowance
	/**
	 * Part of the time that a caller has left within which it comes back when it is
	 * told to; later, it gives the request up.
	 */
	readonly retryAfterShare: number
	readonly eventTimeout: EventTimeoutPolicy
}

/** A running gateway's state. */
export interface GatewayContext {
	/** Changed when the settings file does. */
	settings: GatewaySettings
	readonly wire: WireNames
	readonly readStatement: ServerWire['readStatement']
	readonly unrecognizedSignals: UnrecognizedSignals
	readonly log: EventLog
	readonly metrics: GatewayMetrics
	readonly random: Random
	readonly fleet: Fleet
	readonly pool: ServerPool
	readonly list: ServerList
	/** When this entry started, ms; whether a peer has told it its state since. */
	readonly startedAt: number
	hasPeerState: boolean
	/** Removals that were doubted, for peers without the source. */
	readonly settledRemovals: ServerRecord[]
	/** Whether the source does not answer this entry. */
	sourceAway: boolean
	/** The configuration in force, indexed. */
	routes: RouteTable | undefined
	published: PublishedConfig | undefined
	/** Highest version of a configuration that a peer has told of; -1 for none. */
	newestPeerVersion: number
	/** When the configuration came into force, ms. */
	configAppliedAt: number
	/** Lock-step groups that refuse at every rank. */
	readonly closures: GroupClosures
	/**
	 * Until when a group that refused before it ever served this process is
	 * expected to open, ms; 0 once it has served.
	 */
	readonly expectedOpenAt: Map<string, number>
	/** Outages of lock-step groups, by group. */
	readonly blockages: Map<string, BlockageTracker>
	/** What is observed of each service that may be full. */
	readonly pressures: Map<string, Pressure>
	/** Retries to each service. */
	readonly retries: Map<string, RetryWindow>
	/** Entries that are believed to live, with this one. */
	entryCount: number
	/** What servers run for this entry. */
	readonly sentRequests: SentRequests
	/** Servers that may have ended. */
	readonly crashDetector: CrashDetector
	/** What is known of servers and shared with other entries; what they are to be told. */
	readonly sharedState: SharedState
	readonly outbox: Outbox
	/** What servers say of how many requests a second they take. */
	readonly rateLimits: RateLimits
	/** Servers that want nothing from this entry for a while. */
	readonly backoffs: ServerBackoffs
	/** Permits that this entry has, and those that it gives to others. */
	readonly permits: PermitStore
	readonly permitHomes: PermitHomes
	/** Requests under which servers ended. */
	readonly quarantineGate: QuarantineGate
	/** Whether the VM was suspended. */
	readonly suspension: SuspensionWatch
	/** Requests being served. */
	openRequests: number
	/** Gives each request that has no final answer one at once. */
	readonly cancelByRequest: Map<CallerRequest, CancelRequest>
	stopping: boolean
}
