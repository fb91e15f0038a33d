/**
 * A rank's side of the map protocol, before an engine that checks fences (it
 * holds the state itself and outlives its agent) or one that does not (the
 * agent holds the state and is the only giver of orders).
 */

import type { RankReply, RankRequest, RankState } from '@juniperhook/core'
import { createRestartedRank, handleRankRequest } from '@juniperhook/core'
import { giveOrder } from './engine.ts'

/** How long an order of an earlier agent may still be on its way, ms. */
export const ORDER_LIFE_MS = 3_000

/** The rank that this agent speaks for. */
export type RankPort =
	| { readonly kind: 'fenced'; readonly address: string }
	| {
			readonly kind: 'unfenced'
			readonly address: string
			rank: RankState
			/** Before this time, monotonic ms, no order is given. */
			readonly quietUntil: number
			/** Requests are taken one after the other. */
			turn: Promise<unknown>
	  }

/** Makes the port; an engine without fences is held until it is let in. */
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
		quietUntil: now + ORDER_LIFE_MS,
		turn: giveOrder(address, { order: 'hold' }).catch(() => {}),
	}
}

/** Lets the rank take a request of the protocol. */
export async function askRank(
	port: RankPort,
	req: RankRequest,
	now: number,
): Promise<RankReply> {
	switch (port.kind) {
		case 'fenced': {
			const { reply } = await giveOrder(port.address, { order: 'rank', req })
			if (!reply) throw new Error('the engine gave no reply')
			return reply
		}
		case 'unfenced': {
			if (now < port.quietUntil)
				throw new Error('orders of an earlier agent may be on their way')
			const answer = port.turn.then(() => askUnfenced(port, req))
			port.turn = answer.catch(() => {})
			return await answer
		}
		default:
			return port satisfies never
	}
}

async function askUnfenced(
	port: Extract<RankPort, { kind: 'unfenced' }>,
	req: RankRequest,
): Promise<RankReply> {
	const { address } = port
	const seen = await giveOrder(address, { order: 'look' })
	const forgotten = port.rank.joined && !seen.joined
	if (forgotten) port.rank = createRestartedRank(port.rank.incarnation + 1)
	const rank = { ...port.rank, mapId: seen.mapId, step: seen.step }
	const reply = handleRankRequest(rank, req)
	const carried = await carryOut(port, req, reply)
	if (!carried)
		return {
			type: 'refused',
			fence: req.fence,
			request: req.type,
			highest: rank.fence,
		}
	port.rank = rank
	return reply
}

async function carryOut(
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
			return (await giveOrder(address, gate)).accepted
		}
		case 'commit': {
			const { change } = req
			if (port.rank.committed?.fence === change.fence) return true
			await giveOrder(address, { order: 'switch', change })
			return true
		}
		case 'abort':
			// Nothing to open unless this very change holds the gate.
			if (port.rank.promised?.fence === req.changeFence)
				await giveOrder(address, { order: 'open' })
			return true
		default:
			return req satisfies never
	}
}
