/** Settings and shared state of a gateway. */

import type {
	BlockageTracker,
	ByteBudget,
	ErrorKind,
	GroupClosures,
	Random,
	RateLimits,
	RecentSamples,
	RetryAllowance,
	RetryWindow,
	RouteTable,
	ServerBackoffs,
	ServerList,
	ServerRecord,
	SharedState,
	ShutdownTimes,
} from '@juniperhook/core'
import type { EventLog, HttpConnections } from '@juniperhook/runtime'
import type { ColdGate } from './coldState.ts'
import type { ConnectionGate } from './connectionGate.ts'
import type { CrashDetector } from './crashDetectorState.ts'
import type { ServiceFeatures } from './features.ts'
import type { Fleet } from './fleet.ts'
import type { HeldResponses } from './heldResponsesState.ts'
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
import type { ReturnState } from './returnState.ts'
import type { SentRequests } from './sentRequests.ts'
import type { ServerPool } from './serverPool.ts'
import type { SuspensionWatch } from './suspensionWatch.ts'
import type { UnrecognizedSignals } from './unrecognizedSignals.ts'
import type { WorkState } from './workState.ts'

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
	readonly retryAfterShare: number
	readonly eventTimeout: EventTimeoutPolicy
	/** How far the sum over all entries may exceed the rate of a cold server. */
	readonly coldAllowance: ColdAllowance
	/** Memory of this process, MB. */
	readonly memoryMb: number
	/** Sockets that this process may open. */
	readonly maxSockets: number
	/** Whether callers are expected to press beyond capacity and to read slowly. */
	readonly underPressure: boolean
}

/** Requests that a cold server may get from all entries in any second. */
export interface ColdAllowance {
	/** Factor on the published rate. */
	readonly factor: number
	/** Added requests. */
	readonly extra: number
}

/** A request whose body is awaited. */
export interface RequestBeingRead {
	/** Elapsed time from which on it is refused, ms. */
	readonly timeoutAt: number
	refuse(error: ErrorKind): void
}

/** State of a running gateway. */
export interface GatewayContext {
	/** Replaced when the settings file changes. */
	settings: GatewaySettings
	readonly wire: WireNames
	readonly readStatement: ServerWire['readStatement']
	readonly readRequestSize: ServerWire['readRequestSize']
	readonly readSharedParts: ServerWire['readSharedParts']
	readonly unrecognizedSignals: UnrecognizedSignals
	readonly log: EventLog
	readonly metrics: GatewayMetrics
	readonly random: Random
	readonly fleet: Fleet
	readonly pool: ServerPool
	readonly list: ServerList
	/** Since when peers can reach this entry, ms of elapsed time; first its start. */
	startedAt: number
	/** Whether all its listeners but that of the metrics are bound. */
	isListening: boolean
	/** Whether a peer has sent its state since this entry started. */
	hasPeerState: boolean
	/** Deferred removals that were confirmed, for peers that cannot reach the source. */
	readonly settledRemovals: ServerRecord[]
	/** Whether calls of this entry to the source fail. */
	sourceAway: boolean
	/** Features in use, by service; see {@link ServiceFeatures}. */
	features: ReadonlyMap<string, ServiceFeatures>
	/** Configuration in force, indexed. */
	routes: RouteTable | undefined
	published: PublishedConfig | undefined
	/** Highest configuration version that a peer has announced; -1 for none. */
	newestPeerVersion: number
	/** When the configuration came into force, ms. */
	configAppliedAt: number
	/** Closures of lock-step groups that refuse requests at every rank. */
	readonly closures: GroupClosures
	/**
	 * Expected time of the first opening of each group that refused requests before it
	 * served any of this process, ms, by group; 0 once it has served one.
	 */
	readonly expectedOpenAt: Map<string, number>
	/** Outages of lock-step groups, by group. */
	readonly blockages: Map<string, BlockageTracker>
	/** Load observations, by service. */
	readonly pressures: Map<string, Pressure>
	/** Lengths of answers and paces of groups. */
	readonly work: WorkState
	/** Refused callers who were told to come back. */
	readonly returns: ReturnState
	/** Retry budget windows, by service. */
	readonly retries: Map<string, RetryWindow>
	/** Number of entries considered alive, including this one. */
	entryCount: number
	/** Requests in flight and requests abandoned at servers. */
	readonly sentRequests: SentRequests
	/** Detects crashes of servers. */
	readonly crashDetector: CrashDetector
	/** Facts about servers that the entries exchange, as merged by this one. */
	readonly sharedState: SharedState
	/** Server updates that are still to be sent to other entries. */
	readonly outbox: Outbox
	/** Rate limits that servers report, over all entries. */
	readonly rateLimits: RateLimits
	/** Backoffs that servers have requested of this entry. */
	readonly backoffs: ServerBackoffs
	/** Permits of rate-limited servers that this entry holds. */
	readonly permits: PermitStore
	/** Permits that this entry grants to others, as permit home of servers. */
	readonly permitHomes: PermitHomes
	/** This entry's requests to servers that may be cold. */
	readonly coldGate: ColdGate
	/** Requests suspected of crashing the servers that run them. */
	readonly quarantineGate: QuarantineGate
	/** Connections of callers. */
	readonly connectionGate: ConnectionGate
	/** Detects suspensions of the VM. */
	readonly suspension: SuspensionWatch
	/** Bytes that callers have not taken, and bodies of requests. */
	readonly heldResponses: HeldResponses
	/** Bodies of requests, and of answers that are read to their end before they are sent. */
	readonly received: ByteBudget
	/** Number of requests whose responses have not been delivered. */
	openRequests: number
	/** Requests whose body is awaited. */
	readonly requestsBeingRead: Set<RequestBeingRead>
	/** Ends a request without a server's response, for each open request. */
	readonly cancelByRequest: Map<CallerRequest, CancelRequest>
	readonly connections: HttpConnections
	/** Connections to the listeners for readiness and metrics. */
	readonly operatorConnections: HttpConnections
	/** Latest durations of served requests, by route, ms. */
	readonly durations: Map<string, RecentSamples>
	/** Set once this entry stops. */
	shutdown: ShutdownTimes | undefined
}
