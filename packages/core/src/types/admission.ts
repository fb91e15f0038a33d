/** What an agent's decisions on requests are made of; see `admission.ts`. */

import type { FairQueue, NotRun, PermitPool, Unknown } from '../internal.ts'

/** Names one try of one request. */
export interface AttemptName {
	readonly reqId: string
	readonly attempt: number
}

/** Protection against running twice, for requests that may not be repeated. */
export interface KeyClaim {
	readonly key: string
	/** When the caller made the key, Unix ms. */
	readonly wallTime: number
	/** How long the key is remembered from then on, in ms. */
	readonly windowMs: number
	/**
	 * Since when this agent has been the key's home by its configuration, Unix
	 * ms; `undefined` if another is.
	 */
	readonly homeSinceWall: number | undefined
	/**
	 * The entry made the key for this very request and every earlier try was
	 * proved not to have run, so nothing can have been forgotten.
	 */
	readonly fresh: boolean
}

/** A try offered by an entry. */
export interface Offer extends AttemptName {
	readonly team: string
	readonly weight: number
	readonly priority: number
	/** How long it may wait for its start, in ms from the offer. */
	readonly startBudgetMs: number
	/** Whether it may wait while the server rests or its limit is used up. */
	readonly mayWait: boolean
	readonly claim?: KeyClaim
}

/** How a running try ended. */
export type CompletionKind =
	/** The whole answer was seen and is kept for later askers of its key. */
	| 'whole'
	/** It may have run; its answer is not to be had again. */
	| 'broken'
	/** The backend server was never reached: proved not to have run. */
	| 'unstarted'

/** What happens to an agent. */
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
	/** The backend server turned a request away and wants no other for so long. */
	| { readonly type: 'rest'; readonly forMs: number }
	/**
	 * An answer named how many requests a second the backend server takes, or none; to a
	 * request that was started then, ms.
	 */
	| {
			readonly type: 'limit'
			readonly perSecond: number | undefined
			readonly startedAt: number
	  }
	/** An answer that turned nothing away, to a request that was started then, ms. */
	| { readonly type: 'taken'; readonly startedAt: number }
	/** The backend server says that it leaves, or its next life has begun. */
	| { readonly type: 'serverLeaves' }
	| { readonly type: 'serverStarts' }
	| { readonly type: 'tick' }

/** What the daemon is to do. */
export type AdmissionEffect =
	| { readonly do: 'start'; readonly name: AttemptName }
	| {
			readonly do: 'refuse'
			readonly name: AttemptName
			readonly outcome: NotRun | Unknown
	  }
	/** Send the answer of `first`, from its beginning, to `name`. */
	| {
			readonly do: 'attach'
			readonly name: AttemptName
			readonly first: AttemptName
	  }
	/** Tell the backend server to stop working on it. */
	| { readonly do: 'cancel'; readonly name: AttemptName }

/** Answer to a void order. */
export type VoidAnswer = 'void' | 'started'

/** Where a try stands at its agent. */
export type AttemptPhase =
	| 'waiting'
	| 'running'
	| 'whole'
	| 'broken'
	| 'refused'

/** What an agent remembers of one try. */
export interface AttemptRecord extends Offer {
	phase: AttemptPhase
	/** Latest start. */
	readonly startBy: number
	startedAt: number
	/** When the row may go; `Infinity` while it is open. */
	evictAt: number
	virtualStart: number
	order: number
}

/** What an agent remembers of one key. */
export interface KeyRecord {
	readonly first: AttemptName
	readonly evictWall: number
}

/** A limit that a backend server has named. */
export interface StartLimit {
	/** Requests a second. */
	readonly perSecond: number
	/** Since when it is known, ms. */
	readonly since: number
	readonly pool: PermitPool
}

/** All that an agent decides from. */
export interface AdmissionState {
	/** When this process began, Unix ms; part of its incarnation. */
	readonly startedWall: number
	/** Requests that the backend server runs at once. */
	slots: number
	/** `suspect`: its group broke the promise of one map. */
	mode: 'serving' | 'leaving' | 'suspect'
	lastSeen: Moment
	pauseEndedAt: number
	/** Nothing is handed to the backend server before. */
	backoffUntil: number
	/**
	 * From a rest until something is taken after it: when the next request may be tried,
	 * one after the other.
	 */
	nextProbeAt: number | undefined
	/** How many requests a second it takes; undefined for as many as come. */
	limit: StartLimit | undefined
	/** Whether the backend server's life is about to end, by its own word. */
	serverLeaves: boolean
	running: number
	/** Smoothed time that a request holds its slot, in ms. */
	serviceMs: number
	readonly attempts: Map<string, AttemptRecord>
	/** Tries that were voided, and until when that is remembered. */
	readonly voided: Map<string, number>
	readonly keys: Map<string, KeyRecord>
	readonly queue: FairQueue<AttemptRecord>
}

/** The moment of an event, on both clocks. */
export interface Moment {
	/** Monotonic ms. */
	readonly now: number
	/** Unix ms. */
	readonly wall: number
}
