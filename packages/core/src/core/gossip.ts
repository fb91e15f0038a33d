/**
 * How published values reach every process: a few readers of the platform in
 * each region, notices along a graph of bounded degree, fetches of short
 * patches from whoever gave notice, and a slow exchange with random members
 * that repairs whatever was lost. The highest revision wins, never backwards.
 *
 * Pure: events in, effects out; the daemons carry the effects.
 */

import type {
	GossipEffect,
	GossipMessage,
	GossipNode,
	Random,
	Topic,
	TopicState,
	ValidValue,
} from '../internal.ts'
import {
	answerFetch,
	applyFullValue,
	applyPatches,
	handleRevisionNotice,
	READERS,
	randomIndex,
	retryFetch,
	sendTo,
	storeValue,
	TOPICS,
} from '../internal.ts'

/** Time between exchanges with a random member, ms. */
export const ANTI_ENTROPY_MS = 10_000
/** Time between a standby's looks at the readers, ms. */
export const READER_CHECK_MS = 1_500
/** So is one whose watch, which waits 30 s, has not been answered, ms. */
export const CONTACT_TIMEOUT_MS = 40_000

/** Makes a node that knows nothing yet. */
export function createGossipNode(
	self: string,
	region: string,
	now: number,
): GossipNode {
	const empty = (): TopicState => ({
		revision: 0,
		text: '',
		patches: [],
		fetching: undefined,
		highestSeen: 0,
		lastValid: undefined,
	})
	return {
		self,
		region,
		topics: { config: empty(), vms: empty() },
		members: [],
		neighbours: [],
		readers: [],
		contactAt: now,
		readerContactAt: new Map(),
		nextAntiEntropy: now,
		nextReaderCheck: now,
	}
}

/** The platform answered, with a value or without news. */
export function applyPublished(
	node: GossipNode,
	topic: Topic,
	published: { revision: number; text: string } | undefined,
	now: number,
): GossipEffect[] {
	node.contactAt = now
	if (!published) return []
	return storeValue(node, topic, published.revision, published.text, '')
}

/** Takes a message from another process. */
export function handleGossipMessage(
	node: GossipNode,
	from: string,
	message: GossipMessage,
	now: number,
): GossipEffect[] {
	switch (message.type) {
		case 'notice':
			return handleRevisionNotice(
				node,
				message.topic,
				message.revision,
				from,
				now,
			)
		case 'fetch':
			return [sendTo(from, answerFetch(node, message.topic, message.have))]
		case 'patches':
			return applyPatches(node, from, message)
		case 'value':
			return applyFullValue(node, from, message)
		case 'compare':
			return compare(node, from, message, now)
		case 'look':
			return [sendTo(from, { type: 'contact', ageMs: now - node.contactAt })]
		case 'contact':
			if (message.ageMs <= CONTACT_TIMEOUT_MS)
				node.readerContactAt.set(from, now)
			return []
		default:
			return message satisfies never
	}
}

/** Runs the periodic parts. */
export function tickGossip(
	node: GossipNode,
	now: number,
	random: Random,
): GossipEffect[] {
	const effects = TOPICS.flatMap(topic => retryFetch(node, topic, now, random))
	const others = node.members.length
	if (now >= node.nextAntiEntropy && others > 0) {
		// Jitter keeps a healed fleet from speaking all at once.
		node.nextAntiEntropy = now + ANTI_ENTROPY_MS * (0.5 + random())
		const { name } = node.members[randomIndex(random, others)]!
		if (name !== node.self) effects.push(sendTo(name, compareOf(node, true)))
	}
	const place = node.readers.indexOf(node.self)
	if (place >= READERS && now >= node.nextReaderCheck) {
		node.nextReaderCheck = now + READER_CHECK_MS * (0.75 + random() / 2)
		for (const reader of node.readers.slice(0, place))
			effects.push(sendTo(reader, { type: 'look' }))
	}
	return effects
}

/** The first questions of a process that has just started. */
export function compareWithRandomMembers(
	node: GossipNode,
	count: number,
	random: Random,
): GossipEffect[] {
	const names = new Set<string>()
	const others = node.members.filter(member => member.name !== node.self)
	const most = Math.min(count, others.length)
	while (names.size < most)
		names.add(others[randomIndex(random, others.length)]!.name)
	return [...names].map(name => sendTo(name, compareOf(node, true)))
}

/**
 * Notes that the value held was judged invalid and `good` stays in force, so
 * that a process that starts now can be given it.
 */
export function setLastValid(
	node: GossipNode,
	topic: Topic,
	good: ValidValue | undefined,
): void {
	node.topics[topic].lastValid = good
}

/** Asks a random member for all it holds, also for what is in force there. */
export function requestFullValue(
	node: GossipNode,
	topic: Topic,
	random: Random,
): GossipEffect[] {
	const others = node.members.filter(member => member.name !== node.self)
	const member = others[randomIndex(random, others.length)]
	if (!member) return []
	return [sendTo(member.name, { type: 'fetch', topic, have: -1 })]
}

/** Compares with one member what both hold. */
export function compareWithMember(
	node: GossipNode,
	name: string,
): GossipEffect[] {
	return [sendTo(name, compareOf(node, true))]
}

function compare(
	node: GossipNode,
	from: string,
	message: Extract<GossipMessage, { type: 'compare' }>,
	now: number,
): GossipEffect[] {
	const effects = TOPICS.flatMap((topic, at) =>
		handleRevisionNotice(node, topic, message.revisions[at] ?? 0, from, now),
	)
	if (message.answer) effects.push(sendTo(from, compareOf(node, false)))
	return effects
}

function compareOf(node: GossipNode, answer: boolean): GossipMessage {
	const revisions = TOPICS.map(topic => node.topics[topic].revision)
	return { type: 'compare', revisions, answer }
}
