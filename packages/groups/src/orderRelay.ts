/**
 * Relays orders for all ranks of a large group from agent to agent. A coordinator that
 * sent a map to each of 192 agents itself would occupy the small link of its VM for
 * seconds, which is as long as demand remains steady.
 */

import type { Methods, RpcLink } from '@juniperhook/runtime'
import { call } from '@juniperhook/runtime'
import type { LinkCache } from './linkCache.ts'
import { createLinkCache, dropLink, reachLink } from './linkCache.ts'
import type { OrderMessage } from './orderMessage.ts'
import { countHops, splitBranches } from './orderTree.ts'
import type { RankAnswer } from './rankMessages.ts'

const CONNECT_TIMEOUT_MS = 200

/** Order for an agent and for the agents to which it relays the order. */
export interface RelayRequest {
	readonly order: OrderMessage
	/** Addresses of the agents to which to relay the order. */
	readonly to: readonly string[]
	/** Maximum number of agents to which one agent sends the order. */
	readonly fanOut: number
	/** Time allowed for an agent and its engine to execute the order, ms. */
	readonly workMs: number
	/** Time allowed for the round trip of each hop, ms. */
	readonly hopMs: number
}

/** Links over which an agent relays orders. */
export interface OrderRelay extends LinkCache {
	/** Methods offered to the agents that receive the orders. */
	readonly methods: Methods
}

/** Creates a relay without links. */
export function createOrderRelay(methods: Methods = {}): OrderRelay {
	return { ...createLinkCache(), methods }
}

/** Returns the timeout of a branch whose first agent relays to `behind` others, ms. */
export function branchTimeoutMs(
	{ workMs, hopMs, fanOut }: Omit<RelayRequest, 'order' | 'to'>,
	behind: number,
): number {
	return workMs + hopMs * (1 + countHops(behind, fanOut))
}

/** Relays an order; the answer is null for each agent that did not answer in time. */
export async function relayOrder(
	relay: OrderRelay,
	req: RelayRequest,
): Promise<(RankAnswer | null)[]> {
	const branches = splitBranches(req.to, req.fanOut)
	const answers = await Promise.all(
		branches.map(branch => relayBranch(relay, req, branch)),
	)
	return answers.flat()
}

async function relayBranch(
	relay: OrderRelay,
	req: RelayRequest,
	[address, ...behind]: readonly string[],
): Promise<(RankAnswer | null)[]> {
	const timeoutMs = branchTimeoutMs(req, behind.length)
	let link: RpcLink | undefined
	try {
		const { methods } = relay
		link = await reachLink(relay, address!, methods, CONNECT_TIMEOUT_MS)
		const params: RelayRequest = { ...req, to: behind }
		return await call<(RankAnswer | null)[]>(link, 'relay', params, timeoutMs)
	} catch {
		// The coordinator sends the order to these agents again along another tree.
		if (link) dropLink(relay, address!, link)
		return [null, ...behind.map(() => null)]
	}
}
