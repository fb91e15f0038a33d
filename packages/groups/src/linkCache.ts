/** Links to other processes, at most one to each address. */

import type { Methods, RpcLink } from '@juniperhook/runtime'
import { connectRpc } from '@juniperhook/runtime'

/** Links by address, and those that are being opened. */
export interface LinkCache {
	readonly links: Map<string, RpcLink>
	readonly connecting: Map<string, Promise<RpcLink>>
}

/** Creates a cache without links. */
export function createLinkCache(): LinkCache {
	return { links: new Map(), connecting: new Map() }
}

/**
 * Returns the open link to an address, or opens one. Calls that wait for the same link
 * share it: a second one would replace the first, which nothing closed then.
 */
export function reachLink(
	cache: LinkCache,
	address: string,
	methods: Methods,
	timeoutMs: number,
): Promise<RpcLink> {
	const known = cache.links.get(address)
	if (known && !known.socket.destroyed) return Promise.resolve(known)
	const pending = cache.connecting.get(address)
	if (pending) return pending
	const opened = openLink(cache, address, methods, timeoutMs)
	cache.connecting.set(address, opened)
	return opened
}

async function openLink(
	{ links, connecting }: LinkCache,
	address: string,
	methods: Methods,
	timeoutMs: number,
): Promise<RpcLink> {
	try {
		const link = await connectRpc(address, methods, timeoutMs)
		links.set(address, link)
		return link
	} finally {
		connecting.delete(address)
	}
}

/** Closes a link to an address; a newer one to the same address stays. */
export function dropLink(
	{ links }: LinkCache,
	address: string,
	link: RpcLink,
): void {
	link.socket.destroy()
	if (links.get(address) === link) links.delete(address)
}
