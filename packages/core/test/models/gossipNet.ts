/**
 * Model of many gossip nodes over an in-memory network that delays and loses messages and
 * may be partitioned. Covers this protocol only, without requests or engines.
 */

import type {
	GossipEffect,
	GossipMessage,
	GossipNode,
	Member,
	Random,
	Topic,
} from '../../src/index.ts'
import {
	applyPublished,
	compareWithRandomMembers,
	createGossipNode,
	createRandom,
	handleGossipMessage,
	isReader,
	randomIndex,
	setMembers,
	tickGossip,
} from '../../src/index.ts'

/** Time step of the simulation, ms. */
const STEP_MS = 5
const TICK_MS = 1_000
/** Timeout of a long-polling watch, ms. */
const WATCH_MS = 30_000

/** Options of the network and the platform. */
export interface NetOptions {
	readonly size: number
	readonly regions: number
	readonly seed: number
	/** Fraction of messages that are lost. */
	readonly loss: number
	readonly document: string
}

interface Envelope {
	readonly from: number
	readonly to: number
	readonly message: GossipMessage
	/** Incarnation of the receiver at the time of sending. */
	readonly incarnation: number
}

/** A simulated fleet. */
export interface GossipNet {
	readonly options: NetOptions
	readonly random: Random
	readonly members: Member[]
	readonly indexOf: Map<string, number>
	readonly nodes: GossipNode[]
	/** Incarnation of each node. */
	readonly incarnations: number[]
	readonly up: boolean[]
	/** Active revision of each node. */
	readonly active: number[]
	/** Partition of the network that each node is in. */
	readonly partition: number[]
	readonly queue: Map<number, Envelope[]>
	/** When each open watch times out, ms, by node. */
	readonly watchUntil: Map<number, number>
	now: number
	/** The published value; `undefined` while the platform is down. */
	published: { revision: number; text: string } | undefined
	calls: number
	messages: number
	bytes: number
	/** Number of times that a node went back to a lower revision. */
	reversals: number
	/** Removes the guard against lower revisions. */
	readonly unguarded: boolean
}

/** Creates a fleet whose nodes know the members but no values. */
export function createNet(
	options: NetOptions,
	unguarded = false,
	/** A net of the same size, whose topology is copied. */
	template?: GossipNet,
): GossipNet {
	const random = createRandom(options.seed)
	const members = Array.from({ length: options.size }, (_, n) => ({
		name: `vm-${String(n).padStart(5, '0')}`,
		region: `region-${n % options.regions}`,
	}))
	const net: GossipNet = {
		options,
		random,
		members,
		indexOf: new Map(members.map(({ name }, n) => [name, n])),
		nodes: [],
		incarnations: members.map(() => 0),
		up: members.map(() => true),
		active: members.map(() => 0),
		partition: members.map(() => 0),
		queue: new Map(),
		watchUntil: new Map(),
		now: 0,
		published: { revision: 1, text: options.document },
		calls: 0,
		messages: 0,
		bytes: 0,
		reversals: 0,
		unguarded,
	}
	for (const { name, region } of members) {
		const node = createGossipNode(name, region, 0)
		const original = template?.nodes[net.nodes.length]
		if (original) copyTopology(original, node, members)
		else setMembers(node, members, 0)
		net.nodes.push(node)
	}
	return net
}

/** Copies the topology, which depends on the names alone and is slow to compute. */
function copyTopology(
	from: GossipNode,
	to: GossipNode,
	members: readonly Member[],
): void {
	to.members = members
	to.neighbours = from.neighbours
	to.readers = from.readers
	for (const reader of from.readers) to.readerContactAt.set(reader, 0)
}

/** Publishes a document that differs in one line. */
export function publishChange(net: GossipNet, revision: number): void {
	const { document } = net.options
	const at = Math.floor(document.length / 2)
	const text = `${document.slice(0, at)}\nrate = ${revision}\n${document.slice(at)}`
	net.published = { revision, text }
}

/** Restarts a node without state; it first compares revisions with other members. */
export function restartNode(net: GossipNet, at: number): void {
	const { name, region } = net.members[at]!
	const node = createGossipNode(name, region, net.now)
	setMembers(node, net.members, net.now)
	net.nodes[at] = node
	net.incarnations[at]!++
	net.up[at] = true
	net.active[at] = 0
	net.watchUntil.delete(at)
	carryOut(net, at, compareWithRandomMembers(node, 3, net.random))
}

