/**
 * Orders that go to every rank of a large group travel from agent to agent: a
 * coordinator that sent a map to each of 192 agents itself would keep its VM's
 * small link busy for seconds, as long as demand stays as it is.
 */

import type { Methods, RpcLink } from '@juniperhook/runtime'
import { call, connectRpc } from '@juniperhook/runtime'
import type { OrderMessage } from './orderMessage.ts'
import { countHops, splitBranches } from './orderTree.ts'
import type { RankAnswer } from './rankMessages.ts'

const CONNECT_MS = 200

/** An order for an agent, and for others that it is to be passed on to. */
export interface RelayRequest {
	readonly order: OrderMessage
	/** Addresses of the agents behind this one. */
	readonly to: readonly string[]
	/** Agents that each one passes it on to. */
	readonly fanOut: number
	/** How long an agent and its engine may take over the order, ms. */
	readonly workMs: number
	/** How long each hop may take, there and back, ms. */
	readonly hopMs: number
}

/** What an agent passes orders on with. */
export interface OrderRelay {
	readonly links: Map<string, RpcLink>
	/** What agents that were given an order may ask of the one that gave it. */
	readonly methods: Methods
}

/** Makes a relay without links. */
export function createOrderRelay(methods: Methods = {}): OrderRelay {
	return { links: new Map(), methods }
}

/** How long a branch may take, whose first agent has `behind` more behind it. */
export function branchWaitMs(
	{ workMs, hopMs, fanOut }: Omit<RelayRequest, 'order' | 'to'>,
	behind: number,
): number {
	return workMs + hopMs * (1 + countHops(behind, fanOut))
}

/** Passes an order on; null for each agent that gave no answer in time. */
export async function relayOrder(
	relay: OrderRelay,
	req: RelayRequest,
): Promise<(RankAnswer | null)[]> {
	const branches = splitBranches(req.to, req.fanOut)
	const answers = await Promise.all(
		branches.map(branch => passOn(relay, req, branch)),
	)
	return answers.flat()
}

async function passOn(
	relay: OrderRelay,
	req: RelayRequest,
	[address, ...behind]: readonly string[],
): Promise<(RankAnswer | null)[]> {
	const waitMs = branchWaitMs(req, behind.length)
	const known = relay.links.get(address!)
	const isOpen = known !== undefined && !known.socket.destroyed
	try {
		const link = isOpen
			? known
			: await connectRpc(address!, relay.methods, CONNECT_MS)
		relay.links.set(address!, link)
		const params: RelayRequest = { ...req, to: behind }
		return await call<(RankAnswer | null)[]>(link, 'relay', params, waitMs)
	} catch {
		// The coordinator asks these agents again by another way.
		relay.links.get(address!)?.socket.destroy()
		relay.links.delete(address!)
		return [null, ...behind.map(() => null)]
	}
}
