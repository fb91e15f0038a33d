/**
 * Exchange of state between entries: versions, request rates, and the number of requests
 * in flight at each server.
 */

import type { TermRevision } from '@juniperhook/core'
import {
	isLater,
	isSameRevision,
	NO_REVISION,
	PEER_TIMEOUT_MS,
	recordEntryContact,
	recordEntryDiscovered,
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
import { receiveServedParts } from './crashEvidence.ts'
import { reportFlows, updateDemand } from './entryDemand.ts'
import { dropPeerLoad, recordPeerLoad } from './fleet.ts'
import type { PeerLinks } from './peerLinks.ts'
import { countUnlinked, listOpenLinks, recordAddresses } from './peerLinks.ts'
import type { InFlightDelta, PeerState } from './peerMessages.ts'
import { InFlightDeltaSchema, PeerStateSchema } from './peerMessages.ts'
import type { PeerPulls } from './peerPull.ts'
import { activeVersion, pullIfBehind } from './peerPull.ts'
import { addReturns, updateReturns } from './returnPlaces.ts'
import { drainRefused, receiveRefused } from './returnRecognition.ts'
import { listServedAges } from './servedParts.ts'
import {
	listAllUpdates,
	listEvacuations,
	listRateLimits,
	receiveItems,
	receiveUpdates,
	sendUpdates,
} from './updateExchange.ts'

/**
 * Minimum interval between broadcasts while something changes, ms, and its increase for
 * each link. A message to or from a peer costs a small entry about 0.2 ms of CPU time.
 */
const BROADCAST_INTERVAL_MS = 150
const BROADCAST_INTERVAL_PER_LINK_MS = 6
/** Interval between full states, ms; only changes are sent in between. */
const HEARTBEAT_INTERVAL_MS = 500
/** Interval between address lists, ms; a discovered entry triggers one at once. */
const ADDRESSES_INTERVAL_MS = 5_000
/** How long a silent peer is counted as an entry, ms. */
const MEMBER_RETENTION_MS = 10_000
/** Timeout for a peer's confirmation of a state, ms; the link is then reopened. */
const CONFIRM_TIMEOUT_MS = 1_500

/** State of the exchange with peers. */
export interface PeerStates {
	/** When the last state of each peer arrived, by name, ms. */
	readonly lastSeenAt: Map<string, number>
	readonly pulls: PeerPulls
	/** Links to peers that have lost the source. */
	readonly withoutSource: Set<RpcLink>
	/** Times of the last broadcast, the last full state and the last address list, ms. */
	broadcastAt: number
	heartbeatAt: number
	addressesAt: number
	/** Number of known addresses in the last address list. */
	addressCount: number
	/** State at the last broadcast. */
	lastSent: SentState
}

/** The part of a state that broadcasts compare. */
interface SentState {
	readonly config: number
	readonly list: TermRevision
	/** Requests in flight, by server id. */
	readonly inFlight: ReadonlyMap<string, number>
}

/** Creates a state without messages sent or received. */
export function createPeerStates(pulls: PeerPulls): PeerStates {
	return {
		lastSeenAt: new Map(),
		pulls,
		withoutSource: new Set(),
		broadcastAt: readNow(),
		heartbeatAt: 0,
		addressesAt: 0,
		addressCount: 0,
		lastSent: { config: -1, list: NO_REVISION, inFlight: new Map() },
	}
}

/** Sends everything to a peer whose link is new or whose state is behind. */
export function sendFullState(
	ctx: GatewayContext,
	peers: PeerLinks,
	link: RpcLink,
): void {
	const items = listAllUpdates(ctx)
	sendUpdates([link], items)
	// Sent last: for a starting entry, the first state ends the initial synchronization.
	sendState(ctx, link, {
		...describeState(ctx),
		servedParts: listServedAges(ctx.quarantineGate.servedParts, readElapsed()),
		peers: [...peers.links.keys()],
	})
}

/** Returns this entry's state without what only a full state contains. */
function describeState(ctx: GatewayContext): Omit<PeerState, 'peers'> {
	return {
		name: ctx.settings.name,
		control: ctx.settings.control,
		config: activeVersion(ctx),
		list: ctx.list.revision,
		sourceAway: ctx.sourceAway,
		held: Object.fromEntries(ctx.fleet.inFlight),
		dataCentre: ctx.settings.dataCentre,
		flows: addReturns(ctx, reportFlows(ctx.fleet)),
		limits: listRateLimits(ctx),
		evacuations: listEvacuations(ctx),
	}
}

/** Sends a full state or the changes to all peers when a broadcast is due. */
export function broadcastState(
	ctx: GatewayContext,
	peers: PeerLinks,
	states: PeerStates,
): void {
	const now = readNow()
	const links = listOpenLinks(peers)
	const elapsedMs = now - states.broadcastAt
	if (
		elapsedMs <
		Math.max(
			BROADCAST_INTERVAL_MS,
			BROADCAST_INTERVAL_PER_LINK_MS * links.length,
		)
	)
		return
	states.broadcastAt = now
	updateDemand(ctx, elapsedMs, countUnlinked(peers), now)
	updateReturns(ctx, elapsedMs)
	const refused = drainRefused(ctx)
	const { lastSent } = states
	const state = describeState(ctx)
	states.lastSent = {
		config: state.config,
		list: state.list,
		inFlight: new Map(ctx.fleet.inFlight),
	}
	const isVersionChanged =
		state.config !== lastSent.config ||
		!isSameRevision(state.list, lastSent.list)
	if (isVersionChanged || now - states.heartbeatAt >= HEARTBEAT_INTERVAL_MS) {
		states.heartbeatAt = now
		const addresses = listDueAddresses(peers, states, now)
		const fullState = { ...state, refused, peers: addresses }
		for (const link of links) sendState(ctx, link, fullState)
		return
	}
	const changed = findChanged(lastSent.inFlight, states.lastSent.inFlight)
	if (Object.keys(changed).length === 0 && !refused) return
	const delta: InFlightDelta = { name: state.name, changed, refused }
	for (const link of links) notify(link, 'held', delta)
}

/** Returns the addresses of known entries when a list is due, otherwise none. */
function listDueAddresses(
	{ links }: PeerLinks,
	states: PeerStates,
	now: number,
): string[] {
	const isDue = now - states.addressesAt >= ADDRESSES_INTERVAL_MS
	if (links.size === states.addressCount && !isDue) return []
	states.addressesAt = now
	states.addressCount = links.size
	return [...links.keys()]
}

/** Returns the changed numbers of requests, by server id; 0 for none any more. */
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
	call(link, 'state', state, CONFIRM_TIMEOUT_MS).catch(err => {
		if (link.socket.destroyed) return
		// A half-open connection is not reset; only the missing answer reveals it.
		ctx.log.write('peer silent', { reason: messageOf(err) })
		link.socket.destroy()
	})
}

