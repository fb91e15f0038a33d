/** States, events, mutants and bounds of the model of the map protocol. */

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
	/** Number of rounds that each coordinator may begin. */
	readonly rounds: number
	/** Last step explored. */
	readonly steps: number
	/** Number of rank restarts. */
	readonly restarts: number
	/** Number of time-outs of coordinators. */
	readonly timeouts: number
	/** Number of requests delivered more than once. */
	readonly duplicates: number
	/** Number of lost replies. */
	readonly losses: number
	/** Number of replies delivered at any later time, out of order. */
	readonly late: number
}

/** Guard that a mutant lacks; the exploration must find the resulting fault. */
export type MapMutant =
	| 'none'
	/** Ranks begin a step despite an undecided change. */
	| 'gate'
	/** The coordinator commits after the first promise. */
	| 'nOfN'
	/** Ranks accept any fence. */
	| 'fence'

/** A request in flight. */
export interface Message {
	readonly to: number
	readonly from: number
	readonly req: RankRequest
}

/** State of the model; JSON-compatible. */
export interface MapModelState {
	readonly ranks: RankState[]
	readonly coordinators: CoordinatorJson[]
	/** Messages in flight, as JSON; a message may never be delivered. */
	readonly messages: string[]
	readonly duplicates: number
	readonly losses: number
	readonly late: number
	readonly lateReplies: LateReply[]
	readonly rounds: number[]
	readonly restarts: number
	readonly timeouts: number
	/** Map used in each step, by `generation/step`. */
	readonly used: Record<string, string>
	/** Maps in the order in which complete steps used them. */
	readonly history: string[]
	readonly fault: string | null
}

/** A reply delivered after its call has timed out. */
export interface LateReply {
	readonly rank: number
	/** Coordinator that receives the reply. */
	readonly at: number
	readonly reply: RankReply
}

/** JSON-compatible state of a coordinator. */
export type CoordinatorJson = Omit<MapCoordinatorState, 'pendingRanks'> & {
	readonly pendingRanks: number[]
}

/** An event of the model. */
export type MapModelEvent =
	| { readonly do: 'start'; readonly coordinator: number }
	| { readonly do: 'timeout'; readonly coordinator: number }
	| {
			readonly do: 'deliver'
			readonly message: string
			readonly replyDelivery: 'prompt' | 'lost' | 'late'
			/** Whether the message stays in flight, to be delivered again. */
			readonly again: boolean
	  }
	| { readonly do: 'lateReply'; readonly index: number }
	| { readonly do: 'begin'; readonly rank: number }
	| { readonly do: 'restart'; readonly rank: number }
