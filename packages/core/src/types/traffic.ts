/**
 * The traffic configuration that an operator's platform publishes: routes, services,
 * teams and limits. An adapter decodes the platform's format into these types; no other
 * code depends on that format.
 */

/** Whether and how requests of a route may be repeated. */
export type RouteKind =
	/** May run any number of times. */
	| 'repeatable'
	/** Must run at most once. */
	| 'once'
	/** Answered by a stream of numbered events. */
	| 'stream'

/** A service that receives a share of a route's requests. */
export interface RouteShare {
	readonly service: string
	readonly weight: number
}

/** A route: requests to one host whose path starts with a prefix. */
export interface TrafficRoute {
	readonly name: string
	readonly host: string
	/** Starts and ends with a slash. */
	readonly pathPrefix: string
	readonly shares: readonly RouteShare[]
	readonly kind: RouteKind
	/** Request timeout, ms. */
	readonly timeoutMs: number
	/** Target latency of an answer or of a stream's first event, ms. */
	readonly targetMs: number
	/** 0 is the most urgent. */
	readonly priority: number
	/** Maximum number of servers that one request may be sent to. */
	readonly maxAttempts: number
	/** Whether requests need no API key. */
	readonly anonymous: boolean
	/** Whether an interrupted stream may be resumed at another server. */
	readonly resumable: boolean
	/** Target for the maximum pause between events, ms; 0 if not stated. */
	readonly maxPauseMs: number
}

/** Constraints on the expert placement of a lock-step group, and the cost of copies. */
export interface ExpertLayout {
	/** Number of sets of layers that share a placement. */
	readonly sets: number
	readonly experts: number
	/** Number of experts that a rank can hold in each set. */
	readonly places: number
	/** Maximum number of new experts per rank and set in one change. */
	readonly maxNew: number
	readonly expertMb: number
	/** Share of the step time spent in experts while the ranks are balanced. */
	readonly expertShare: number
	/** Time that a group needs to re-form, ms. */
	readonly reformMs: number
}

/** Performance profile of an engine. */
export interface EngineProfile {
	readonly slots: number
	readonly memoryTokens: number
	/** Token steps per pass while any request is generating tokens. */
	readonly stepsPerPass: number
	readonly stepMs: number
	/** Time that each generating request adds to a step, ms. */
	readonly perRequestMs: number
	/** Time that each 1,000 tokens of a request's context add to a step, ms. */
	readonly contextMsPerK: number
	readonly prefillTokensPerSecond: number
	/** Maximum number of prompt tokens processed in one step. */
	readonly chunkTokens: number
	readonly linkMbps: number
	readonly usualPromptTokens: number
	readonly usualAnswerTokens: number
	/** Undefined for engines that form no groups. */
	readonly experts: ExpertLayout | undefined
}

/** Limits of a service's servers for some time after their start. */
export interface ColdStart {
	/** Time for which a server is cold after a start during traffic, ms. */
	readonly forMs: number
	/** Requests that a cold server bears from all entries together, per second. */
	readonly perSecond: number
}

/** Work that a request asks of an engine, as its caller states it. */
export interface RequestSize {
	/** Tokens of the prompt; undefined if not stated. */
	readonly promptTokens: number | undefined
	/** Maximum number of tokens to generate; undefined if not stated. */
	readonly maxAnswerTokens: number | undefined
	/** The caller's estimate of the tokens to generate, which is often far off. */
	readonly answerHintTokens: number | undefined
}

/** A service and the properties of its servers. */
export interface TrafficService {
	readonly name: string
	readonly healthPath: string
	/** Maximum number of connections that a server accepts in total. */
	readonly maxConnections: number
	/** Undefined for a plain service. */
	readonly engine: EngineProfile | undefined
	/** Undefined if its servers take their full load from the start. */
	readonly cold?: ColdStart | undefined
}

/** A team and its API keys. */
export interface TrafficTeam {
	readonly name: string
	readonly keys: readonly string[]
	/** Overrides the route's priority; undefined if the team has none. */
	readonly priority: number | undefined
}

/** Size and time limits on the requests of callers. */
export interface TrafficLimits {
	readonly maxHeaderBytes: number
	readonly maxBodyBytes: number
	readonly headerTimeoutMs: number
	readonly idleTimeoutMs: number
}

/** A complete traffic configuration; versions increase, with gaps. */
export interface TrafficConfig {
	readonly version: number
	readonly routes: readonly TrafficRoute[]
	readonly services: readonly TrafficService[]
	readonly teams: readonly TrafficTeam[]
	readonly limits: TrafficLimits
}

/** One incarnation of a backend server, as published. */
export interface ListedServer {
	/** Unique to this incarnation; see `incarnationId`. */
	readonly id: string
	/** Published name, to which it answers; may stay the same across a restart. */
	readonly name: string
	readonly service: string
	/** `IP:port`. */
	readonly address: string
	readonly dataCentre: string
	/** Maximum number of requests that it runs concurrently. */
	readonly slots: number
	/** Whether it is about to shut down. */
	readonly leaving: boolean
	/** Remaining time for which it is slow after its start, ms. */
	readonly coldMs: number
	/** Name of the lock-step group of which it is a rank, if any. */
	readonly group?: string | undefined
}
