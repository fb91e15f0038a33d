/** Types of the admission at the agent; see `admission.ts`. */

import type { FairQueue, NotRun, PermitPool, Unknown } from '../internal.ts'

/** Identifies one attempt of one request. */
export interface AttemptName {
	readonly reqId: string
	readonly attempt: number
}

/** Idempotency key of a request that must not run twice. */
export interface KeyClaim {
	readonly key: string
	/** When the caller created the key, Unix ms. */
	readonly wallTime: number
	/** Retention time of the key, from its creation, ms. */
	readonly windowMs: number
	/**
	 * Since when its configuration has made this agent the key home (the agent selected by
	 * rendezvous hashing), Unix ms; `undefined` if another agent is.
	 */
	readonly keyHomeSinceWall: number | undefined
	/**
	 * Whether the entry created the key for this request and every earlier attempt was
	 * proved not to have run, so that no record of the key can have been evicted.
	 */
	readonly fresh: boolean
}

/** An attempt that an entry offers. */
export interface Offer extends AttemptName {
	readonly team: string
	readonly weight: number
	readonly priority: number
	/** Time within which it must start, ms from the offer. */
	readonly startBudgetMs: number
	/** Whether it may wait for the end of a backoff or for a permit of the rate limit. */
	readonly mayWait: boolean
	readonly claim?: KeyClaim
}

/** How a running attempt ended. */
export type CompletionKind =
	/** The answer is complete and retained for later requests with the same key. */
	| 'whole'
	/** It may have run; its answer is not available. */
	| 'broken'
	/** It never reached the backend server, so it is proved not to have run. */
	| 'unstarted'

/** An event at an agent. */
export type AdmissionEvent =
	| { readonly type: 'offer'; readonly offer: Offer }
	| { readonly type: 'void'; readonly name: AttemptName }
	| { readonly type: 'cancel'; readonly name: AttemptName }
	| {
			readonly type: 'finish'
			readonly name: AttemptName
			readonly how: CompletionKind
	  }
	| { readonly type: 'leave' }
	| { readonly type: 'suspect' }
	/** The backend server refused a request and asked for a backoff of `forMs`. */
	| { readonly type: 'rest'; readonly forMs: number }
	/**
	 * An answer stated the backend server's limit in requests per second, or none;
	 * `startedAt` is when the answered request was started, ms.
	 */
	| {
			readonly type: 'limit'
			readonly perSecond: number | undefined
			readonly startedAt: number
	  }
	/** The backend server accepted a request that was started at `startedAt`, ms. */
	| { readonly type: 'taken'; readonly startedAt: number }
	/** The backend server has announced that it is leaving. */
	| { readonly type: 'serverLeaves' }
	/** The next incarnation of the backend server has started. */
	| { readonly type: 'serverStarts' }
	| { readonly type: 'tick' }

/** An effect that the daemon has to carry out. */
export type AdmissionEffect =
	| { readonly do: 'start'; readonly name: AttemptName }
	| {
			readonly do: 'refuse'
			readonly name: AttemptName
			readonly outcome: NotRun | Unknown
	  }
	/** Send the answer of `first`, from its start, to `name`. */
	| {
			readonly do: 'attach'
			readonly name: AttemptName
			readonly first: AttemptName
	  }
	/** Cancel the request at the backend server. */
	| { readonly do: 'cancel'; readonly name: AttemptName }

/** Answer to a void request. */
export type VoidAnswer = 'void' | 'started'

/** Phase of an attempt at its agent. */
export type AttemptPhase =
	| 'waiting'
	| 'running'
	| 'whole'
	| 'broken'
	| 'refused'

/** An agent's record of an attempt. */
export interface AttemptRecord extends Offer {
	phase: AttemptPhase
	/** Start deadline, ms. */
	readonly startBy: number
	startedAt: number
	/** When the record may be evicted, ms; `Infinity` while the attempt is open. */
	evictAt: number
	virtualStart: number
	order: number
}

/** An agent's record of an idempotency key. */
export interface KeyRecord {
	readonly first: AttemptName
	readonly evictWall: number
}

/** A rate limit stated by the backend server. */
export interface StartLimit {
	/** Requests per second. */
	readonly perSecond: number
	/** When the limit was received, ms. */
	readonly since: number
	readonly pool: PermitPool
}

/** State of the admission at an agent. */
export interface AdmissionState {
	/** When this process started, Unix ms; part of its incarnation. */
	readonly startedWall: number
	/** Maximum number of requests that the backend server runs concurrently. */
	slots: number
	/** `suspect`: the ranks of its group have been seen with different expert maps. */
	mode: 'serving' | 'leaving' | 'suspect'
	/** Time of the last event. */
	lastEventAt: Moment
	/** When the last pause of this process ended, ms. */
	pauseEndedAt: number
	/** End of the backoff; no request is started earlier. */
	backoffUntil: number
	/**
	 * When the next single request may be started as a probe, ms; set from the start of a
	 * backoff until the server accepts a request started after it.
	 */
	nextProbeAt: number | undefined
	/** Rate limit of the backend server; undefined if it has none. */
	limit: StartLimit | undefined
	/** Whether the backend server has announced that it is leaving. */
	serverLeaves: boolean
	running: number
	/** Smoothed time that a request occupies a slot, ms. */
	serviceMs: number
	readonly attempts: Map<string, AttemptRecord>
	/** Tombstones of voided attempts: when each may be evicted, ms. */
	readonly voided: Map<string, number>
	readonly keys: Map<string, KeyRecord>
	readonly queue: FairQueue<AttemptRecord>
}

/** A point in time on both clocks. */
export interface Moment {
	/** Monotonic ms. */
	readonly now: number
	/** Unix ms. */
	readonly wall: number
}
