/** States and events of the model of maps, and how far it is explored. */

import type {
	MapCoordinatorState,
	RankReply,
	RankRequest,
	RankState,
} from '../../src/index.ts'

/** Bounds of an exploration. */
export interface MapBounds {
	readonly ranks: number
	readonly coordinators: number
	/** Rounds that each coordinator may begin. */
	readonly rounds: number
	/** Last step explored. */
	readonly steps: number
	readonly restarts: number
	/** Time-outs of coordinators. */
	readonly timeouts: number
	/** Requests delivered a second time. */
	readonly duplicates: number
	/** Replies lost. */
	readonly losses: number
	/** Replies that come after any time, out of order. */
	readonly late: number
}

/** A guard taken out, to see that the exploration finds the fault. */
export type Mutant = 'none' | 'gate' | 'nOfN' | 'fence'

/** A request on its way. */
export interface Message {
	readonly to: number
	readonly from: number
	readonly req: RankRequest
}

/** A state of the model; JSON-safe. */
export interface MapModelState {
	readonly ranks: RankState[]
	readonly coordinators: CoordinatorJson[]
	/** On the way; a message may stay there for ever. */
	readonly messages: string[]
	readonly duplicates: number
	readonly losses: number
	readonly late: number
	readonly lateReplies: LateReply[]
	readonly rounds: number[]
	readonly restarts: number
	readonly timeouts: number
	/** Map used in `generation/step`, with the ranks that began it. */
	readonly used: Record<string, string>
	/** Maps in the order in which whole steps used them. */
	readonly history: string[]
	readonly fault: string | null
}

/** A reply that comes after its call was given up. */
export interface LateReply {
	readonly rank: number
	readonly at: number
	readonly reply: RankReply
}

/** A coordinator, safe for JSON. */
export type CoordinatorJson = Omit<MapCoordinatorState, 'open'> & {
	readonly open: number[]
}

/** What may happen. */
export type MapModelEvent =
	| { readonly do: 'start'; readonly coordinator: number }
	| { readonly do: 'timeout'; readonly coordinator: number }
	| {
			readonly do: 'deliver'
			readonly message: string
			readonly replyFate: 'prompt' | 'lost' | 'late'
			/** It stays on the way, to be delivered once more. */
			readonly again: boolean
	  }
	| { readonly do: 'lateReply'; readonly index: number }
	| { readonly do: 'begin'; readonly rank: number }
	| { readonly do: 'restart'; readonly rank: number }
