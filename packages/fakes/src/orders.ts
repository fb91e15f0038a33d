/** Fenced orders to an engine of the group: load, gate, release, learn. */

import { request } from 'undici'
import type { GroupModel, RankMap, RankModel } from './groupModel.ts'
import { weightOf } from './groupModel.ts'

/** An order to one rank's engine. */
export type EngineOrder =
	/** Raises the fence; tells what the engine holds. */
	| { readonly order: 'learn'; readonly fence: number }
	/** Fetches an expert's weights beside those in use. */
	| {
			readonly order: 'load'
			readonly fence: number
			readonly layer: number
			readonly expert: number
	  }
	/** Not to begin `step` before the decision. */
	| { readonly order: 'gate'; readonly fence: number; readonly step: number }
	| {
			readonly order: 'commit'
			readonly fence: number
			readonly step: number
			readonly map: RankMap
	  }
	| { readonly order: 'abort'; readonly fence: number }

/** What an engine says after an order. */
export interface EngineReply {
	readonly accepted: boolean
	readonly fence: number
	readonly step: number
	readonly generation: number
	readonly mapId: string
	readonly mapFence: number
	readonly gate: { readonly fence: number; readonly step: number } | null
	readonly nextMapId: string | null
}

/** Lets one rank's engine take an order. */
export async function takeOrder(
	model: GroupModel,
	rank: number,
	order: EngineOrder,
): Promise<EngineReply> {
	const state = model.ranks[rank]!
	const tooLow = order.fence < state.orderFence
	if (tooLow && model.options.checksFences) return reply(model, state, false)
	state.orderFence = Math.max(state.orderFence, order.fence)
	return reply(model, state, await obey(model, state, order))
}

async function obey(
	model: GroupModel,
	state: RankModel,
	order: EngineOrder,
): Promise<boolean> {
	switch (order.order) {
		case 'learn':
			return true
		case 'load':
			await fetchWeights(model)
			state.loaded.add(weightOf(order.layer)(order.expert))
			return true
		case 'gate':
			if (order.step <= model.step) return false
			state.gate = { fence: order.fence, step: order.step }
			return true
		case 'commit':
			if (order.step <= model.step) return false
			state.next = { step: order.step, map: order.map }
			state.gate = undefined
			return true
		case 'abort':
			state.gate = undefined
			return true
		default:
			return order satisfies never
	}
}

async function fetchWeights(model: GroupModel): Promise<void> {
	const { store, bytesPerExpert } = model.options
	if (store === '') return
	const res = await request(`http://${store}/weights?bytes=${bytesPerExpert}`)
	await res.body.dump()
}

function reply(
	model: GroupModel,
	state: RankModel,
	accepted: boolean,
): EngineReply {
	return {
		accepted,
		fence: state.orderFence,
		step: model.step,
		generation: model.generation,
		mapId: state.map.id,
		mapFence: state.map.fence,
		gate: state.gate ?? null,
		nextMapId: state.next?.map.id ?? null,
	}
}
