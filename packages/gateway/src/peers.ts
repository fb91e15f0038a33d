/**
 * The side of an entry that other entries and coordinators speak to, and its links
 * to other entries.
 */

import { recordEntryDiscovered } from '@juniperhook/core'
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
import { forgetGroups, receiveGroupReport } from './groupReports.ts'
import type { PeerLinks } from './peerLinks.ts'
import {
	createPeerLinks,
	keepLinks,
	listOpen,
	listSome,
	tellOn,
	wantLink,
} from './peerLinks.ts'
import type { PermitAsk, PermitReply } from './peerMessages.ts'
import {
	NewsSchema,
	PermitReplySchema,
	PieceRequestSchema,
} from './peerMessages.ts'
import { answerRecords, createPeerNews, takeRemovals } from './peerPull.ts'
import {
	createPeerStates,
	forgetSilent,
	takeHeld,
	takeState,
	tellAll,
	tellPeers,
	tellRemovals,
} from './peerStates.ts'
import { answerPermits, lookAtHomes } from './permitHome.ts'
import type { CatalogSource } from './ports.ts'
import { drainNews, receiveUpdates } from './updateExchange.ts'

/** Between looks at whether peers are to be told, ms. */
const LOOK_MS = 50
/** A home that has not answered by then stands still or is gone, ms. */
const ASK_MS = 300

/** Serves peers and keeps links to them. */
export async function startPeers(
	ctx: GatewayContext,
	source: CatalogSource,
): Promise<void> {
	const states = createPeerStates(createPeerNews(source))
	const configs = createConfigServer()
	const methods: Methods = {
		state: (params: unknown, link: RpcLink) => {
			try {
				takeState(ctx, peers, states, params, link)
			} catch (err) {
				ctx.log.write('peer state refused', { reason: messageOf(err) })
			}
			return true
		},
		held: (params: unknown) => takeHeld(ctx, params),
		news: (params: unknown) =>
			receiveUpdates(ctx, v.parse(NewsSchema, params).items, 'peer'),
		permits: (params: unknown) => answerPermits(ctx, params),
		configPiece: (params: unknown, link: RpcLink) =>
			answerPiece(
				configs,
				ctx.published,
				v.parse(PieceRequestSchema, params),
				link,
			),
		records: (params: unknown) => answerRecords(ctx, params),
		removals: (params: unknown) => takeRemovals(ctx, params),
		paces: (params: unknown, link: RpcLink) => {
			const news = receiveGroupReport(ctx, params)
			if (news) tellOn(peers, news, link)
			return listSome(peers)
		},
	}
	const peers = createPeerLinks(methods, link => {
		tellAll(ctx, peers, link)
	})
	ctx.permits.askHome = (home, ask) => askHome(peers, home, ask)
	for (const seed of ctx.settings.seeds)
		if (seed !== ctx.settings.control)
			recordEntryDiscovered(ctx.permitHomes.membership, seed, readElapsed())
	await serveRpc(ctx.settings.control, methods)
	setInterval(() => {
		keepLinks(ctx, peers)
		lookAtHomes(ctx, address => peers.kept.has(address))
		tellNews(ctx, peers)
		tellRemovals(ctx, states)
		tellPeers(ctx, peers, states)
		forgetSilent(ctx, states)
		forgetGroups(ctx, readElapsed())
	}, LOOK_MS)
}

/** Asks a server's home for permits; without a link, one is made from now on. */
function askHome(
	peers: PeerLinks,
	home: string,
	ask: PermitAsk,
): Promise<PermitReply> | undefined {
	const link = peers.links.get(home)
	if (link)
		return call(link, 'permits', ask, ASK_MS).then(reply =>
			v.parse(PermitReplySchema, reply),
		)
	wantLink(peers, home)
	return undefined
}

/** What is news to this entry is told to all, whoever it came from. */
function tellNews(ctx: GatewayContext, peers: PeerLinks): void {
	const items = drainNews(ctx)
	if (items.length === 0) return
	for (const link of listOpen(peers)) notify(link, 'news', { items })
}
