/**
 * Entries tell each other what they hold: the version of their configuration,
 * the revision of their server list, and how many requests they have at each
 * server. One that is behind asks for what it lacks, so that entries which the
 * source turns away, or whose link to it is slow, still learn of changes.
 */

import { splitAddress } from '@juniperhook/core'
import type { Methods, RpcLink } from '@juniperhook/runtime'
import {
	call,
	connectRpc,
	messageOf,
	notify,
	readNow,
	serveRpc,
	sleep,
} from '@juniperhook/runtime'
import * as v from 'valibot'
import { answerPiece, createConfigServer } from './configTransfer.ts'
import type { GatewayContext } from './context.ts'
import { settleDemand, tellFlows } from './entryDemand.ts'
import { dropPeerLoad, notePeerLoad } from './fleet.ts'
import { chooseLinks } from './peerMesh.ts'
import type { HeldNews, State } from './peerMessages.ts'
import {
	HeldNewsSchema,
	PieceRequestSchema,
	StateSchema,
} from './peerMessages.ts'
import type { PeerNews } from './peerNews.ts'
import {
	answerRecords,
	createPeerNews,
	heldVersion,
	takeNews,
} from './peerNews.ts'
import type { CatalogSource } from './ports.ts'
import type { GroupNews } from './toldGroups.ts'
import { forgetGroups, takePaces } from './toldGroups.ts'

/**
 * Between states told to peers while something changes, ms: so much at least, and
 * so much for each link. A message to or from a peer takes a small entry some
 * 0.2 ms of its core.
 */
const TELL_MS = 150
const TELL_PER_LINK_MS = 6
/** Between looks at whether peers are to be told, ms. */
const LOOK_MS = 50
/** A whole state is told at least this often, ms; in between, what has changed. */
const HEARTBEAT_MS = 500
/** Addresses of all known entries are told this often, and when one is new, ms. */
const ROSTER_MS = 5_000
/** A peer that has been silent for this long holds nothing any more, ms. */
const SILENT_MS = 2_000
/** A peer counts as an entry for this long after its last word, ms. */
const REMEMBERED_MS = 10_000
const RECONNECT_MS = 300
const MAX_RECONNECT_MS = 1_500
const CONNECT_MS = 500
/** A peer that has not confirmed a state by then is told on a new link, ms. */
const CONFIRM_MS = 1_500

/** Links to peers and what was heard of them. */
interface Peers {
	/** Known addresses of entries, and the links to those that are kept. */
	readonly links: Map<string, RpcLink | undefined>
	/** When each peer, by name, was last heard, ms. */
	readonly heardAt: Map<string, number>
	readonly news: PeerNews
	/** Addresses that links are kept to. */
	kept: ReadonlySet<string>
	/** Known addresses when links were last chosen. */
	chosenOf: number
	/** When what is held was last settled, and last told with addresses, ms. */
	settledAt: number
	heartbeatAt: number
	rosterAt: number
	/** Known addresses when they were last told. */
	rosterOf: number
	/** What peers were last told. */
	told: ToldState
}

/** What a peer that has heard everything knows of this entry. */
interface ToldState {
	readonly config: number
	readonly list: number
	readonly held: ReadonlyMap<string, number>
}

/** Serves peers and keeps links to them. */
export async function startPeers(
	ctx: GatewayContext,
	source: CatalogSource,
): Promise<void> {
	const peers: Peers = {
		links: new Map(),
		heardAt: new Map(),
		news: createPeerNews(source),
		kept: new Set(),
		chosenOf: 0,
		settledAt: readNow(),
		heartbeatAt: 0,
		rosterAt: 0,
		rosterOf: 0,
		told: { config: -1, list: -1, held: new Map() },
	}
	const configs = createConfigServer()
	const methods: Methods = {
		state: (params: unknown, link: RpcLink) => {
			try {
				takeState(ctx, peers, params, link)
			} catch (err) {
				ctx.log.write('peer state refused', { reason: messageOf(err) })
			}
			return true
		},
		held: (params: unknown) => takeHeld(ctx, params),
		configPiece: (params: unknown, link: RpcLink) =>
			answerPiece(
				configs,
				ctx.published,
				v.parse(PieceRequestSchema, params),
				link,
			),
		records: (params: unknown) => answerRecords(ctx, params),
		paces: (params: unknown, link: RpcLink) => {
			const news = takePaces(ctx, params)
			if (news) tellOn(peers, news, link)
			return true
		},
	}
	await serveRpc(ctx.settings.control, methods)
	setInterval(() => {
		keepLinks(ctx, peers, methods)
		tellPeers(ctx, peers)
		forgetSilent(ctx, peers)
	}, LOOK_MS)
}

function keepLinks(ctx: GatewayContext, peers: Peers, methods: Methods): void {
	const { links } = peers
	const { control, seeds } = ctx.settings
	for (const address of seeds)
		if (address !== control && !links.has(address))
			links.set(address, undefined)
	if (links.size === peers.chosenOf) return
	peers.chosenOf = links.size
	const before = peers.kept
	peers.kept = new Set(chooseLinks(control, [...links.keys()]))
	for (const address of peers.kept)
		if (!before.has(address)) void keepLink(ctx, peers, methods, address)
	for (const address of before)
		if (!peers.kept.has(address)) links.get(address)?.socket.destroy()
}

