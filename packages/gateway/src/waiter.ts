/** What a request asks a service's servers for, and what it gets. */

import type { QueueItem } from '@juniperhook/core'

/** What a request that asks for a server gets. */
export type Grant =
	| { readonly kind: 'server'; readonly id: string }
	/** None had room in time. */
	| { readonly kind: 'full' }
	/** All take only so many requests a second, and none another one in time. */
	| { readonly kind: 'limited' }
	/** All have asked for rest, beyond the time that there is. */
	| { readonly kind: 'resting' }
	| { readonly kind: 'none' }

/** A request that waits. */
export interface Waiter extends QueueItem {
	readonly service: string
	/** Ids of servers it has been to. */
	readonly tried: ReadonlySet<string>
	readonly admissionDraw: number
	/** Until when it may wait, ms. */
	readonly until: number
	grant(grant: Grant): void
}

/** What a request asks for. */
export interface AcquireOptions {
	readonly service: string
	readonly team: string
	readonly priority: number
	readonly tried: ReadonlySet<string>
	/**
	 * From 0 to 1, drawn once for each request: which part of the requests must be
	 * taken for this one to be.
	 */
	readonly admissionDraw: number
	/** How long it may wait, ms. */
	readonly waitMs: number
	/** Whether places come free one by one; not while a group forms. */
	readonly slotsFreeOneByOne: boolean
	readonly signal: AbortSignal
}
