/**
 * Follows the values that the platform publishes: the configuration and the VM list.
 * Runs the gossip protocol over control connections, and watches the platform itself
 * only while this process is a reader.
 */

import type {
	ActiveConfig,
	GossipEffect,
	GossipMessage,
	GossipNode,
	Member,
	RevisionState,
	Topic,
} from '@juniperhook/core'
import {
	applyPublished,
	compareWithMember,
	compareWithRandomMembers,
	createGossipNode,
	createRandom,
	createRevisionState,
	handleGossipMessage,
	isReader,
	offerRevision,
	requestFullValue,
	setLastValid,
	setMembers,
	TOPICS,
	tickGossip,
} from '@juniperhook/core'
import * as v from 'valibot'
import type { Settings } from '../types/settings.ts'
import { readNow, sleep } from '../utils/clock.ts'
import { messageOf } from '../utils/fail.ts'
import { createLog } from '../utils/log.ts'
import { GossipParamsSchema } from './gossipMessages.ts'
import type { MemberLink } from './memberLinks.ts'
import { closeIdleLinks, sendTo, sendToMember } from './memberLinks.ts'
import type { Metrics } from './metrics.ts'
import type { Vm } from './platform.ts'
import { readPublished, VmListSchema } from './platform.ts'
import type { Methods, RpcLink } from './rpc.ts'

const TICK_INTERVAL_MS = 1_000
/** Mean delay before a failed watch is retried, with jitter, ms. */
const WATCH_RETRY_MS = 1_000
/** Random members with which a new process compares revisions before it serves. */
const STARTUP_COMPARISONS = 3
/** How long a new process waits for the members' answers, ms. */
const STARTUP_WAIT_MS = 1_500
const log = createLog('config:warn')

/** Callbacks of a follower. */
export interface FollowerEvents {
	onConfigActivated(config: ActiveConfig): void
	onVmList(vms: readonly Vm[]): void
}

/** State of a process that follows the platform. */
export interface Follower {
	readonly settings: Settings
	readonly metrics: Metrics
	readonly events: FollowerEvents
	readonly state: RevisionState
	readonly node: GossipNode
	readonly links: Map<string, MemberLink>
	/** Methods that the peer of a link may call. */
	readonly methods: Methods
	readonly random: () => number
	vms: readonly Vm[]
	/**
	 * Whether the platform has been read and peers have had time to answer. Before that,
	 * a configuration may be stale and is not activated.
	 */
	isInitialized: boolean
	/** Configurations received before initialization, to be applied at its end. */
	readonly pendingConfigs: { revision: number; text: string }[]
	readonly watching: Set<Topic>
	/**
	 * Revision in the platform's last answer, by topic. Watches start from it rather than
	 * from the stored revision: after a rollback of the platform, a watch from the higher
	 * stored revision would return immediately, again and again.
	 */
	readonly platformRevisions: Map<Topic, number>
	stopped: boolean
}

/** Starts a follower; `methods` are offered to other processes besides its own. */
export function startFollower(
	settings: Settings,
	metrics: Metrics,
	events: FollowerEvents,
	seed: number,
	methods: Methods = {},
): Follower {
	const { name, dataCentre } = settings.process
	const follower: Follower = {
		settings,
		metrics,
		events,
		state: createRevisionState(),
		node: createGossipNode(name, dataCentre, readNow()),
		links: new Map(),
		methods: { ...createFollowerMethods(() => follower), ...methods },
		random: createRandom(seed),
		vms: [],
		isInitialized: false,
		pendingConfigs: [],
		watching: new Set(),
		platformRevisions: new Map(),
		stopped: false,
	}
	void initialize(follower)
	return follower
}

/** Creates the RPC methods of a follower. */
export function createFollowerMethods(find: () => Follower) {
	return {
		spread(params: unknown, link: RpcLink): void {
			const follower = find()
			const { from, message } = v.parse(GossipParamsSchema, params)
			follower.links.set(from, { link, usedAt: readNow() })
			handleMessage(follower, from, message as GossipMessage)
		},
	}
}

/** Handles a newer configuration revision that a peer has reported, as a notice. */
export function handlePeerRevision(
	follower: Follower,
	from: string,
	revision: number,
): void {
	if (revision <= follower.node.topics.config.revision) return
	handleMessage(follower, from, { type: 'notice', topic: 'config', revision })
}

/** Compares revisions with a peer that has connected. */
export function handlePeerConnected(
	follower: Follower,
	name: string,
	link: RpcLink,
): void {
	follower.links.set(name, { link, usedAt: readNow() })
	applyEffects(follower, compareWithMember(follower.node, name))
}

/** Returns the revision of the active configuration; 0 before the first. */
export function activeRevision(follower: Follower): number {
	return follower.state.active?.revision ?? 0
}

/** Returns the follower's part of `juniperhook status`. */
export function describeFollower(follower: Follower): object {
	const { node, state } = follower
	return {
		revision: activeRevision(follower),
		refusedRevision: state.rejected?.revision ?? 0,
		members: node.members.length,
		neighbours: node.neighbours,
		reader: isReader(node, readNow()),
		links: follower.links.size,
	}
}

async function initialize(follower: Follower): Promise<void> {
	await Promise.all(TOPICS.map(topic => readInitialValue(follower, topic)))
	if (follower.node.members.length === 0) fetchFromConfiguredPeers(follower)
	applyEffects(
		follower,
		compareWithRandomMembers(
			follower.node,
			STARTUP_COMPARISONS,
			follower.random,
		),
	)
	await waitForPeers(follower)
	follower.isInitialized = true
	for (const { revision, text } of follower.pendingConfigs.splice(0))
		applyConfig(follower, revision, text)
	setInterval(() => tick(follower), TICK_INTERVAL_MS)
	tick(follower)
}

