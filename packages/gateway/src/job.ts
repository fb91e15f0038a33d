/** A caller's request and the state of its attempts. */

import type {
	ErrorKind,
	RequestSize,
	RouteTable,
	TrafficRoute,
	TrafficTeam,
	Urgency,
} from '@juniperhook/core'
import type { AnswerFault } from './answerFault.ts'
import type { ServerAnswer } from './serverCall.ts'
import type { AnswerTimes } from './timeliness.ts'
import type { AdmissionCandidate } from './waiter.ts'
import type { WorkForecast } from './workDecision.ts'
import type { SentWork } from './workState.ts'

/** A request that has been read completely and validated. */
export interface CallerRequest {
	/** Request id, chosen anew by the caller for each of its retries. */
	readonly id: string
	readonly route: TrafficRoute
	readonly team: TrafficTeam | undefined
	/** Configuration by which it was validated. */
	readonly routes: RouteTable
	readonly method: string
	readonly path: string
	/** Alternating names and values, as the caller sent them. */
	readonly rawHeaders: readonly string[]
	readonly body: Buffer
	/** When its head was read, ms. */
	readonly arrivedAt: number
	/** When it was read completely, ms. */
	readonly takenAt: number
	/** When it times out, by its deadline and its route, ms. */
	readonly timeoutAt: number
	/** When its caller stops waiting, ms. */
	readonly deadlineAt: number
	/** The team's priority, or else the route's; 0 is the most urgent. */
	readonly priority: number
	readonly urgency: Urgency
	readonly size: RequestSize
	/** Ids of the parts of its prompt that other requests may share. */
	readonly sharedParts: readonly string[]
	/** Whether servers may run it more than once. */
	readonly repeatable: boolean
	/** Last event that the caller received; undefined at the start of a stream. */
	readonly lastEventId: string | undefined
	/** Content encodings that the caller accepts, in lower case. */
	readonly acceptedEncodings: string
	/** Cached fingerprint of method, path, team and body; undefined until first used. */
	fingerprint: string | undefined
}

/** A request being served, and the state of its attempts. */
export interface Job {
	readonly request: CallerRequest
	readonly service: string
	/** Aborted when the caller disconnects or the request is cancelled. */
	readonly signal: AbortSignal
	/** Ids of servers that it has been sent to. */
	readonly tried: Set<string>
	readonly candidate: AdmissionCandidate
	/** Sends so far. */
	sends: number
	/** Sends that provably were not run. */
	refusedSends: number
	/** Refused sends whose refusal concerned a whole group. */
	groupRefusals: number
	/** Whether a server may have run the request. */
	mayHaveRun: boolean
	/** Last event id passed on, at which a stream resumes; first the caller's value. */
	lastEventId: string | undefined
	/** Timing of the response to the caller. */
	readonly times: AnswerTimes
	/** Events of a stream passed on, of all its attempts. */
	eventsRelayed: number
	/** Whether one of them had no id, so that no other server can continue after it. */
	hasUnnumberedEvents: boolean
	/** Part of its prompt because of which it was refused. */
	refusedPart?: string
	/** Set if some group's pace is too slow for the request. */
	forecast?: WorkForecast
}

/** How a server's response ended. */
export type AnswerEnd =
	/** Complete and successful. */
	| 'good'
	/** Complete, but reports a failure or is unusable. */
	| 'failed'
	/** Truncated by the server. */
	| 'broken'
	/** This entry closed the connection. */
	| 'abandoned'

/** Result of an attempt. */
export type AttemptResult =
	| {
			readonly kind: 'answer'
			readonly answer: ServerAnswer
			readonly serverId: string
			/** Undefined if the request's work is not weighed. */
			readonly work: SentWork | undefined
			/** Ends the attempt and frees its slot; must be called exactly once. */
			release(end: AnswerEnd): void
	  }
	/** The request provably did not run. */
	| { readonly kind: 'notRun'; readonly reason: string }
	/** The request may have run. */
	| { readonly kind: 'lost'; readonly reason: string }
	/** The request may have run; its answer must not be passed on. */
	| { readonly kind: 'invalid'; readonly fault: AnswerFault }
	/** No server was called. */
	| { readonly kind: 'refused'; readonly error: ErrorKind }

/** Why a request is ended without a server's response. */
export type CancelReason =
	| 'timeout'
	| 'quarantined'
	/** The entry stops before it could end; has no effect once a server may run it. */
	| 'leaving'

/** Ends a request without a server's response. */
export type CancelRequest = (reason: CancelReason) => void

/** What follows an attempt: nothing, a retry or a failure. */
export type NextStep =
	| { readonly kind: 'done' }
	| { readonly kind: 'retry'; readonly reason: string }
	| { readonly kind: 'failed'; readonly error: ErrorKind }
