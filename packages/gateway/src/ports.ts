/** Interfaces that the platform implements for a gateway. */

import type { IncomingHttpHeaders } from 'node:http'
import type {
	Evacuation,
	ListedServer,
	RequestSize,
	ServerRecord,
	TermRevision,
	TrafficConfig,
} from '@juniperhook/core'

/** A published configuration, with the text from which it was decoded. */
export interface PublishedConfig {
	readonly config: TrafficConfig
	/** The published text, passed on to peers unchanged. */
	readonly text: string
}

/** Everything that is published, as of a revision. */
export interface CatalogSnapshot {
	readonly revision: TermRevision
	readonly config: PublishedConfig | undefined
	readonly servers: readonly ServerRecord[]
	readonly evacuations: readonly Evacuation[]
	/** Values that could not be decoded, with the reasons. */
	readonly faults: readonly string[]
}

/** Result of a call to a source, with the bytes received for it. */
export type SourceResult<T> = { readonly bytes: number } & (
	| { readonly ok: true; readonly value: T }
	/** The requested changes are no longer available: everything must be read again. */
	| { readonly ok: false; readonly lostHistory: true; readonly reason: string }
	| { readonly ok: false; readonly lostHistory: false; readonly reason: string }
)

/** Source of published configuration and servers. */
export interface CatalogSource {
	/** Reads everything. */
	read(): Promise<SourceResult<CatalogSnapshot>>
	/**
	 * Waits for changes after a revision and returns none after `waitMs`. History is
	 * lost when a later term has begun.
	 */
	watch(
		revision: TermRevision,
		waitMs: number,
	): Promise<SourceResult<CatalogSnapshot>>
	/** Decodes the text of a configuration that a peer passed on. */
	decode(text: string): PublishedConfig | undefined
}

/** Names and formats of headers between callers, entries and servers. */
export interface WireNames {
	readonly requestId: string
	readonly deadlineMs: string
	/** Authentication scheme that precedes the key in `authorization`. */
	readonly keyScheme: string
	readonly team: string
	/** Id of the only server that may run the request. */
	readonly expectServer: string
	/** Marks a response to a request that was not run. */
	readonly notRun: string
	/** Names the failed server in a response to a request that was not run. */
	readonly atFault: string
	/** Present in every genuine response of a server. */
	readonly seal: string
	readonly lastEventId: string
	readonly priority: string
	/** Prompt tokens and the maximum of generated tokens. */
	readonly tokens: string
	/** Parts of the prompt, in order. */
	readonly promptParts: string
}

/** Protocol between an entry and the servers. */
export interface ServerWire {
	readonly names: WireNames
	/** Parses the signals that a response carries about its server. */
	readStatement(status: number, headers: IncomingHttpHeaders): ServerStatement
	/** Parses the size that a request states; values that cannot be right are left out. */
	readRequestSize(headers: IncomingHttpHeaders): RequestSize
	/**
	 * Parses the ids of the parts of the prompt that other requests may share, in order; none
	 * if the request names no parts.
	 */
	readSharedParts(headers: IncomingHttpHeaders): readonly string[]
}

/** Numbers of requests that run and that wait at a server. */
export interface ServerLoad {
	readonly running: number
	readonly waiting: number
}

/** Values that a server may report about itself in a response. */
export interface SignalValues {
	readonly load: ServerLoad
	/** Rate limit over all entries, requests per second. */
	readonly perSecond: number
	/** Backoff that it requests of this entry, ms. */
	readonly restMs: number
	/** How long it remains cold, ms; 0 if it is warm. */
	readonly coldMs: number
	/** Set when the server is about to leave. */
	readonly leaving: true
}

/** One signal as parsed from a response: present, absent or unreadable. */
export type Signal<T> =
	| { readonly kind: 'present'; readonly value: T }
	| { readonly kind: 'absent' }
	| { readonly kind: 'unreadable'; readonly text: string }

/** All signals of a response about its server. */
export interface ServerStatement {
	readonly signals: {
		readonly [K in keyof SignalValues]: Signal<SignalValues[K]>
	}
	/** Names of response headers that are neither standard nor known. */
	readonly unknown: readonly string[]
}

/** The response that a statement comes from. */
export interface StatementOrigin {
	/** Id of the server that the request was sent to. */
	readonly server: string
	/** When the request was sent, ms. */
	readonly sentAt: number
	/** Whether the server ran the request. */
	readonly ran: boolean
}

/**
 * How long a caller waits for the next event of a stream, including the first: the
 * maximum of a fixed time, a multiple of the route's target time and a multiple of its
 * maximum pause.
 */
export interface EventTimeoutPolicy {
	readonly minMs: number
	readonly targetFactor: number
	readonly pauseFactor: number
}

export type { ListedServer }
