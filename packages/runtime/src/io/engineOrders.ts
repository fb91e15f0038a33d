/** Orders from an agent to the engine on its VM, and the engine's replies. */

import type { MapChange, RankReply, RankRequest } from '@juniperhook/core'

/** An order to one rank's engine. */
export type RankEngineOrder =
	/** For engines that check fences; they run the rank's side of the map protocol. */
	| { readonly order: 'rank'; readonly req: RankRequest }
	/** Loads the experts of a future map while the current map stays in use. */
	| {
			readonly order: 'stage'
			readonly mapId: string
			/** Experts of this rank, one list per layer. */
			readonly slots: readonly (readonly number[])[]
	  }
	/**
	 * This order and those below are for engines that do not check fences, which accept
	 * orders only from their agent. `look` only queries the engine's state.
	 */
	| { readonly order: 'look' }
	| { readonly order: 'hold' }
	/** Stops the engine before a step; rejected if the map is not staged. */
	| {
			readonly order: 'gate'
			readonly step: number
			readonly mapId: string
	  }
	| { readonly order: 'open' }
	| { readonly order: 'switch'; readonly change: MapChange }

/** An engine's reply to an order. */
export interface EngineReply {
	readonly accepted: boolean
	readonly step: number
	readonly mapId: string
	/** False if the engine is held or has lost its state. */
	readonly joined: boolean
	readonly reply?: RankReply
}
