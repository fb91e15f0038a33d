/**
 * Orders that go to every rank of a large group travel by way of some of its
 * agents: a coordinator that sent a map to each of 72 agents itself would keep
 * its VM's small link busy for longer than the experts take to copy.
 */

import type { RpcLink } from '@juniperhook/runtime'
import { call, connectRpc } from '@juniperhook/runtime'
import type { OrderMessage } from './orderMessage.ts'
import type { RankAnswer } from './rankService.ts'

const CONNECT_MS = 200

/** An order that an agent is to pass on. */
export interface RelayRequest {
	readonly order: OrderMessage
	/** Addresses of other agents. */
	readonly to: readonly string[]
	/** How long each of them may take, ms. */
	readonly waitMs: number
}

/** What an agent passes orders on with. */
export interface OrderRelay {
	readonly links: Map<string, RpcLink>
}

/** Makes a relay without links. */
export function createOrderRelay(): OrderRelay {
	return { links: new Map() }
}

/** Passes an order on; null for each agent that gave no answer in time. */
export function relayOrder(
	relay: OrderRelay,
	{ order, to, waitMs }: RelayRequest,
): Promise<(RankAnswer | null)[]> {
	return Promise.all(to.map(address => passOn(relay, address, order, waitMs)))
}

async function passOn(
	relay: OrderRelay,
	address: string,
	order: OrderMessage,
	waitMs: number,
): Promise<RankAnswer | null> {
	const known = relay.links.get(address)
	const isOpen = known !== undefined && !known.socket.destroyed
	try {
		const link = isOpen ? known : await connectRpc(address, {}, CONNECT_MS)
		relay.links.set(address, link)
		return await call<RankAnswer>(link, 'order', order, waitMs)
	} catch {
		// The coordinator asks this agent itself and finds out why.
		relay.links.get(address)?.socket.destroy()
		relay.links.delete(address)
		return null
	}
}
