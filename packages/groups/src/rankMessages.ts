/** What agents ask each other, and what they answer. */

import type { EngineOrder, OrderAnswer, RankReport } from '@juniperhook/core'
import type { SampleMessage } from './rankSample.ts'
import type { RankBusy, RankPlacement } from './ports.ts'

/** An order that an agent gives to the engine of another VM. */
export interface OrderElsewhere {
	/** `IP:port`. */
	readonly engine: string
	readonly order: EngineOrder
}

/** The last word of an agent on itself. */
export interface AgentHello {
	readonly rank: number
	/** Whether it coordinates its group. */
	readonly active: boolean
}

/** Asks for a map that changes were told of. */
export interface BaseMapRequest {
	readonly epoch: number
	readonly version: number
}

/** An engine's answer, or that an agent lacks the map that is to change. */
export type RankAnswer = OrderAnswer | 'unknownBase'

/** What the methods answer. */
export interface RankAnswers {
	readonly report: RankReport | null
	readonly busy: RankBusy | null
	readonly sample: SampleMessage | null
	readonly placement: RankPlacement | null
	readonly order: RankAnswer
	readonly relay: readonly (RankAnswer | null)[]
	readonly orderElsewhere: OrderAnswer
}
