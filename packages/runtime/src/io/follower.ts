/**
 * Follows what the platform publishes (configuration and VM list): carries out
 * the spread protocol over control connections, and watches the platform itself
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
import type { MemberLink } from './memberLinks.ts'
import { closeIdleLinks, sendTo, sendToMember } from './memberLinks.ts'
import type { Metrics } from './metrics.ts'
import type { Vm } from './platform.ts'
import { readPublished, VmListSchema } from './platform.ts'
import type { Methods, RpcLink } from './rpc.ts'
import { SpreadParamsSchema } from './gossipMessages.ts'

const TICK_MS = 1_000
/** A failed watch is tried again after this, with jitter, ms. */
const RETRY_MS = 1_000
/** Members asked before a new process serves. */
const START_QUESTIONS = 3
/** How long their answers are waited for, ms. */
const START_MS = 1_500
const log = createLog('config:warn')

/** What a daemon wants to hear. */
export interface FollowerEvents {
	onConfigActivated(held: ActiveConfig): void
	onVmList(vms: readonly Vm[]): void
}

/** A process's following of the platform. */
export interface Follower {
	readonly settings: Settings
	readonly metrics: Metrics
	readonly events: FollowerEvents
	readonly state: RevisionState
	readonly node: GossipNode
	readonly links: Map<string, MemberLink>
	/** What the other side of a link may call. */
	readonly methods: Methods
	readonly random: () => number
	vms: readonly Vm[]
	/** Whether peers have been asked, so that nothing stale is served. */
	settled: boolean
	/** Documents that came before that. */
	readonly early: { revision: number; text: string }[]
	readonly watching: Set<Topic>
	/**
	 * Revision that the platform last answered with, by topic. A service that has
	 * gone back is watched from there, or it would answer at once for ever.
	 */
	readonly answered: Map<Topic, number>
	stopped: boolean
}

/** Starts following; `events` are called from then on, `methods` by other processes. */
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
		settled: false,
		early: [],
		watching: new Set(),
		answered: new Map(),
		stopped: false,
	}
	void begin(follower)
	return follower
}

/** Methods that other processes call. */
export function createFollowerMethods(find: () => Follower) {
	return {
		spread(params: unknown, link: RpcLink): void {
			const follower = find()
			const { from, message } = v.parse(SpreadParamsSchema, params)
			follower.links.set(from, { link, usedAt: readNow() })
			hearFrom(follower, from, message as GossipMessage)
		},
	}
}

/** Another process spoke of the revision that it holds: any contact heals. */
export function handlePeerRevision(
	follower: Follower,
	from: string,
	revision: number,
): void {
	if (revision <= follower.node.topics.config.revision) return
	hearFrom(follower, from, { type: 'notice', topic: 'config', revision })
}

/** Another process has connected: compare with it what both hold. */
export function handlePeerConnected(
	follower: Follower,
	name: string,
	link: RpcLink,
): void {
	follower.links.set(name, { link, usedAt: readNow() })
	carryOut(follower, compareWithMember(follower.node, name))
}

/** Revision of the configuration in force; 0 before the first. */
export function activeRevision(follower: Follower): number {
	return follower.state.held?.revision ?? 0
}

/** For `juniperhook status`. */
export function describeFollower(follower: Follower): object {
	const { node, state } = follower
	return {
		revision: activeRevision(follower),
		refusedRevision: state.refused?.revision ?? 0,
		members: node.members.length,
		neighbours: node.neighbours,
		reader: isReader(node, readNow()),
		links: follower.links.size,
	}
}

async function begin(follower: Follower): Promise<void> {
	await Promise.all(TOPICS.map(topic => readOnce(follower, topic)))
	if (follower.node.members.length === 0) askConfiguredPeers(follower)
	carryOut(
		follower,
		compareWithRandomMembers(follower.node, START_QUESTIONS, follower.random),
	)
	await waitForPeers(follower)
	follower.settled = true
	for (const { revision, text } of follower.early.splice(0))
		adoptConfig(follower, revision, text)
	setInterval(() => tick(follower), TICK_MS)
	tick(follower)
}

