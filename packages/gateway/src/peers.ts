/**
 * The side of an entry that other entries and coordinators speak to, and its links
 * to other entries.
 */

import { noteEntryNamed } from '@juniperhook/core'
import type { Methods, RpcLink } from '@juniperhook/runtime'
import {
	call,
	messageOf,
	notify,
	readElapsed,
	serveRpc,
} from '@juniperhook/runtime'
import * as v from 'valibot'
import { answerPiece, createConfigServer } from './configTransfer.ts'
import type { GatewayContext } from './context.ts'
import { drainUpdates, takeTold } from './news.ts'
import type { PeerLinks } from './peerLinks.ts'
import {
	createPeerLinks,
	forwardGroupReport,
	listLinkedAddresses,
	listOpenLinks,
	requestLink,
	updateLinks,
} from './peerLinks.ts'
import type { PermitQuery, PermitReply } from './peerMessages.ts'
import {
	PermitReplySchema,
	PieceRequestSchema,
	UpdatesSchema,
} from './peerMessages.ts'
import { answerRecords, createPeerPulls, receiveRemovals } from './peerNews.ts'
import {
	broadcastState,
	createPeerStates,
	expireSilentPeers,
	receiveInFlightDelta,
	receiveState,
	sendFullState,
	sendRemovals,
} from './peerStates.ts'
import { answerPermits, updateHomes } from './permitHome.ts'
import type { CatalogSource } from './ports.ts'
import { expireGroupReports, takePaces } from './toldGroups.ts'

/** Between looks at whether peers are to be told, ms. */
const LOOK_MS = 50
/** A home that has not answered by then stands still or is gone, ms. */
const ASK_MS = 300

/** Serves peers and keeps links to them. */
export async function startPeers(
	ctx: GatewayContext,
	source: CatalogSource,
): Promise<void> {
	const states = createPeerStates(createPeerPulls(source))
	const configs = createConfigServer()
	const methods: Methods = {
		state: (params: unknown, link: RpcLink) => {
			try {
				receiveState(ctx, peers, states, params, link)
			} catch (err) {
				ctx.log.write('peer state refused', { reason: messageOf(err) })
			}
			return true
		},
		held: (params: unknown) => receiveInFlightDelta(ctx, params),
		news: (params: unknown) =>
			takeTold(ctx, v.parse(UpdatesSchema, params).items, 'peer'),
		permits: (params: unknown) => answerPermits(ctx, params),
		configPiece: (params: unknown, link: RpcLink) =>
			answerPiece(
				configs,
				ctx.published,
				v.parse(PieceRequestSchema, params),
				link,
			),
		records: (params: unknown) => answerRecords(ctx, params),
		removals: (params: unknown) => receiveRemovals(ctx, params),
		paces: (params: unknown, link: RpcLink) => {
			const news = takePaces(ctx, params)
			if (news) forwardGroupReport(peers, news, link)
			return listLinkedAddresses(peers)
		},
	}
	const peers = createPeerLinks(methods, link => {
		sendFullState(ctx, peers, link)
	})
	ctx.permits.queryHome = (home, ask) => askHome(peers, home, ask)
	for (const seed of ctx.settings.seeds)
		if (seed !== ctx.settings.control)
			noteEntryNamed(ctx.permitHomes.roster, seed, readElapsed())
	await serveRpc(ctx.settings.control, methods)
	setInterval(() => {
		updateLinks(ctx, peers)
		updateHomes(ctx, address => peers.maintained.has(address))
		tellNews(ctx, peers)
		sendRemovals(ctx, states)
		broadcastState(ctx, peers, states)
		expireSilentPeers(ctx, states)
		expireGroupReports(ctx, readElapsed())
	}, LOOK_MS)
}

/** Asks a server's home for permits; without a link, one is made from now on. */
function askHome(
	peers: PeerLinks,
	home: string,
	ask: PermitQuery,
): Promise<PermitReply> | undefined {
	const link = peers.links.get(home)
	if (link)
		return call(link, 'permits', ask, ASK_MS).then(reply =>
			v.parse(PermitReplySchema, reply),
		)
	requestLink(peers, home)
	return undefined
}

/** What is news to this entry is told to all, whoever it came from. */
function tellNews(ctx: GatewayContext, peers: PeerLinks): void {
	const items = drainUpdates(ctx)
	if (items.length === 0) return
	for (const link of listOpenLinks(peers)) notify(link, 'news', { items })
}
