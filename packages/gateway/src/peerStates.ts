/**
 * What entries tell each other of themselves, and what they take of it: versions
 * held, what comes to each, and how many requests each has at every server.
 */

import type { TermRevision } from '@juniperhook/core'
import {
	isLater,
	isSameRevision,
	NO_REVISION,
	noteEntryHeard,
	noteEntryNamed,
	PEER_SILENT_MS,
	splitAddress,
} from '@juniperhook/core'
import type { RpcLink } from '@juniperhook/runtime'
import {
	call,
	messageOf,
	notify,
	readElapsed,
	readNow,
} from '@juniperhook/runtime'
import * as v from 'valibot'
import type { GatewayContext } from './context.ts'
import { reportFlows, updateDemand } from './entryDemand.ts'
import { dropPeerLoad, notePeerLoad } from './fleet.ts'
import { listAllUpdates, listRateLimits, takeTold } from './news.ts'
import type { PeerLinks } from './peerLinks.ts'
import { countUnlinked, listOpenLinks, noteAddresses } from './peerLinks.ts'
import type { InFlightDelta, PeerState } from './peerMessages.ts'
import { InFlightDeltaSchema, PeerStateSchema } from './peerMessages.ts'
import type { PeerPulls } from './peerNews.ts'
import { activeVersion, pullIfBehind } from './peerNews.ts'

/**
 * Between states told to peers while something changes, ms: so much at least, and
 * so much for each link. A message to or from a peer takes a small entry some
 * 0.2 ms of its core.
 */
const TELL_MS = 150
const TELL_PER_LINK_MS = 6
/** A whole state is told at least this often, ms; in between, what has changed. */
const HEARTBEAT_MS = 500
/** Addresses of all known entries are told this often, and when one is new, ms. */
const ROSTER_MS = 5_000
/** A peer counts as an entry for this long after its last word, ms. */
const REMEMBERED_MS = 10_000
/** A peer that has not confirmed a state by then is told on a new link, ms. */
const CONFIRM_MS = 1_500

/** What this entry has told, and when it heard of others. */
export interface PeerStates {
	/** When each peer, by name, was last heard, ms. */
	readonly heardAt: Map<string, number>
	readonly pulls: PeerPulls
	/** Links to peers that learn of servers from their peers alone. */
	readonly withoutSource: Set<RpcLink>
	/** When what is held was last settled, and last told whole, ms. */
	settledAt: number
	heartbeatAt: number
	rosterAt: number
	/** Known addresses when they were last told. */
	rosterSize: number
	/** What peers were last told. */
	lastSent: SentState
}

/** What a peer that has heard everything knows of this entry. */
interface SentState {
	readonly config: number
	readonly list: TermRevision
	readonly held: ReadonlyMap<string, number>
}

/** Makes an entry's states, with nothing told or heard. */
export function createPeerStates(news: PeerPulls): PeerStates {
	return {
		heardAt: new Map(),
		pulls: news,
		withoutSource: new Set(),
		settledAt: readNow(),
		heartbeatAt: 0,
		rosterAt: 0,
		rosterSize: 0,
		lastSent: { config: -1, list: NO_REVISION, held: new Map() },
	}
}

/** Tells a peer everything, on a link that is new or behind. */
export function sendFullState(
	ctx: GatewayContext,
	peers: PeerLinks,
	link: RpcLink,
): void {
	const items = listAllUpdates(ctx)
	if (items.length > 0) notify(link, 'news', { items })
	// Last: by a state an entry that has started knows that it was told all.
	sendState(ctx, link, {
		...describeState(ctx),
		peers: [...peers.links.keys()],
	})
}

/** What an entry tells each time: all of its state but its peers. */
function describeState(ctx: GatewayContext): Omit<PeerState, 'peers'> {
	return {
		name: ctx.settings.name,
		control: ctx.settings.control,
		config: activeVersion(ctx),
		list: ctx.list.revision,
		sourceAway: ctx.sourceAway,
		held: Object.fromEntries(ctx.fleet.held),
		dataCentre: ctx.settings.dataCentre,
		flows: reportFlows(ctx.fleet),
		limits: listRateLimits(ctx),
	}
}

