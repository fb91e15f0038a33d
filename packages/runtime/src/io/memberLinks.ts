/** Links to other processes, over which published values are gossiped. */

import type { GossipMessage } from '@juniperhook/core'
import { splitAddress } from '@juniperhook/core'
import { readNow } from '../utils/clock.ts'
import type { Follower } from './follower.ts'
import type { RpcLink } from './rpc.ts'
import { CALL_TIMEOUT_MS, connectRpc, notify } from './rpc.ts'

/** Idle time after which a link to a process that is not a neighbour is closed, ms. */
const IDLE_TIMEOUT_MS = 30_000

/** A link and when it was last used, ms. */
export interface MemberLink {
	readonly link: RpcLink
	usedAt: number
}

/** Sends a message to a member of the VM list; it may be lost. */
export async function sendToMember(
	follower: Follower,
	name: string,
	message: GossipMessage,
): Promise<void> {
	await sendTo(follower, name, addressOf(follower, name), message)
}

/** Sends a message to `name`, which is connected or listens at `address`. */
export async function sendTo(
	follower: Follower,
	name: string,
	address: string | undefined,
	message: GossipMessage,
): Promise<void> {
	try {
		const link = await openLink(follower, name, address)
		if (!link) return
		const from = follower.settings.process.name
		notify(link, 'spread', { from, message })
	} catch {
		// The gossip protocol recovers from lost messages.
		follower.links.delete(name)
	}
}

/**
 * Returns an open link to a member of the VM list; undefined if it is not listed. Rejects
 * if the member cannot be reached within `timeoutMs`.
 */
export async function openMemberLink(
	follower: Follower,
	name: string,
	timeoutMs = CALL_TIMEOUT_MS,
): Promise<RpcLink | undefined> {
	return await openLink(follower, name, addressOf(follower, name), timeoutMs)
}

function addressOf(follower: Follower, name: string): string | undefined {
	const vm = follower.vms.find(one => one.name === name)
	const { port } = splitAddress(follower.settings.listen.control)
	return vm ? `${vm.ip}:${port}` : undefined
}

async function openLink(
	follower: Follower,
	name: string,
	address: string | undefined,
	timeoutMs = CALL_TIMEOUT_MS,
): Promise<RpcLink | undefined> {
	const known = follower.links.get(name)
	const open = known && !known.link.socket.destroyed ? known : undefined
	const link =
		open?.link ?? (await connectTo(follower, name, address, timeoutMs))
	if (link) follower.links.set(name, { link, usedAt: readNow() })
	return link
}

async function connectTo(
	follower: Follower,
	name: string,
	address: string | undefined,
	timeoutMs: number,
): Promise<RpcLink | undefined> {
	if (!address) return undefined
	const link = await connectRpc(address, follower.methods, timeoutMs)
	link.socket.once('close', () => {
		if (follower.links.get(name)?.link === link) follower.links.delete(name)
	})
	return link
}

/** Closes idle links to processes that are not neighbours. */
export function closeIdleLinks(follower: Follower, now: number): void {
	const kept = new Set(follower.node.neighbours)
	for (const [name, { link, usedAt }] of follower.links) {
		if (kept.has(name) || now - usedAt < IDLE_TIMEOUT_MS) continue
		follower.links.delete(name)
		// A connection that the peer opened may be in use for other purposes.
		if (link.opened === 'here') link.socket.end()
	}
}
