/**
 * Many spread nodes over a network in memory that delays, loses and cuts. A
 * test of this one protocol; it knows nothing of requests or engines.
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

/** Resolution of time, ms. */
const STEP_MS = 5
const TICK_MS = 1_000
/** How long a waiting watch waits, ms. */
const WATCH_MS = 30_000

/** How the network and the platform behave. */
export interface NetOptions {
	readonly size: number
	readonly regions: number
	readonly seed: number
	/** Share of messages lost. */
	readonly loss: number
	readonly document: string
}

interface Envelope {
	readonly from: number
	readonly to: number
	readonly message: GossipMessage
	/** Life of the receiver for which it was sent. */
	readonly life: number
}

/** A fleet in memory. */
export interface GossipNet {
	readonly options: NetOptions
	readonly random: Random
	readonly members: Member[]
	readonly indexOf: Map<string, number>
	readonly nodes: GossipNode[]
	/** Restarts of each node so far. */
	readonly lives: number[]
	readonly up: boolean[]
	/** Revision in force at each node. */
	readonly inForce: number[]
	/** Part of a cut network that each node is in. */
	readonly part: number[]
	readonly queue: Map<number, Envelope[]>
	/** When each open watch ends, ms, by node. */
	readonly watchUntil: Map<number, number>
	now: number
	/** What the platform answers; `undefined` while it is down. */
	published: { revision: number; text: string } | undefined
	calls: number
	messages: number
	bytes: number
	/** Times that a node went back to a lower revision. */
	reversals: number
	/** Takes the "never backwards" guard out. */
	readonly unguarded: boolean
}

/** Makes a fleet that knows its members and nothing else. */
export function createNet(
	options: NetOptions,
	unguarded = false,
	/** A net of the same size, whose graph is taken over. */
	like?: GossipNet,
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
		lives: members.map(() => 0),
		up: members.map(() => true),
		inForce: members.map(() => 0),
		part: members.map(() => 0),
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
		const twin = like?.nodes[net.nodes.length]
		if (twin) copyGraph(twin, node, members)
		else setMembers(node, members, 0)
		net.nodes.push(node)
	}
	return net
}

/** The graph follows from the names alone; working it out anew is slow. */
function copyGraph(
	from: GossipNode,
	to: GossipNode,
	members: readonly Member[],
): void {
	to.members = members
	to.neighbours = from.neighbours
	to.readers = from.readers
	for (const reader of from.readers) to.readerContactAt.set(reader, 0)
}

/** Publishes a document, as a change of one line. */
export function publishChange(net: GossipNet, revision: number): void {
	const { document } = net.options
	const at = Math.floor(document.length / 2)
	const text = `${document.slice(0, at)}\nrate = ${revision}\n${document.slice(at)}`
	net.published = { revision, text }
}

/** Restarts a node: it forgets everything and asks its peers first. */
export function restartNode(net: GossipNet, at: number): void {
	const { name, region } = net.members[at]!
	const node = createGossipNode(name, region, net.now)
	setMembers(node, net.members, net.now)
	net.nodes[at] = node
	net.lives[at]!++
	net.up[at] = true
	net.inForce[at] = 0
	net.watchUntil.delete(at)
	carryOut(net, at, compareWithRandomMembers(node, 3, net.random))
}

/** Ends a node. */
export function killNode(net: GossipNet, at: number): void {
	net.up[at] = false
	net.lives[at]!++
}

/** Lets time pass. */
export function runNet(net: GossipNet, ms: number): void {
	const end = net.now + ms
	while (net.now < end) {
		net.now += STEP_MS
		deliverDue(net)
		tickDue(net)
	}
}

/** Runs until every live node has `revision`; gives when each had it, ms. */
export function measureSpread(
	net: GossipNet,
	revision: number,
	limitMs: number,
): number[] {
	const start = net.now
	const took: number[] = new Array(net.nodes.length).fill(-1)
	let waiting = [...net.nodes.keys()]
	while (net.now < start + limitMs && waiting.length > 0) {
		runNet(net, STEP_MS)
		waiting = waiting.filter(at => {
			if (net.inForce[at]! < revision) return net.up[at]
			took[at] = net.now - start
			return false
		})
	}
	return took.filter((_, at) => net.up[at])
}

/** Index of a live node of the list, at random. */
export function pickLive(net: GossipNet): number {
	for (;;) {
		const at = randomIndex(net.random, net.nodes.length)
		if (net.up[at]) return at
	}
}

function deliverDue(net: GossipNet): void {
	const due = net.queue.get(net.now) ?? []
	net.queue.delete(net.now)
	for (const { from, to, message, life } of due) {
		const reachable = net.part[from] === net.part[to]
		if (!net.up[to] || net.lives[to] !== life || !reachable) continue
		const { name } = net.members[from]!
		const node = net.nodes[to]!
		carryOut(net, to, handleGossipMessage(node, name, message, net.now))
	}
}

/** Each node ticks once a second, at its own part of the second. */
function tickDue(net: GossipNet): void {
	const slots = TICK_MS / STEP_MS
	const slot = (net.now / STEP_MS) % slots
	for (let at = slot; at < net.nodes.length; at += slots) {
		if (!net.up[at]) continue
		const node = net.nodes[at]!
		carryOut(net, at, tickGossip(node, net.now, net.random))
		watch(net, at)
	}
	// A waiting watch is answered when there is news, or when its time is over.
	for (const [at, until] of net.watchUntil) {
		if (!net.up[at]) continue
		const held = net.nodes[at]!.topics.config.revision
		const news = net.published && net.published.revision !== held
		if (!news && net.now < until) continue
		net.watchUntil.delete(at)
		if (!net.published) continue
		const value = news ? net.published : undefined
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
	if (revision < net.inForce[at]!) net.reversals++
	net.inForce[at] = revision
	// The mutant lets any later offer in, also an older one.
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
	due.push({ from, to, message, life: net.lives[to]! })
	net.queue.set(at, due)
}
