/** RPC server of an entry for other entries and coordinators, and its links to entries. */

import { recordEntryDiscovered } from '@juniperhook/core'
import type {
	BindOptions,
	Methods,
	RpcLink,
	Step,
	Steps,
} from '@juniperhook/runtime'
import {
	call,
	createSteps,
	messageOf,
	readElapsed,
	runSteps,
	serveRpc,
} from '@juniperhook/runtime'
import * as v from 'valibot'
import { answerPiece, createConfigServer } from './configTransfer.ts'
import type { GatewayContext } from './context.ts'
import { expireGroupReports, receiveGroupReport } from './groupReports.ts'
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
import { answerRecords, createPeerPulls, receiveRemovals } from './peerPull.ts'
import type { PeerStates } from './peerStates.ts'
import {
	broadcastState,
	createPeerStates,
	expireSilentPeers,
	receiveInFlightDelta,
	receiveState,
	sendFullState,
	sendRemovals,
} from './peerStates.ts'
import { answerPermits, updatePermitHomes } from './permitHome.ts'
import type { CatalogSource } from './ports.ts'
import { drainUpdates, receiveItems, sendUpdates } from './updateExchange.ts'

/** Interval of the periodic work on links and messages, ms. */
const TICK_MS = 50
/** Timeout for a permit home's answer, ms; one that exceeds it is suspended or gone. */
const PERMIT_TIMEOUT_MS = 300

/**
 * Serves peers and, once they can reach this entry, maintains links to them. Returns
 * whether they can; false if the process stops before.
 */
export async function startPeers(
	ctx: GatewayContext,
	source: CatalogSource,
	bind: BindOptions,
): Promise<boolean> {
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
			receiveItems(ctx, v.parse(UpdatesSchema, params).items, 'peer'),
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
			const report = receiveGroupReport(ctx, params)
			if (report) forwardGroupReport(peers, report, link)
			return listLinkedAddresses(peers)
		},
	}
	const peers = createPeerLinks(methods, link => {
		sendFullState(ctx, peers, link)
	})
	ctx.permits.queryPermitHome = (permitHome, query) =>
		queryPermitHome(peers, permitHome, query)
	for (const seed of ctx.settings.seeds)
		if (seed !== ctx.settings.control)
			recordEntryDiscovered(ctx.permitHomes.membership, seed, readElapsed())
	const { listening } = await serveRpc(
		ctx.settings.control,
		methods,
		() => {},
		bind,
	)
	if (!listening) return false
	ctx.startedAt = readElapsed()
	const steps = createPeerSteps(ctx, peers, states)
	setInterval(() => runSteps(steps), TICK_MS)
	return true
}

function createPeerSteps(
	ctx: GatewayContext,
	peers: PeerLinks,
	states: PeerStates,
): Steps {
	const hasLink = (address: string) => peers.maintained.has(address)
	const list: Step[] = [
		{ name: 'links', run: () => updateLinks(ctx, peers) },
		{ name: 'permit homes', run: () => updatePermitHomes(ctx, hasLink) },
		{ name: 'updates', run: () => broadcastUpdates(ctx, peers) },
		{ name: 'removals', run: () => sendRemovals(ctx, states) },
		{ name: 'state', run: () => broadcastState(ctx, peers, states) },
		{ name: 'silent peers', run: () => expireSilentPeers(ctx, states) },
		{
			name: 'group reports',
			run: () => expireGroupReports(ctx, readElapsed()),
		},
	]
	return createSteps(list, fault => ctx.log.write('step failed', { ...fault }))
}

/** Requests permits from a permit home; without a link, requests the link instead. */
function queryPermitHome(
	peers: PeerLinks,
	permitHome: string,
	query: PermitQuery,
): Promise<PermitReply> | undefined {
	const link = peers.links.get(permitHome)
	if (link)
		return call(link, 'permits', query, PERMIT_TIMEOUT_MS).then(reply =>
			v.parse(PermitReplySchema, reply),
		)
	requestLink(peers, permitHome)
	return undefined
}

/** Sends updates that changed this entry's state to all peers, whatever their origin. */
function broadcastUpdates(ctx: GatewayContext, peers: PeerLinks): void {
	sendUpdates(listOpenLinks(peers), drainUpdates(ctx))
}
