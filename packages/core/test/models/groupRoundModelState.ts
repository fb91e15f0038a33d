/** States and events of the model of rounds, and how far it is explored. */

import type { GroupRound, PendingOrder } from '../../src/index.ts'

/** Bounds of an exploration. */
export interface RoundBounds {
	readonly ranks: number
	readonly coordinators: number
	/** Rounds begun by all coordinators together. */
	readonly rounds: number
	/** Last pass explored. */
	readonly steps: number
	/** Orders without an answer that may be carried out later. */
	readonly late: number
	/** Times that a coordinator dies. */
	readonly crashes: number
	/** Times that the group forms anew. */
	readonly reforms: number
}

/** A guard taken out, to see that the exploration finds the fault. */
export type RoundMutant =
	| 'none'
	/** Engines take any fence. */
	| 'fence'
	/** Engines take orders of an older epoch. */
	| 'epoch'
	/** The hold does not hold. */
	| 'hold'
	/** The group is let go when one rank is armed. */
	| 'allArmed'
	/** The group is let go after a probe although a rank may be armed. */
	| 'probe'

/** An engine, by the platform's published rules. */
export interface Engine {
	map: number
	prepared: number
	highest: number
	armed: { version: number; step: number } | null
	fence: number
}

/** A state of the model; JSON-safe but for sets. */
export interface RoundState {
	engines: Engine[]
	held: number
	step: number
	epoch: number
	rounds: (GroupRound | null)[]
	undo: boolean[]
	/** Orders that are on their way and will not be answered. */
	pending: PendingOrder[]
	begun: number
	late: number
	crashes: number
	reforms: number
	fault: string
}

/** What may happen. */
export type RoundEvent =
	| {
			readonly type: 'begin' | 'report' | 'die' | 'giveUp'
			readonly by: number
	  }
	/** An order is carried out and answered, at once. */
	| { readonly type: 'order'; readonly by: number; readonly at: number }
	/** An order is sent and never answered. */
	| { readonly type: 'lose'; readonly by: number; readonly at: number }
	/** Such an order is carried out; it may come once more. */
	| { readonly type: 'carryOut'; readonly at: number }
	| { readonly type: 'pass' | 'reform' }
