/** Types of requests that acquire a server of a service. */

import type { QueueItem, RequestSize, Urgency } from '@juniperhook/core'

/** Properties of a request that decide whether a nearly full group admits it. */
export interface AdmissionCandidate {
	/**
	 * Random number from 0 to 1, drawn once per request. A nearly full group admits
	 * only a fraction of the requests: those whose draw is below the fraction.
	 */
	readonly draw: number
	readonly urgency: Urgency
	readonly team: string
	readonly size: RequestSize
	/** Whether it comes back after a refusal, at the time that it was told. */
	readonly isReturn: boolean
	/** Undefined where requests are not weighed by their work. */
	readonly work?: CandidateWork | undefined
}

/** What a request's work means for the choice of its server. */
export interface CandidateWork {
	/** Lock-step groups at which it cannot end in time. */
	readonly unfitGroups: ReadonlySet<string>
	/** Load of each unread prompt token at a server. */
	readonly unreadLoad: number
}

/** Result of acquiring a server. */
export type Grant =
	| { readonly kind: 'server'; readonly id: string }
	/** No server had a free slot in time. */
	| { readonly kind: 'full' }
	/** All servers are rate-limited, and none takes another request in time. */
	| { readonly kind: 'limited' }
	/** All servers have requested a backoff that exceeds the time left. */
	| { readonly kind: 'resting' }
	/** All servers of the service are in evacuated data centres. */
	| { readonly kind: 'evacuated' }
	/** The service has no server. */
	| { readonly kind: 'none' }

/** A request that waits for a server. */
export interface Waiter extends QueueItem {
	readonly service: string
	/** Ids of servers that it has been sent to. */
	readonly tried: ReadonlySet<string>
	readonly candidate: AdmissionCandidate
	readonly urgency: Urgency
	/** Until when it has to start to meet its target, ms. */
	readonly startBy: number
	/** End of the time that it may wait, ms. */
	readonly until: number
	/** Ends the wait with a result. */
	grant(grant: Grant): void
}

/** Options of a request that acquires a server. */
export interface AcquireOptions {
	readonly service: string
	readonly team: string
	readonly priority: number
	/** Ids of servers that the request has been sent to. */
	readonly tried: ReadonlySet<string>
	readonly candidate: AdmissionCandidate
	/** Maximum wait, ms. */
	readonly waitMs: number
	/** Time in which it has to start to meet its target, ms; `waitMs` by default. */
	readonly startWithinMs?: number
	/**
	 * Whether slots become free one at a time, so that the wait can be predicted. Not so
	 * while a group forms, since all of its slots become free at once.
	 */
	readonly slotsFreeOneByOne: boolean
	readonly signal: AbortSignal
}
