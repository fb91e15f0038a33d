/**
 * Gossip of published values to all processes. A few readers in each region watch the
 * platform. A new revision is announced by notices along a graph of bounded degree, and
 * fetched as patches from the sender of a notice. Slow anti-entropy with random members
 * repairs losses. The highest revision wins; a node never goes back to a lower one.
 *
 * Pure functions: events in, effects out; the daemons carry out the effects.
 */

import type {
	GoodValue,
	Held,
	Random,
	SpreadEffect,
	SpreadMessage,
	SpreadNode,
	Topic,
} from '../internal.ts'
import {
	answerFetch,
	drawIndex,
	hear,
	hold,
	READERS,
	repeatFetch,
	send,
	TOPICS,
	takePatches,
	takeValue,
} from '../internal.ts'

/** Mean interval of the anti-entropy with random members, ms. */
export const EXCHANGE_MS = 10_000
/** Mean interval of a standby's checks of the readers, ms. */
export const LOOK_MS = 1_500
/**
 * A reader without an answer from the platform for this long is not in contact, ms.
 * A watch waits for up to 30 s.
 */
export const CONTACT_MS = 40_000

/** Creates a node without values and members. */
export function createSpreadNode(
	self: string,
	region: string,
	now: number,
): SpreadNode {
	const empty = (): Held => ({
		revision: 0,
		text: '',
		patches: [],
		fetching: undefined,
		heard: 0,
		good: undefined,
	})
	return {
		self,
		region,
		held: { config: empty(), vms: empty() },
		members: [],
		neighbours: [],
		readers: [],
		contactAt: now,
		readerSeen: new Map(),
		nextExchange: now,
		nextLook: now,
	}
}

/** Applies an answer of the platform; `published` is undefined if nothing is newer. */
export function takePublished(
	node: SpreadNode,
	topic: Topic,
	published: { revision: number; text: string } | undefined,
	now: number,
): SpreadEffect[] {
	node.contactAt = now
	if (!published) return []
	return hold(node, topic, published.revision, published.text, '')
}

/** Handles a message from another process. */
export function takeSpreadMessage(
	node: SpreadNode,
	from: string,
	message: SpreadMessage,
	now: number,
): SpreadEffect[] {
	switch (message.type) {
		case 'notice':
			return hear(node, message.topic, message.revision, from, now)
		case 'fetch':
			return [send(from, answerFetch(node, message.topic, message.have))]
		case 'patches':
			return takePatches(node, from, message)
		case 'value':
			return takeValue(node, from, message)
		case 'compare':
			return handleCompare(node, from, message, now)
		case 'look':
			return [send(from, { type: 'contact', ageMs: now - node.contactAt })]
		case 'contact':
			if (message.ageMs <= CONTACT_MS) node.readerSeen.set(from, now)
			return []
		default:
			return message satisfies never
	}
}

/** Runs the periodic tasks: retries of fetches, anti-entropy and reader checks. */
export function tickSpread(
	node: SpreadNode,
	now: number,
	random: Random,
): SpreadEffect[] {
	const effects = TOPICS.flatMap(topic => repeatFetch(node, topic, now, random))
	const memberCount = node.members.length
	if (now >= node.nextExchange && memberCount > 0) {
		// Jitter keeps the fleet from synchronising after a partition has healed.
		node.nextExchange = now + EXCHANGE_MS * (0.5 + random())
		const { name } = node.members[drawIndex(random, memberCount)]!
		if (name !== node.self) effects.push(send(name, compareMessage(node, true)))
	}
	const rank = node.readers.indexOf(node.self)
	if (rank >= READERS && now >= node.nextLook) {
		node.nextLook = now + LOOK_MS * (0.75 + random() / 2)
		for (const reader of node.readers.slice(0, rank))
			effects.push(send(reader, { type: 'look' }))
	}
	return effects
}

/** Compares revisions with `count` random members, after a start. */
export function askMembers(
	node: SpreadNode,
	count: number,
	random: Random,
): SpreadEffect[] {
	const names = new Set<string>()
	const others = node.members.filter(member => member.name !== node.self)
	const target = Math.min(count, others.length)
	while (names.size < target)
		names.add(others[drawIndex(random, others.length)]!.name)
	return [...names].map(name => send(name, compareMessage(node, true)))
}

/**
 * Records the last valid value while the latest one is invalid, so that it can be sent
 * to processes that start in the meantime; `undefined` once the latest is valid.
 */
export function keepGood(
	node: SpreadNode,
	topic: Topic,
	good: GoodValue | undefined,
): void {
	node.held[topic].good = good
}

/** Fetches the full value from a random member, with its last valid one. */
export function askWhole(
	node: SpreadNode,
	topic: Topic,
	random: Random,
): SpreadEffect[] {
	const others = node.members.filter(member => member.name !== node.self)
	const member = others[drawIndex(random, others.length)]
	if (!member) return []
	return [send(member.name, { type: 'fetch', topic, have: -1 })]
}

/** Compares revisions with one member. */
export function greetMember(node: SpreadNode, name: string): SpreadEffect[] {
	return [send(name, compareMessage(node, true))]
}

function handleCompare(
	node: SpreadNode,
	from: string,
	message: Extract<SpreadMessage, { type: 'compare' }>,
	now: number,
): SpreadEffect[] {
	const effects = TOPICS.flatMap((topic, at) =>
		hear(node, topic, message.revisions[at] ?? 0, from, now),
	)
	if (message.answer) effects.push(send(from, compareMessage(node, false)))
	return effects
}

function compareMessage(node: SpreadNode, answer: boolean): SpreadMessage {
	const revisions = TOPICS.map(topic => node.held[topic].revision)
	return { type: 'compare', revisions, answer }
}