/** Applies a peer's full state, and pulls what this entry is behind with. */
export function receiveState(
	ctx: GatewayContext,
	peers: PeerLinks,
	states: PeerStates,
	params: unknown,
	link: RpcLink,
): void {
	const state = v.parse(PeerStateSchema, params)
	const now = readNow()
	states.lastSeenAt.set(state.name, readElapsed())
	const addresses = [state.control, ...state.peers].filter(address =>
		isOtherEntry(ctx, address),
	)
	recordAddresses(peers, addresses)
	const { membership } = ctx.permitHomes
	for (const address of addresses)
		recordEntryDiscovered(membership, address, readElapsed())
	if (isOtherEntry(ctx, state.control))
		recordEntryContact(membership, state.control, readElapsed())
	receiveUpdates(ctx, state.limits, state.name)
	receiveItems(ctx, state.evacuations, state.name)
	if (state.servedParts) receiveServedParts(ctx, state.servedParts)
	ctx.hasPeerState = true
	if (state.sourceAway) states.withoutSource.add(link)
	else states.withoutSource.delete(link)
	const { dataCentre, flows } = state
	const inFlight = new Map(Object.entries(state.held))
	const demand = { dataCentre, flows, receivedAt: now }
	ctx.fleet.peerDemand.set(state.name, demand)
	receiveRefused(ctx, state.refused)
	recordPeerLoad(ctx.fleet, state.name, inFlight, now)
	ctx.newestPeerVersion = Math.max(ctx.newestPeerVersion, state.config)
	// A peer that is behind may only be reachable through the link that it has opened.
	const isBehind =
		state.config < activeVersion(ctx) || isLater(ctx.list.revision, state.list)
	if (isBehind && link.opened === 'there') sendFullState(ctx, peers, link)
	pullIfBehind(ctx, states.pulls, state, link)
}

/** Applies the changes since a peer's last message. */
export function receiveInFlightDelta(
	ctx: GatewayContext,
	params: unknown,
): void {
	const { name, changed, refused } = v.parse(InFlightDeltaSchema, params)
	receiveRefused(ctx, refused)
	const known = ctx.fleet.inFlightByPeer.get(name)
	// Changes are relative to a full state, which has not arrived yet.
	if (!known) return
	const inFlight = new Map(known)
	for (const [id, count] of Object.entries(changed))
		if (count > 0) inFlight.set(id, count)
		else inFlight.delete(id)
	recordPeerLoad(ctx.fleet, name, inFlight, readNow())
}

/** Whether an address belongs to another entry: all use the same control port. */
function isOtherEntry(ctx: GatewayContext, address: string): boolean {
	const { control } = ctx.settings
	const ownPort = splitAddress(control).port
	return address !== control && splitAddress(address).port === ownPort
}

/** Expires the state of silent peers. */
export function expireSilentPeers(
	ctx: GatewayContext,
	states: PeerStates,
): void {
	const now = readElapsed()
	for (const [name, lastSeenAt] of states.lastSeenAt) {
		if (now - lastSeenAt > PEER_TIMEOUT_MS)
			dropPeerLoad(ctx.fleet, name, readNow())
		if (now - lastSeenAt > MEMBER_RETENTION_MS) states.lastSeenAt.delete(name)
	}
	const seeds = ctx.settings.seeds.length
	ctx.entryCount = Math.max(states.lastSeenAt.size + 1, seeds)
}

/** Sends confirmed removals to peers that have lost the source. */
export function sendRemovals(ctx: GatewayContext, states: PeerStates): void {
	const records = ctx.settledRemovals.splice(0)
	if (records.length === 0) return
	for (const link of states.withoutSource)
		if (link.socket.destroyed) states.withoutSource.delete(link)
		else notify(link, 'removals', { records })
}