/** Stops a node. */
export function killNode(net: GossipNet, at: number): void {
	net.up[at] = false
	net.incarnations[at]!++
}

/** Advances the simulation by `ms`. */
export function runNet(net: GossipNet, ms: number): void {
	const end = net.now + ms
	while (net.now < end) {
		net.now += STEP_MS
		deliverDue(net)
		tickDue(net)
	}
}

/** Runs until every live node has `revision`; returns how long each took, ms. */
export function measurePropagation(
	net: GossipNet,
	revision: number,
	limitMs: number,
): number[] {
	const start = net.now
	const took: number[] = new Array(net.nodes.length).fill(-1)
	let pending = [...net.nodes.keys()]
	while (net.now < start + limitMs && pending.length > 0) {
		runNet(net, STEP_MS)
		pending = pending.filter(at => {
			if (net.active[at]! < revision) return net.up[at]
			took[at] = net.now - start
			return false
		})
	}
	return took.filter((_, at) => net.up[at])
}

/** Returns the index of a random live node. */
export function pickLive(net: GossipNet): number {
	for (;;) {
		const at = randomIndex(net.random, net.nodes.length)
		if (net.up[at]) return at
	}
}

function deliverDue(net: GossipNet): void {
	const due = net.queue.get(net.now) ?? []
	net.queue.delete(net.now)
	for (const { from, to, message, incarnation } of due) {
		const reachable = net.partition[from] === net.partition[to]
		if (!net.up[to] || net.incarnations[to] !== incarnation || !reachable)
			continue
		const { name } = net.members[from]!
		const node = net.nodes[to]!
		carryOut(net, to, handleGossipMessage(node, name, message, net.now))
	}
}

/** Ticks each node once a second, at its own offset. */
function tickDue(net: GossipNet): void {
	const slots = TICK_MS / STEP_MS
	const slot = (net.now / STEP_MS) % slots
	for (let at = slot; at < net.nodes.length; at += slots) {
		if (!net.up[at]) continue
		const node = net.nodes[at]!
		carryOut(net, at, tickGossip(node, net.now, net.random))
		watch(net, at)
	}
	// A watch is answered when there is a new revision or when it times out.
	for (const [at, until] of net.watchUntil) {
		if (!net.up[at]) continue
		const held = net.nodes[at]!.topics.config.revision
		const isNew = net.published && net.published.revision !== held
		if (!isNew && net.now < until) continue
		net.watchUntil.delete(at)
		if (!net.published) continue
		const value = isNew ? net.published : undefined
		carryOut(net, at, applyPublished(net.nodes[at]!, 'config', value, net.now))
	}
}

function watch(net: GossipNet, at: number): void {
	if (net.watchUntil.has(at) || !isReader(net.nodes[at]!, net.now)) return
	net.calls++
	if (net.published) net.watchUntil.set(at, net.now + WATCH_MS)
}

function carryOut(
	net: GossipNet,
	at: number,
	effects: readonly GossipEffect[],
): void {
	for (const effect of effects)
		switch (effect.do) {
			case 'send':
				post(net, at, effect.to, effect.message)
				break
			case 'adopt':
				adopt(net, at, effect.topic, effect.revision)
				break
			default:
				effect satisfies never
		}
}

function adopt(
	net: GossipNet,
	at: number,
	topic: Topic,
	revision: number,
): void {
	if (topic !== 'config') return
	if (revision < net.active[at]!) net.reversals++
	net.active[at] = revision
	// Without the guard, any later offer is accepted, even of a lower revision.
	if (net.unguarded) net.nodes[at]!.topics.config.revision = 0
}

function post(
	net: GossipNet,
	from: number,
	name: string,
	message: GossipMessage,
): void {
	const to = net.indexOf.get(name)
	if (to === undefined) return
	net.messages++
	net.bytes += JSON.stringify(message).length
	if (net.random() < net.options.loss) return
	const delay = 1 + randomIndex(net.random, 40)
	const at = Math.ceil((net.now + delay) / STEP_MS) * STEP_MS
	const due = net.queue.get(at) ?? []
	due.push({ from, to, message, incarnation: net.incarnations[to]! })
	net.queue.set(at, due)
}