async function readOnce(follower: Follower, topic: Topic): Promise<void> {
	try {
		await readTopic(follower, topic, undefined)
	} catch (err) {
		log({ msg: `first read of ${topic} failed`, detail: messageOf(err) })
	}
}

/** Without a list, the settings may name processes to ask. */
function askConfiguredPeers(follower: Follower): void {
	for (const address of follower.settings.platform.peers) {
		const message = { type: 'fetch', topic: 'vms', have: -1 } as const
		void sendTo(follower, address, address, message)
		const config = { type: 'fetch', topic: 'config', have: -1 } as const
		void sendTo(follower, address, address, config)
	}
}

async function waitForPeers(follower: Follower): Promise<void> {
	const others = follower.node.members.length > 1
	const named = follower.settings.platform.peers.length > 0
	if (!others && !named) return
	const end = readNow() + START_MS
	while (readNow() < end) await sleep(TICK_MS / 20)
}

function tick(follower: Follower): void {
	if (follower.stopped) return
	const now = readNow()
	const { node, state } = follower
	carryOut(follower, tickGossip(node, now, follower.random))
	if (state.refused && !state.held)
		carryOut(follower, requestFullValue(node, 'config', follower.random))
	if (isReader(node, now))
		for (const topic of TOPICS) void watch(follower, topic)
	closeIdleLinks(follower, now)
}

/** Watches a topic for as long as this process is a reader. */
async function watch(follower: Follower, topic: Topic): Promise<void> {
	if (follower.watching.has(topic)) return
	follower.watching.add(topic)
	while (!follower.stopped && isReader(follower.node, readNow())) {
		try {
			const { revision } = follower.node.topics[topic]
			const after = follower.answered.get(topic) ?? revision
			await readTopic(follower, topic, after)
		} catch (err) {
			log({ msg: `watch of ${topic} failed`, detail: messageOf(err) })
			await sleep(RETRY_MS * (0.5 + follower.random()))
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
	if (published) follower.answered.set(topic, published.revision)
	carryOut(follower, applyPublished(node, topic, published, readNow()))
}

function hearFrom(
	follower: Follower,
	from: string,
	message: GossipMessage,
): void {
	const { node } = follower
	carryOut(follower, handleGossipMessage(node, from, message, readNow()))
}

function carryOut(follower: Follower, effects: readonly GossipEffect[]): void {
	for (const effect of effects)
		switch (effect.do) {
			case 'send':
				void sendToMember(follower, effect.to, effect.message)
				break
			case 'adopt':
				adopt(follower, effect.topic, effect.revision, effect.text)
				break
			default:
				effect satisfies never
		}
}

function adopt(
	follower: Follower,
	topic: Topic,
	revision: number,
	text: string,
): void {
	switch (topic) {
		case 'config':
			if (follower.settled) adoptConfig(follower, revision, text)
			else follower.early.push({ revision, text })
			break
		case 'vms':
			adoptVms(follower, text)
			break
		default:
			topic satisfies never
	}
}

function adoptConfig(follower: Follower, revision: number, text: string): void {
	const { state, metrics, node } = follower
	const verdict = offerRevision(state, revision, text)
	const { held } = state
	switch (verdict) {
		case 'adopted':
			metrics.revision.set(revision)
			setLastValid(node, 'config', undefined)
			if (held) follower.events.onConfigActivated(held)
			setMembersFrom(follower)
			break
		case 'invalid':
			metrics.invalidConfigs.inc()
			if (held) {
				const good = { revision: held.revision, text: held.document }
				setLastValid(node, 'config', good)
			}
			log({ msg: 'document refused', revision })
			break
		case 'stale':
			metrics.staleConfigs.inc()
			break
		case 'known':
			break
		default:
			verdict satisfies never
	}
}

function adoptVms(follower: Follower, text: string): void {
	try {
		follower.vms = v.parse(VmListSchema, JSON.parse(text)).vms
	} catch (err) {
		log({ msg: 'VM list refused', detail: messageOf(err) })
		return
	}
	setMembersFrom(follower)
	follower.events.onVmList(follower.vms)
}

function setMembersFrom(follower: Follower): void {
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
	const centres = follower.state.held?.config.dataCentre ?? {}
	return centres[dataCentre]?.region ?? dataCentre
}
