/**
 * What an operator's platform publishes about traffic, in juniperhook's own
 * words: routes, services, teams and limits. An adapter decodes its own format
 * into these types once; nothing else knows that format.
 */

/** How often a request of a route may run. */
export type RouteKind =
	/** Any number of times. */
	| 'repeatable'
	/** At most once. */
	| 'once'
	/** A stream of numbered events. */
	| 'stream'

/** A service that takes a share of a route's requests. */
export interface RouteShare {
	readonly service: string
	readonly weight: number
}

/** Requests of one host whose path begins with a prefix. */
export interface TrafficRoute {
	readonly name: string
	readonly host: string
	/** Begins and ends with a slash. */
	readonly pathPrefix: string
	readonly shares: readonly RouteShare[]
	readonly kind: RouteKind
	/** Longest time a request is held, ms. */
	readonly timeoutMs: number
	/** An answer, or a stream's first event, is in time up to here, ms. */
	readonly targetMs: number
	/** 0 is the most urgent. */
	readonly priority: number
	/** Most servers that one request may be sent to. */
	readonly maxAttempts: number
	/** Whether a request needs no key. */
	readonly anonymous: boolean
	/** Whether a broken stream may go on at another server. */
	readonly resumable: boolean
	/** Longest pause between events that is in time, ms; 0 if unstated. */
	readonly maxPauseMs: number
}

/** Where the experts of a lock-step group may lie, and what a copy costs. */
export interface ExpertLayout {
	/** Sets of layers that share a placement. */
	readonly sets: number
	readonly experts: number
	/** Experts a rank can hold in each set. */
	readonly places: number
	/** New experts that a rank takes in each set in one change. */
	readonly maxNew: number
	readonly expertMb: number
	/** Share of a step that experts take when ranks are balanced. */
	readonly expertShare: number
	/** Time a group needs to form again, ms. */
	readonly reformMs: number
}

/** How long an engine's work takes. */
export interface EngineProfile {
	readonly slots: number
	readonly memoryTokens: number
	/** Token steps in a pass that has writers. */
	readonly stepsPerPass: number
	readonly stepMs: number
	/** Added to a step by each request that writes, ms. */
	readonly perRequestMs: number
	/** Added to a step by 1,000 tokens of context of a request, ms. */
	readonly contextMsPerK: number
	readonly prefillTokensPerSecond: number
	/** Prompt tokens read in one step at most. */
	readonly chunkTokens: number
	readonly linkMbps: number
	readonly usualPromptTokens: number
	readonly usualAnswerTokens: number
	/** Absent for engines that form no groups. */
	readonly experts: ExpertLayout | undefined
}

/** A service's servers and how they may be called. */
export interface TrafficService {
	readonly name: string
	readonly healthPath: string
	/** Connections a server takes from all callers together. */
	readonly maxConnections: number
	/** Absent for a plain service. */
	readonly engine: EngineProfile | undefined
}

/** A team and its keys. */
export interface TrafficTeam {
	readonly name: string
	readonly keys: readonly string[]
	/** Goes before the route's priority; absent when the team has none. */
	readonly priority: number | undefined
}

/** What callers may send, and how slowly. */
export interface TrafficLimits {
	readonly maxHeaderBytes: number
	readonly maxBodyBytes: number
	readonly headerTimeoutMs: number
	readonly idleTimeoutMs: number
}

/** A whole configuration; versions rise, with gaps. */
export interface TrafficConfig {
	readonly version: number
	readonly routes: readonly TrafficRoute[]
	readonly services: readonly TrafficService[]
	readonly teams: readonly TrafficTeam[]
	readonly limits: TrafficLimits
}

/** One incarnation of a backend server, as published. */
export interface ListedServer {
	/** Belongs to this incarnation alone; see `incarnationId`. */
	readonly id: string
	/** What it is published under and answers to; a restart may keep it. */
	readonly name: string
	readonly service: string
	/** `IP:port`. */
	readonly address: string
	readonly dataCentre: string
	/** Requests it runs at once. */
	readonly slots: number
	/** Whether it is about to end. */
	readonly leaving: boolean
	/** Time for which it is still slow after its start, ms. */
	readonly coldMs: number
	/** Name of the lock-step group that it is a rank of, if any. */
	readonly group?: string | undefined
}
