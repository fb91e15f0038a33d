/** A caller's request, and where it stands on its way through attempts. */

import type {
	ErrorKind,
	RouteTable,
	TrafficRoute,
	TrafficTeam,
} from '@juniperhook/core'
import type { ServerAnswer } from './serverCall.ts'
import type { AnswerTimes } from './timeliness.ts'
import type { AcquireOptions } from './waiter.ts'

/** A request that has been read whole and checked. */
export interface CallerRequest {
	/** The caller's id of this try. */
	readonly id: string
	readonly route: TrafficRoute
	readonly team: TrafficTeam | undefined
	/** Configuration that it was judged by. */
	readonly routes: RouteTable
	readonly method: string
	readonly path: string
	/** Names and values in turn, as the caller sent them. */
	readonly rawHeaders: readonly string[]
	readonly body: Buffer
	/** When its head was read, ms. */
	readonly arrivedAt: number
	/** When it is given up, ms. */
	readonly timeoutAt: number
	/** When its caller stops waiting, ms. */
	readonly deadlineAt: number
	/** 0 is the most urgent. */
	readonly priority: number
	/** Whether it may run more than once. */
	readonly repeatable: boolean
	/** Last event that the caller has; undefined at the start of a stream. */
	readonly lastEventId: string | undefined
	/** Of method, path, team and body; once it was asked for. */
	fingerprint: string | undefined
}

/** A request on its way through attempts. */
export interface Job {
	readonly request: CallerRequest
	readonly service: string
	/** Aborted when the caller leaves or the time is over. */
	readonly signal: AbortSignal
	/** Ids of servers it has been sent to. */
	readonly tried: Set<string>
	/** See {@link AcquireOptions}. */
	readonly admissionDraw: AcquireOptions['luck']
	/** Sends so far. */
	sends: number
	/** Sends that a server is proved not to have run. */
	refusedSends: number
	/** Those of them that were refused for a whole group. */
	groupRefusals: number
	/** Whether a server may have run it. */
	mayHaveRun: boolean
	/** Where a stream goes on; the caller's own value at first. */
	lastEventId: string | undefined
	/** Of the answer that its caller is given. */
	readonly times: AnswerTimes
}

/** How the answer of a server ended. */
export type AnswerEnd =
	/** Whole, and the server did its work. */
	| 'good'
	/** Whole, and says that the server failed. */
	| 'failed'
	/** The server broke it off or spoilt it. */
	| 'broken'
	/** This entry closed the connection. */
	| 'left'

/** What an attempt came to. */
export type AttemptResult =
	| {
			readonly kind: 'answer'
			readonly answer: ServerAnswer
			readonly serverId: string
			/** Ends the attempt; to be called once. */
			release(end: AnswerEnd): void
	  }
	/** The server says, or it is proved, that it did not run. */
	| { readonly kind: 'notRun'; readonly reason: string }
	/** It may have run. */
	| { readonly kind: 'lost'; readonly reason: string }
	/** No server was asked. */
	| { readonly kind: 'refused'; readonly error: ErrorKind }

/**
 * Ends a request without a server's answer: as one whose time is over, or as one that
 * is sent to no server any more.
 */
export type CancelRequest = (why: 'timeOver' | 'quarantined') => void

/** What follows an attempt. */
export type NextStep =
	| { readonly kind: 'done' }
	| { readonly kind: 'again'; readonly reason: string }
	| { readonly kind: 'failed'; readonly error: ErrorKind }
