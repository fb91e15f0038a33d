/**
 * Gossip of published values to all processes. A few readers in each region watch the
 * platform. A new revision is announced by notices along a graph of bounded degree, and
 * fetched as patches from the sender of a notice. Infrequent anti-entropy with random
 * members repairs losses. The highest revision wins; a node never goes back to a lower one.
 *
 * Pure functions: events in, effects out; the daemons carry out the effects.
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
	sampleItems,
	sendTo,
	storeValue,
	TOPICS,
} from '../internal.ts'

/** Mean interval of the anti-entropy with random members, ms. */
export const ANTI_ENTROPY_MS = 10_000
/** Mean interval of a standby's checks of the readers, ms. */
export const READER_CHECK_MS = 1_500
/**
 * A reader without an answer from the platform for this long is not in contact, ms.
 * A watch waits for up to 30 s.
 */
export const CONTACT_TIMEOUT_MS = 40_000

/** Creates a node without values and members. */
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

/** Applies an answer of the platform; `published` is undefined if nothing is newer. */
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

/** Handles a message from another process. */
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
			return handleCompare(node, from, message, now)
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

/** Runs the periodic tasks: retries of fetches, anti-entropy and reader checks. */
export function tickGossip(
	node: GossipNode,
	now: number,
	random: Random,
): GossipEffect[] {
	const effects = TOPICS.flatMap(topic => retryFetch(node, topic, now, random))
	const memberCount = node.members.length
	if (now >= node.nextAntiEntropy && memberCount > 0) {
		// Jitter keeps the fleet from synchronising after a partition has healed.
		node.nextAntiEntropy = now + ANTI_ENTROPY_MS * (0.5 + random())
		const { name } = node.members[randomIndex(random, memberCount)]!
		if (name !== node.self)
			effects.push(sendTo(name, compareMessage(node, true)))
	}
	const position = node.readers.indexOf(node.self)
	if (position >= READERS && now >= node.nextReaderCheck) {
		node.nextReaderCheck = now + READER_CHECK_MS * (0.75 + random() / 2)
		for (const reader of node.readers.slice(0, position))
			effects.push(sendTo(reader, { type: 'look' }))
	}
	return effects
}

/** Compares revisions with `count` random members, after a start. */
export function compareWithRandomMembers(
	node: GossipNode,
	count: number,
	random: Random,
): GossipEffect[] {
	const others = node.members.filter(member => member.name !== node.self)
	return sampleItems(others, count, random).map(({ name }) =>
		sendTo(name, compareMessage(node, true)),
	)
}

/**
 * Records the last valid value while the latest one is invalid, so that it can be sent
 * to processes that start in the meantime; `undefined` once the latest is valid.
 */
export function setLastValid(
	node: GossipNode,
	topic: Topic,
	value: ValidValue | undefined,
): void {
	node.topics[topic].lastValid = value
}

/**
 * Fetches the full value from a random member, which adds the last valid value if the
 * full one is invalid.
 */
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

/** Compares revisions with one member. */
export function compareWithMember(
	node: GossipNode,
	name: string,
): GossipEffect[] {
	return [sendTo(name, compareMessage(node, true))]
}

function handleCompare(
	node: GossipNode,
	from: string,
	message: Extract<GossipMessage, { type: 'compare' }>,
	now: number,
): GossipEffect[] {
	const effects = TOPICS.flatMap((topic, at) =>
		handleRevisionNotice(node, topic, message.revisions[at] ?? 0, from, now),
	)
	if (message.answer) effects.push(sendTo(from, compareMessage(node, false)))
	return effects
}

function compareMessage(node: GossipNode, answer: boolean): GossipMessage {
	const revisions = TOPICS.map(topic => node.topics[topic].revision)
	return { type: 'compare', revisions, answer }
}
