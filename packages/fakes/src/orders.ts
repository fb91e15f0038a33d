/** Executes orders to an engine of a group; only map requests (`rank`) check fences. */

import type { RankReply, RankRequest } from '@juniperhook/core'
import { handleRankRequest } from '@juniperhook/core'
import type { EngineReply, RankEngineOrder } from '@juniperhook/runtime'
import { request } from 'undici'
import type { GroupModel, RankModel } from './groupModel.ts'
import { holdsWeights, weightOf } from './groupModel.ts'

/** Executes an order at one rank's engine. */
export async function executeOrder(
	model: GroupModel,
	rank: number,
	order: RankEngineOrder,
): Promise<EngineReply> {
	const state = model.ranks[rank]!
	if (order.order === 'rank') {
		const unstaged = refuseUnstaged(state, order.req)
		if (unstaged) return { ...describe(state, false), reply: unstaged }
		const reply = handleRankRequest(state.protocol, order.req)
		return { ...describe(state, reply.type !== 'refused'), reply }
	}
	return describe(state, await applyOrder(model, state, order))
}

/** Refuses to prepare a map whose weights the engine does not hold. */
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

async function applyOrder(
	model: GroupModel,
	state: RankModel,
	order: Exclude<RankEngineOrder, { order: 'rank' }>,
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
