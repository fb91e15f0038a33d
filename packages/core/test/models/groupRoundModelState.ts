/** States, events, mutants and bounds of the model of rounds. */

import type { GroupRound, PendingOrder } from '../../src/index.ts'

/** Bounds of an exploration. */
export interface RoundBounds {
	readonly ranks: number
	readonly coordinators: number
	/** Number of rounds begun by all coordinators together. */
	readonly rounds: number
	/** Last pass explored. */
	readonly steps: number
	/** Number of unanswered orders that may be executed later. */
	readonly late: number
	/** Number of coordinator crashes. */
	readonly crashes: number
	/** Number of times that the group re-forms. */
	readonly reforms: number
}

/** Guard that a mutant lacks; the exploration must find the resulting fault. */
export type RoundMutant =
	| 'none'
	/** Engines accept any fence. */
	| 'fence'
	/** Engines accept orders of an older epoch. */
	| 'epoch'
	/** A hold order has no effect. */
	| 'hold'
	/** The group is released as soon as one rank is armed. */
	| 'allArmed'
	/** The group is released without a change although a rank may be armed. */
	| 'probe'

/** State of an engine, according to the platform's published rules. */
export interface Engine {
	map: number
	prepared: number
	/** Highest version prepared. */
	highest: number
	armed: { version: number; step: number } | null
	fence: number
}

/** State of the model; JSON-compatible except for its sets. */
export interface RoundState {
	engines: Engine[]
	/** Pass that is held at the anchor; 0 for none. */
	held: number
	step: number
	epoch: number
	rounds: (GroupRound | null)[]
	/** Whether the next round of each coordinator rolls back a refused change. */
	undo: boolean[]
	/** Orders in flight that will not be answered. */
	pending: PendingOrder[]
	begun: number
	late: number
	crashes: number
	reforms: number
	fault: string
}

/** An event of the model. */
export type RoundEvent =
	| {
			readonly type: 'begin' | 'report' | 'crash' | 'abandon'
			readonly by: number
	  }
	/** Executes an order and delivers its answer at once. */
	| { readonly type: 'order'; readonly by: number; readonly at: number }
	/** Sends an order that is never answered. */
	| { readonly type: 'lose'; readonly by: number; readonly at: number }
	/** Executes an unanswered order; its coordinator may send it again. */
	| { readonly type: 'execute'; readonly at: number }
	| { readonly type: 'pass' | 'reform' }
