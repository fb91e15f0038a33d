/** Messages between agents. */

import type { EngineOrder, OrderAnswer, RankReport } from '@juniperhook/core'
import type { RankLoad, RankPlacement } from './ports.ts'
import type { SampleMessage } from './rankSample.ts'

/** Order that an agent sends to the engine of another VM. */
export interface RemoteOrder {
	/** Address of the engine, `IP:port`. */
	readonly engine: string
	readonly order: EngineOrder
}

/** An agent's answer to `hello`. */
export interface AgentHello {
	/** Rank of its engine; -1 if not known yet. */
	readonly rank: number
	/** Whether it coordinates its group. */
	readonly active: boolean
}

/** Request for the base map of a received delta. */
export interface BaseMapRequest {
	readonly epoch: number
	readonly version: number
}

/** Answer of an engine, or of an agent that does not have the base of a delta. */
export type RankAnswer = OrderAnswer | 'unknownBase'

/** Results of the methods that agents serve. */
export interface RankResults {
	readonly report: RankReport | null
	readonly busy: RankLoad | null
	readonly sample: SampleMessage | null
	readonly placement: RankPlacement | null
	readonly order: RankAnswer
	readonly relay: readonly (RankAnswer | null)[]
	readonly orderElsewhere: OrderAnswer
}
