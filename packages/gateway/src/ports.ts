/** What a gateway needs from the platform that it runs on. */

import type { IncomingHttpHeaders } from 'node:http'
import type {
	ListedServer,
	ServerRecord,
	TermRevision,
	TrafficConfig,
} from '@juniperhook/core'

/** A published configuration, with the text it was decoded from. */
export interface PublishedConfig {
	readonly config: TrafficConfig
	/** The text as published, for peers. */
	readonly text: string
}

/** Everything published, as of a revision. */
export interface CatalogSnapshot {
	readonly revision: TermRevision
	readonly config: PublishedConfig | undefined
	readonly servers: readonly ServerRecord[]
	/** Values that could not be decoded, and why. */
	readonly faults: readonly string[]
}

/** What a call to a source gave, and how many bytes came for it. */
export type SourceResult<T> = { readonly bytes: number } & (
	| { readonly ok: true; readonly value: T }
	/** The changes asked for are no longer known: read everything again. */
	| { readonly ok: false; readonly lostHistory: true; readonly reason: string }
	| { readonly ok: false; readonly lostHistory: false; readonly reason: string }
)

/** Where configuration and servers are published. */
export interface CatalogSource {
	/** Reads everything. */
	read(): Promise<SourceResult<CatalogSnapshot>>
	/**
	 * Waits for changes after a revision; none when the time is over. Where a later term
	 * has begun, history is lost.
	 */
	watch(
		revision: TermRevision,
		waitMs: number,
	): Promise<SourceResult<CatalogSnapshot>>
	/** Decodes a configuration's text that a peer passed on. */
	decode(text: string): PublishedConfig | undefined
}

/** Names and formats of headers between callers, entries and servers. */
export interface WireNames {
	readonly requestId: string
	readonly deadlineMs: string
	/** Scheme of `authorization` before the key. */
	readonly keyScheme: string
	readonly team: string
	/** Id of the only server that may run the request. */
	readonly expectServer: string
	/** Marks an answer that says that the request was not run. */
	readonly notRun: string
	/** Names the server at fault in an answer that was not run. */
	readonly atFault: string
	/** Present on every genuine answer of a server. */
	readonly seal: string
	readonly lastEventId: string
	readonly priority: string
	/** Tokens of the prompt and the most that are generated. */
	readonly tokens: string
	/** Parts of the prompt, in order. */
	readonly promptParts: string
}

/** How an entry and the servers speak. */
export interface ServerWire {
	readonly names: WireNames
	/** Reads what an answer says of its server. */
	readStatement(status: number, headers: IncomingHttpHeaders): ServerStatement
}

/** Requests that a server runs, and that wait there. */
export interface ServerLoad {
	readonly running: number
	readonly waiting: number
}

/** What a server may say of itself in an answer. */
export interface SignalValues {
	readonly load: ServerLoad
	/** Requests a second that it takes from all entries together. */
	readonly perSecond: number
	/** For how long it wants nothing more from this entry, ms. */
	readonly restMs: number
	/** It is about to leave. */
	readonly leaving: true
}

/** One of these, as far as an answer has it. */
export type Signal<T> =
	| { readonly kind: 'told'; readonly value: T }
	| { readonly kind: 'untold' }
	| { readonly kind: 'unreadable'; readonly text: string }

/** What an answer says of the server that gave it. */
export interface ServerStatement {
	readonly signals: {
		readonly [K in keyof SignalValues]: Signal<SignalValues[K]>
	}
	/** Names of its headers that are neither standard nor known. */
	readonly unknown: readonly string[]
}

/** An answer that says something of its server. */
export interface StatementOrigin {
	/** Id of the server that the request was sent to. */
	readonly server: string
	/** When the request was sent, ms. */
	readonly sentAt: number
	/** Whether the server ran it. */
	readonly ran: boolean
}

/**
 * How long a caller waits for a stream's next event, the first one too: the longest
 * of a time, a multiple of the target time and one of the longest pause in time.
 */
export interface EventTimeoutPolicy {
	readonly minMs: number
	readonly targetFactor: number
	readonly pauseFactor: number
}

/** A listed server and how much this entry has sent it. */
export type { ListedServer }