async function keepLink(
	ctx: GatewayContext,
	peers: Peers,
	methods: Methods,
	address: string,
): Promise<void> {
	let pause = RECONNECT_MS
	while (peers.kept.has(address)) {
		try {
			const link = await connectRpc(address, methods, CONNECT_MS)
			pause = RECONNECT_MS
			peers.links.set(address, link)
			ctx.log.write('peer linked', { peer: address })
			tell(ctx, link, stateOf(ctx, peers))
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
	}
}

/** Whether each entry hears every other one directly, as far as is known. */
function isFullMesh({ kept, links }: Peers): boolean {
	return kept.size === links.size
}

/** Tells peers what a coordinator has told, unless it has reached them all. */
function tellOn(peers: Peers, news: GroupNews, from: RpcLink): void {
	if (news.hops > 1 && isFullMesh(peers)) return
	for (const link of peers.links.values())
		if (link && link !== from) notify(link, 'paces', news)
}

function stateOf(ctx: GatewayContext, peers: Peers): State {
	return { ...loadOf(ctx), peers: [...peers.links.keys()] }
}

/** What an entry tells each time: all of its state but its peers. */
function loadOf(ctx: GatewayContext): Omit<State, 'peers'> {
	return {
		name: ctx.settings.name,
		control: ctx.settings.control,
		config: heldVersion(ctx),
		list: ctx.list.revision,
		held: Object.fromEntries(ctx.fleet.held),
		dataCentre: ctx.settings.dataCentre,
		flows: tellFlows(ctx.fleet),
	}
}

function tellPeers(ctx: GatewayContext, peers: Peers): void {
	const now = readNow()
	const links = [...peers.links.values()].filter(link => link !== undefined)
	const elapsedMs = now - peers.settledAt
	if (elapsedMs < Math.max(TELL_MS, TELL_PER_LINK_MS * links.length)) return
	peers.settledAt = now
	settleDemand(ctx, elapsedMs, peers.links.size - peers.kept.size, now)
	const { told } = peers
	const state = loadOf(ctx)
	peers.told = {
		config: state.config,
		list: state.list,
		held: new Map(ctx.fleet.held),
	}
	const isNews = state.config !== told.config || state.list !== told.list
	if (isNews || now - peers.heartbeatAt >= HEARTBEAT_MS) {
		peers.heartbeatAt = now
		const whole = { ...state, peers: rosterNow(peers, now) }
		for (const link of links) tell(ctx, link, whole)
		return
	}
	const changed = findChanged(told.held, peers.told.held)
	if (Object.keys(changed).length === 0) return
	const news: HeldNews = { name: state.name, changed }
	for (const link of links) notify(link, 'held', news)
}

/** Addresses of known entries when they are to be told, none otherwise. */
function rosterNow(peers: Peers, now: number): string[] {
	const { links } = peers
	const isDue = now - peers.rosterAt >= ROSTER_MS
	if (links.size === peers.rosterOf && !isDue) return []
	peers.rosterAt = now
	peers.rosterOf = links.size
	return [...links.keys()]
}

/** Servers whose number of requests has changed; 0 for none any more. */
function findChanged(
	before: ReadonlyMap<string, number>,
	after: ReadonlyMap<string, number>,
): Record<string, number> {
	const changed: Record<string, number> = {}
	for (const [id, count] of after)
		if (before.get(id) !== count) changed[id] = count
	for (const id of before.keys()) if (!after.has(id)) changed[id] = 0
	return changed
}

function tell(ctx: GatewayContext, link: RpcLink, state: State): void {
	call(link, 'state', state, CONFIRM_MS).catch(err => {
		if (link.socket.destroyed) return
		// Without a reset, only the missing answer tells of a link gone silent.
		ctx.log.write('peer silent', { reason: messageOf(err) })
		link.socket.destroy()
	})
}

function takeState(
	ctx: GatewayContext,
	peers: Peers,
	params: unknown,
	link: RpcLink,
): void {
	const state = v.parse(StateSchema, params)
	const now = readNow()
	peers.heardAt.set(state.name, now)
	for (const address of [state.control, ...state.peers])
		if (isOtherEntry(ctx, address) && !peers.links.has(address))
			peers.links.set(address, undefined)
	const { dataCentre, flows } = state
	const held = new Map(Object.entries(state.held))
	ctx.fleet.peerDemand.set(state.name, { dataCentre, flows })
	notePeerLoad(ctx.fleet, state.name, held, now)
	ctx.toldVersion = Math.max(ctx.toldVersion, state.config)
	// A peer that is behind may not be reached from here but by its own link.
	const isBehind =
		state.config < heldVersion(ctx) || state.list < ctx.list.revision
	if (isBehind && link.opened === 'there') tell(ctx, link, stateOf(ctx, peers))
	takeNews(ctx, peers.news, state, link)
}

/** Takes what has changed since a peer's last words. */
function takeHeld(ctx: GatewayContext, params: unknown): void {
	const { name, changed } = v.parse(HeldNewsSchema, params)
	const known = ctx.fleet.heldByPeer.get(name)
	// Without a whole state before, the changes alone say nothing.
	if (!known) return
	const held = new Map(known)
	for (const [id, count] of Object.entries(changed))
		if (count > 0) held.set(id, count)
		else held.delete(id)
	notePeerLoad(ctx.fleet, name, held, readNow())
}

/** Peers listen on the same control port everywhere. */
function isOtherEntry(ctx: GatewayContext, address: string): boolean {
	const { control } = ctx.settings
	const own = splitAddress(control).port
	return address !== control && splitAddress(address).port === own
}

function forgetSilent(ctx: GatewayContext, peers: Peers): void {
	const now = readNow()
	forgetGroups(ctx, now)
	for (const [name, heardAt] of peers.heardAt) {
		if (now - heardAt > SILENT_MS) dropPeerLoad(ctx.fleet, name, now)
		if (now - heardAt > REMEMBERED_MS) peers.heardAt.delete(name)
	}
	const seeds = ctx.settings.seeds.length
	ctx.entries = Math.max(peers.heardAt.size + 1, seeds)
}
