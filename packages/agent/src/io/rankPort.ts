/**
 * A rank's side of the map protocol. An engine that checks fences keeps the protocol state
 * itself and outlives its agent. For an engine that does not check them, the agent keeps
 * the state and is the only sender of orders.
 */

import type { RankReply, RankRequest, RankState } from '@juniperhook/core'
import { createRestartedRank, handleRankRequest } from '@juniperhook/core'
import { sendOrder } from './engine.ts'

/** Time for which an order of an earlier agent process may still be in transit, ms. */
export const MAX_ORDER_DELAY_MS = 3_000

/** Access to the rank of this agent. */
export type RankPort =
	| { readonly kind: 'fenced'; readonly address: string }
	| {
			readonly kind: 'unfenced'
			readonly address: string
			rank: RankState
			/** No order is sent before this time, monotonic ms. */
			readonly refuseUntil: number
			/** The last call; calls are executed one at a time. */
			lastCall: Promise<unknown>
	  }

/**
 * Creates the port. An engine that checks no fences is held until a change is committed.
 */
export function createRankPort(
	address: string,
	checksFences: boolean,
	incarnation: number,
	now: number,
): RankPort {
	if (checksFences) return { kind: 'fenced', address }
	return {
		kind: 'unfenced',
		address,
		rank: createRestartedRank(incarnation),
		refuseUntil: now + MAX_ORDER_DELAY_MS,
		lastCall: sendOrder(address, { order: 'hold' }).catch(() => {}),
	}
}

/** Passes a request of the map protocol to the rank and returns its reply. */
export async function callRank(
	port: RankPort,
	req: RankRequest,
	now: number,
): Promise<RankReply> {
	switch (port.kind) {
		case 'fenced': {
			const { reply } = await sendOrder(port.address, { order: 'rank', req })
			if (!reply) throw new Error('the engine gave no reply')
			return reply
		}
		case 'unfenced': {
			if (now < port.refuseUntil)
				throw new Error('orders of an earlier agent may be on their way')
			const answer = port.lastCall.then(() => callUnfencedRank(port, req))
			port.lastCall = answer.catch(() => {})
			return await answer
		}
		default:
			return port satisfies never
	}
}

async function callUnfencedRank(
	port: Extract<RankPort, { kind: 'unfenced' }>,
	req: RankRequest,
): Promise<RankReply> {
	const { address } = port
	const engine = await sendOrder(address, { order: 'look' })
	const restarted = port.rank.joined && !engine.joined
	if (restarted) port.rank = createRestartedRank(port.rank.incarnation + 1)
	const rank = { ...port.rank, mapId: engine.mapId, step: engine.step }
	const reply = handleRankRequest(rank, req)
	const applied = await applyToEngine(port, req, reply)
	if (!applied)
		return {
			type: 'refused',
			fence: req.fence,
			request: req.type,
			highest: rank.fence,
		}
	port.rank = rank
	return reply
}

async function applyToEngine(
	port: Extract<RankPort, { kind: 'unfenced' }>,
	req: RankRequest,
	reply: RankReply,
): Promise<boolean> {
	if (reply.type === 'refused') return true
	const { address } = port
	switch (req.type) {
		case 'learn':
			return true
		case 'prepare': {
			const { step, mapId } = req.change
			const gate = { order: 'gate', step, mapId } as const
			return (await sendOrder(address, gate)).accepted
		}
		case 'commit': {
			const { change } = req
			if (port.rank.committed?.fence === change.fence) return true
			await sendOrder(address, { order: 'switch', change })
			return true
		}
		case 'abort':
			// Opens the gate only if it is held for this change.
			if (port.rank.promised?.fence === req.changeFence)
				await sendOrder(address, { order: 'open' })
			return true
		default:
			return req satisfies never
	}
}
