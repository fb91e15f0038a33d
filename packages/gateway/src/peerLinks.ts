/** Links to other entries: choosing, connecting and reconnecting them. */

import type { Methods, RpcLink } from '@juniperhook/runtime'
import { connectRpc, messageOf, notify, sleep } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { GroupReportMessage } from './groupReports.ts'
import { chooseLinks } from './peerMesh.ts'

/** Exponential backoff between connection attempts to an entry, ms. */
const MIN_RECONNECT_MS = 100
const MAX_RECONNECT_MS = 1_500
/**
 * Connection timeout, ms; it doubles up to the maximum. Connection attempts to a VM that
 * is not running yet are dropped silently. With a fixed timeout of 500 ms, entries that
 * started before their seeds were linked only 0.7 s after the last had started, about
 * when groups opened to the requests queued at all of them.
 */
const CONNECT_TIMEOUT_MS = 120
const MAX_CONNECT_TIMEOUT_MS = 500
/** Maximum number of addresses returned to a coordinator, whose own list may be stale. */
const MAX_LISTED = 6

/** Links to other entries. */
export interface PeerLinks {
	/** Open links by address; undefined for known entries without one. */
	readonly links: Map<string, RpcLink | undefined>
	/** Addresses that links are maintained to. */
	maintained: ReadonlySet<string>
	/** Addresses that need a link in addition to the chosen ones. */
	readonly requested: Set<string>
	/** Number of known and requested addresses when links were last chosen. */
	chosenAtSize: number
	/** RPC methods served on links. */
	readonly methods: Methods
	/** Called when a link has been opened. */
	onLink(link: RpcLink): void
}

/** Creates an empty set of links. */
export function createPeerLinks(
	methods: Methods,
	onLink: PeerLinks['onLink'],
): PeerLinks {
	return {
		links: new Map(),
		maintained: new Set(),
		requested: new Set(),
		chosenAtSize: 0,
		methods,
		onLink,
	}
}

/** Adds addresses to the known entries. */
export function recordAddresses(
	{ links }: PeerLinks,
	addresses: readonly string[],
): void {
	for (const address of addresses)
		if (!links.has(address)) links.set(address, undefined)
}

/** Maintains a link to an entry even if the topology does not include it. */
export function requestLink(
	{ requested, maintained }: PeerLinks,
	address: string,
): void {
	if (!maintained.has(address)) requested.add(address)
}

/** Lists the open links. */
export function listOpenLinks({ links }: PeerLinks): RpcLink[] {
	return [...links.values()].filter(link => link !== undefined)
}

/** Lists the addresses of some linked entries, for the reply to a coordinator. */
export function listLinkedAddresses({ links }: PeerLinks): string[] {
	return [...links]
		.filter(([, link]) => link !== undefined)
		.map(([address]) => address)
		.slice(0, MAX_LISTED)
}

/** Counts known entries without a maintained link. */
export function countUnlinked({ links, maintained }: PeerLinks): number {
	return links.size - maintained.size
}

/** Chooses links again when entries have been discovered. */
export function updateLinks(ctx: GatewayContext, peers: PeerLinks): void {
	const { links } = peers
	const { control, seeds } = ctx.settings
	recordAddresses(
		peers,
		seeds.filter(address => address !== control),
	)
	const size = links.size + peers.requested.size
	if (size === peers.chosenAtSize) return
	peers.chosenAtSize = size
	const before = peers.maintained
	const chosen = chooseLinks(control, [...links.keys()])
	peers.maintained = new Set([...chosen, ...peers.requested])
	for (const address of peers.maintained)
		if (!before.has(address)) void maintainLink(ctx, peers, address)
	for (const address of before)
		if (!peers.maintained.has(address)) links.get(address)?.socket.destroy()
}

async function maintainLink(
	ctx: GatewayContext,
	peers: PeerLinks,
	address: string,
): Promise<void> {
	let backoffMs = MIN_RECONNECT_MS
	let connectTimeoutMs = CONNECT_TIMEOUT_MS
	while (peers.maintained.has(address)) {
		try {
			const link = await connectRpc(address, peers.methods, connectTimeoutMs)
			backoffMs = MIN_RECONNECT_MS
			connectTimeoutMs = CONNECT_TIMEOUT_MS
			peers.links.set(address, link)
			ctx.log.write('peer linked', { peer: address })
			peers.onLink(link)
			await new Promise(resolve => link.socket.once('close', resolve))
			peers.links.set(address, undefined)
			ctx.log.write('peer lost', { peer: address })
		} catch (err) {
			if (backoffMs === MIN_RECONNECT_MS)
				ctx.log.write('peer not reached', {
					peer: address,
					reason: messageOf(err),
				})
		}
		await sleep(backoffMs * (0.5 + ctx.random()))
		backoffMs = Math.min(backoffMs * 2, MAX_RECONNECT_MS)
		connectTimeoutMs = Math.min(connectTimeoutMs * 2, MAX_CONNECT_TIMEOUT_MS)
	}
}

/** Whether this entry maintains links to all known entries. */
function isFullMesh({ maintained, links }: PeerLinks): boolean {
	return maintained.size === links.size
}

/** Forwards a coordinator's report to peers, unless all of them have received it. */
export function forwardGroupReport(
	peers: PeerLinks,
	report: GroupReportMessage,
	from: RpcLink,
): void {
	if (report.hops > 1 && isFullMesh(peers)) return
	for (const link of listOpenLinks(peers))
		if (link !== from) notify(link, 'paces', report)
}
