/** Orders to an engine of the group; fenced if the engine checks fences. */

import type { MapChange, RankReply, RankRequest } from '@juniperhook/core'
import { takeRankRequest } from '@juniperhook/core'
import { request } from 'undici'
import type { GroupModel, RankModel } from './groupModel.ts'
import { holdsWeights, weightOf } from './groupModel.ts'

/** An order to one rank's engine. */
export type EngineOrder =
	/** Engines that check fences run the rank's side of the map protocol. */
	| { readonly order: 'rank'; readonly req: RankRequest }
	/** Fetches what a coming map needs, beside what is in use. */
	| {
			readonly order: 'stage'
			readonly mapId: string
			/** Experts of this rank, a list a layer. */
			readonly slots: readonly (readonly number[])[]
	  }
	/** Engines that check no fences take these from their agent alone. */
	| { readonly order: 'look' }
	| { readonly order: 'hold' }
	| {
			readonly order: 'gate'
			readonly step: number
			readonly mapId: string
	  }
	| { readonly order: 'open' }
	| { readonly order: 'switch'; readonly change: MapChange }

/** What an engine says after an order. */
export interface EngineReply {
	readonly accepted: boolean
	readonly step: number
	readonly mapId: string
	/** False when the engine is held, or has lost what it knew. */
	readonly joined: boolean
	readonly reply?: RankReply
}

/** Lets one rank's engine take an order. */
export async function takeOrder(
	model: GroupModel,
	rank: number,
	order: EngineOrder,
): Promise<EngineReply> {
	const state = model.ranks[rank]!
	if (order.order === 'rank') {
		const unstaged = refuseUnstaged(state, order.req)
		if (unstaged) return { ...describe(state, false), reply: unstaged }
		const reply = takeRankRequest(state.protocol, order.req)
		return { ...describe(state, reply.type !== 'refused'), reply }
	}
	return describe(state, await obey(model, state, order))
}

/** An engine promises no map whose weights it does not hold. */
function refuseUnstaged(
	state: RankModel,
	req: RankRequest,
): RankReply | undefined {
	if (req.type !== 'prepare' || holdsWeights(state, req.change.mapId))
		return undefined
	const { fence } = req
	const highest = state.protocol.fence
	return { type: 'refused', fence, request: 'prepare', highest }
}

async function obey(
	model: GroupModel,
	state: RankModel,
	order: Exclude<EngineOrder, { order: 'rank' }>,
): Promise<boolean> {
	const { protocol } = state
	switch (order.order) {
		case 'stage':
			await stage(model, state, order.mapId, order.slots)
			return true
		case 'look':
			return true
		case 'hold':
			protocol.joined = false
			return true
		case 'gate': {
			const { step } = order
			const holds = holdsWeights(state, order.mapId)
			if (step <= protocol.step || !holds) return false
			const { generation, mapId } = protocol
			protocol.promised = { fence: 0, generation, step, mapId }
			return true
		}
		case 'open':
			protocol.promised = undefined
			return true
		case 'switch': {
			const { change } = order
			if (protocol.generation !== change.generation || !protocol.joined)
				protocol.step = change.step - 1
			protocol.generation = change.generation
			protocol.joined = true
			protocol.promised = undefined
			protocol.committed = change
			return true
		}
		default:
			return order satisfies never
	}
}

async function stage(
	model: GroupModel,
	state: RankModel,
	mapId: string,
	slots: readonly (readonly number[])[],
): Promise<void> {
	for (const [layer, experts] of slots.entries())
		for (const weight of experts.map(weightOf(layer))) {
			if (state.loaded.has(weight)) continue
			await fetchWeights(model)
			state.loaded.add(weight)
		}
	state.staged.set(mapId, slots)
}

async function fetchWeights(model: GroupModel): Promise<void> {
	const { store, bytesPerExpert } = model.options
	if (store === '') return
	const res = await request(`http://${store}/weights?bytes=${bytesPerExpert}`)
	await res.body.dump()
}

function describe(state: RankModel, accepted: boolean): EngineReply {
	const { step, mapId, joined } = state.protocol
	return { accepted, step, mapId, joined }
}
