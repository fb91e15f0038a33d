/** Links to other entries: which are kept, and that they come up again. */

import type { Methods, RpcLink } from '@juniperhook/runtime'
import { connectRpc, messageOf, notify, sleep } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { chooseLinks } from './peerMesh.ts'
import type { GroupReportMessage } from './toldGroups.ts'

/** Before another try to link to an entry, ms; it doubles up to the second. */
const RECONNECT_MS = 100
const MAX_RECONNECT_MS = 1_500
/**
 * How long a link may take to come up, ms; it doubles up to the second. What is sent
 * to a VM without power is lost without a word: where entries started before the ones
 * that they were told of, waits of 500 ms made them know each other 0.7 s after the
 * last had started, about when groups opened to what waited at all of them.
 */
const CONNECT_MS = 120
const MAX_CONNECT_MS = 500
/** Entries named to a coordinator, in case those that it knows are stopped. */
const MAX_LISTED = 6

/** Links to other entries. */
export interface PeerLinks {
	/** Known addresses of entries, and the links to those that are kept. */
	readonly links: Map<string, RpcLink | undefined>
	/** Addresses that links are kept to. */
	maintained: ReadonlySet<string>
	/** Addresses that links are wanted to besides those chosen. */
	readonly requested: Set<string>
	/** Known and wanted addresses when links were last chosen. */
	chosenAtSize: number
	/** What is served on links, and what follows when one comes up. */
	readonly methods: Methods
	onLink(link: RpcLink): void
}

/** Makes links to nobody yet. */
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

/** Notes addresses of entries. */
export function noteAddresses(
	{ links }: PeerLinks,
	addresses: readonly string[],
): void {
	for (const address of addresses)
		if (!links.has(address)) links.set(address, undefined)
}

/** Keeps a link to an entry whether it is chosen or not. */
export function requestLink(
	{ requested: wanted, maintained: kept }: PeerLinks,
	address: string,
): void {
	if (!kept.has(address)) wanted.add(address)
}

/** Links that are up. */
export function listOpenLinks({ links }: PeerLinks): RpcLink[] {
	return [...links.values()].filter(link => link !== undefined)
}

/** Addresses of some entries that are linked to, for who knows few. */
export function listLinkedAddresses({ links }: PeerLinks): string[] {
	return [...links]
		.filter(([, link]) => link !== undefined)
		.map(([address]) => address)
		.slice(0, MAX_LISTED)
}

/** Entries that are known and not linked to. */
export function countUnlinked({ links, maintained: kept }: PeerLinks): number {
	return links.size - kept.size
}

/** Chooses links anew when entries have become known. */
export function updateLinks(ctx: GatewayContext, peers: PeerLinks): void {
	const { links } = peers
	const { control, seeds } = ctx.settings
	noteAddresses(
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
	let pause = RECONNECT_MS
	let connectMs = CONNECT_MS
	while (peers.maintained.has(address)) {
		try {
			const link = await connectRpc(address, peers.methods, connectMs)
			pause = RECONNECT_MS
			connectMs = CONNECT_MS
			peers.links.set(address, link)
			ctx.log.write('peer linked', { peer: address })
			peers.onLink(link)
			await new Promise(resolve => link.socket.once('close', resolve))
			peers.links.set(address, undefined)
			ctx.log.write('peer lost', { peer: address })
		} catch (err) {
			if (pause === RECONNECT_MS)
				ctx.log.write('peer not reached', {
					peer: address,
					reason: messageOf(err),
				})
		}
		await sleep(pause * (0.5 + ctx.random()))
		pause = Math.min(pause * 2, MAX_RECONNECT_MS)
		connectMs = Math.min(connectMs * 2, MAX_CONNECT_MS)
	}
}

/** Whether each entry hears every other one directly, as far as is known. */
function isFullMesh({ maintained: kept, links }: PeerLinks): boolean {
	return kept.size === links.size
}

/** Tells peers what a coordinator has told, unless it has reached them all. */
export function forwardGroupReport(
	peers: PeerLinks,
	news: GroupReportMessage,
	from: RpcLink,
): void {
	if (news.hops > 1 && isFullMesh(peers)) return
	for (const link of listOpenLinks(peers))
		if (link !== from) notify(link, 'paces', news)
}