/** Tells all peers what is new, if it is time. */
export function broadcastState(
	ctx: GatewayContext,
	peers: PeerLinks,
	states: PeerStates,
): void {
	const now = readNow()
	const links = listOpenLinks(peers)
	const elapsedMs = now - states.settledAt
	if (elapsedMs < Math.max(TELL_MS, TELL_PER_LINK_MS * links.length)) return
	states.settledAt = now
	updateDemand(ctx, elapsedMs, countUnlinked(peers), now)
	const { lastSent: told } = states
	const state = describeState(ctx)
	states.lastSent = {
		config: state.config,
		list: state.list,
		held: new Map(ctx.fleet.held),
	}
	const isNews =
		state.config !== told.config || !isSameRevision(state.list, told.list)
	if (isNews || now - states.heartbeatAt >= HEARTBEAT_MS) {
		states.heartbeatAt = now
		const whole = { ...state, peers: listDueRoster(peers, states, now) }
		for (const link of links) sendState(ctx, link, whole)
		return
	}
	const changed = findChanged(told.held, states.lastSent.held)
	if (Object.keys(changed).length === 0) return
	const news: InFlightDelta = { name: state.name, changed }
	for (const link of links) notify(link, 'held', news)
}

/** Addresses of known entries when they are to be told, none otherwise. */
function listDueRoster(
	{ links }: PeerLinks,
	states: PeerStates,
	now: number,
): string[] {
	const isDue = now - states.rosterAt >= ROSTER_MS
	if (links.size === states.rosterSize && !isDue) return []
	states.rosterAt = now
	states.rosterSize = links.size
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

function sendState(ctx: GatewayContext, link: RpcLink, state: PeerState): void {
	call(link, 'state', state, CONFIRM_MS).catch(err => {
		if (link.socket.destroyed) return
		// Without a reset, only the missing answer tells of a link gone silent.
		ctx.log.write('peer silent', { reason: messageOf(err) })
		link.socket.destroy()
	})
}

/** Takes a peer's whole state, and asks for what this entry lacks. */
export function receiveState(
	ctx: GatewayContext,
	peers: PeerLinks,
	states: PeerStates,
	params: unknown,
	link: RpcLink,
): void {
	const state = v.parse(PeerStateSchema, params)
	const now = readNow()
	states.heardAt.set(state.name, readElapsed())
	const addresses = [state.control, ...state.peers].filter(address =>
		isOtherEntry(ctx, address),
	)
	noteAddresses(peers, addresses)
	const { roster } = ctx.permitHomes
	for (const address of addresses)
		noteEntryNamed(roster, address, readElapsed())
	if (isOtherEntry(ctx, state.control))
		noteEntryHeard(roster, state.control, readElapsed())
	takeTold(ctx, state.limits, state.name)
	ctx.isTold = true
	if (state.sourceAway) states.withoutSource.add(link)
	else states.withoutSource.delete(link)
	const { dataCentre, flows } = state
	const held = new Map(Object.entries(state.held))
	ctx.fleet.peerDemand.set(state.name, { dataCentre, flows })
	notePeerLoad(ctx.fleet, state.name, held, now)
	ctx.toldVersion = Math.max(ctx.toldVersion, state.config)
	// A peer that is behind may not be reached from here but by its own link.
	const isBehind =
		state.config < activeVersion(ctx) || isLater(ctx.list.revision, state.list)
	if (isBehind && link.opened === 'there') sendFullState(ctx, peers, link)
	pullIfBehind(ctx, states.pulls, state, link)
}

/** Takes what has changed since a peer's last words. */
export function receiveInFlightDelta(
	ctx: GatewayContext,
	params: unknown,
): void {
	const { name, changed } = v.parse(InFlightDeltaSchema, params)
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

/** Forgets peers that have gone silent. */
export function expireSilentPeers(
	ctx: GatewayContext,
	states: PeerStates,
): void {
	const now = readElapsed()
	for (const [name, heardAt] of states.heardAt) {
		if (now - heardAt > PEER_SILENT_MS) dropPeerLoad(ctx.fleet, name, readNow())
		if (now - heardAt > REMEMBERED_MS) states.heardAt.delete(name)
	}
	const seeds = ctx.settings.seeds.length
	ctx.entries = Math.max(states.heardAt.size + 1, seeds)
}

/** Tells removals that were doubted here to peers that cannot learn of them otherwise. */
export function sendRemovals(ctx: GatewayContext, states: PeerStates): void {
	const records = ctx.settledRemovals.splice(0)
	if (records.length === 0) return
	for (const link of states.withoutSource)
		if (link.socket.destroyed) states.withoutSource.delete(link)
		else notify(link, 'removals', { records })
}