async function readInitialValue(
	follower: Follower,
	topic: Topic,
): Promise<void> {
	try {
		await readTopic(follower, topic, undefined)
	} catch (err) {
		log({
			msg: `initial read of ${topic} from the platform failed`,
			detail: messageOf(err),
		})
	}
}

/** Fetches both values from the peers in the settings if there is no VM list. */
function fetchFromConfiguredPeers(follower: Follower): void {
	for (const address of follower.settings.platform.peers) {
		const message = { type: 'fetch', topic: 'vms', have: -1 } as const
		void sendTo(follower, address, address, message)
		const config = { type: 'fetch', topic: 'config', have: -1 } as const
		void sendTo(follower, address, address, config)
	}
}

async function waitForPeers(follower: Follower): Promise<void> {
	const hasMembers = follower.node.members.length > 1
	const hasConfiguredPeers = follower.settings.platform.peers.length > 0
	if (!hasMembers && !hasConfiguredPeers) return
	const deadline = readNow() + STARTUP_WAIT_MS
	while (readNow() < deadline) await sleep(TICK_INTERVAL_MS / 20)
}

function tick(follower: Follower): void {
	if (follower.stopped) return
	const now = readNow()
	const { node, state } = follower
	applyEffects(follower, tickGossip(node, now, follower.random))
	if (state.rejected && !state.active)
		applyEffects(follower, requestFullValue(node, 'config', follower.random))
	if (isReader(node, now))
		for (const topic of TOPICS) void watch(follower, topic)
	closeIdleLinks(follower, now)
}

/** Watches a topic while this process is a reader. */
async function watch(follower: Follower, topic: Topic): Promise<void> {
	if (follower.watching.has(topic)) return
	follower.watching.add(topic)
	while (!follower.stopped && isReader(follower.node, readNow())) {
		try {
			const { revision } = follower.node.topics[topic]
			const after = follower.platformRevisions.get(topic) ?? revision
			await readTopic(follower, topic, after)
		} catch (err) {
			log({
				msg: `watch of ${topic} on the platform failed`,
				detail: messageOf(err),
			})
			await sleep(WATCH_RETRY_MS * (0.5 + follower.random()))
		}
	}
	follower.watching.delete(topic)
}

async function readTopic(
	follower: Follower,
	topic: Topic,
	after: number | undefined,
): Promise<void> {
	const { settings, metrics, node } = follower
	metrics.platformCalls.inc()
	const found = await readPublished(settings.platform.service, topic, after)
	const published = found && {
		revision: found.revision,
		text: found.document,
	}
	if (published) follower.platformRevisions.set(topic, published.revision)
	applyEffects(follower, applyPublished(node, topic, published, readNow()))
}

function handleMessage(
	follower: Follower,
	from: string,
	message: GossipMessage,
): void {
	const { node } = follower
	applyEffects(follower, handleGossipMessage(node, from, message, readNow()))
}

function applyEffects(
	follower: Follower,
	effects: readonly GossipEffect[],
): void {
	for (const effect of effects)
		switch (effect.do) {
			case 'send':
				void sendToMember(follower, effect.to, effect.message)
				break
			case 'adopt':
				applyValue(follower, effect.topic, effect.revision, effect.text)
				break
			default:
				effect satisfies never
		}
}

function applyValue(
	follower: Follower,
	topic: Topic,
	revision: number,
	text: string,
): void {
	switch (topic) {
		case 'config':
			if (follower.isInitialized) applyConfig(follower, revision, text)
			else follower.pendingConfigs.push({ revision, text })
			break
		case 'vms':
			applyVmList(follower, text)
			break
		default:
			topic satisfies never
	}
}

function applyConfig(follower: Follower, revision: number, text: string): void {
	const { state, metrics, node } = follower
	const result = offerRevision(state, revision, text)
	const { active } = state
	switch (result) {
		case 'adopted':
			metrics.revision.set(revision)
			setLastValid(node, 'config', undefined)
			if (active) follower.events.onConfigActivated(active)
			updateMembers(follower)
			break
		case 'invalid':
			metrics.invalidConfigs.inc()
			if (active) {
				const lastValid = { revision: active.revision, text: active.document }
				setLastValid(node, 'config', lastValid)
			}
			log({ msg: 'invalid configuration rejected', revision })
			break
		case 'stale':
			metrics.staleConfigs.inc()
			break
		case 'known':
			break
		default:
			result satisfies never
	}
}

function applyVmList(follower: Follower, text: string): void {
	try {
		follower.vms = v.parse(VmListSchema, JSON.parse(text)).vms
	} catch (err) {
		log({ msg: 'invalid VM list rejected', detail: messageOf(err) })
		return
	}
	updateMembers(follower)
	follower.events.onVmList(follower.vms)
}

function updateMembers(follower: Follower): void {
	const members: Member[] = follower.vms.map(vm => ({
		name: vm.name,
		region: regionOf(follower, vm.dataCentre),
	}))
	members.sort((a, b) => (a.name < b.name ? -1 : 1))
	const { dataCentre } = follower.settings.process
	follower.node.region = regionOf(follower, dataCentre)
	setMembers(follower.node, members, readNow())
}

function regionOf(follower: Follower, dataCentre: string): string {
	const centres = follower.state.active?.config.dataCentre ?? {}
	return centres[dataCentre]?.region ?? dataCentre
}
