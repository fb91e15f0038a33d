/**
 * How published values reach every process: a few readers of the platform in
 * each region, notices along a graph of bounded degree, fetches of short
 * patches from whoever gave notice, and a slow exchange with random members
 * that repairs whatever was lost. The highest revision wins, never backwards.
 *
 * Pure: events in, effects out; the daemons carry the effects.
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

/** Time between exchanges with a random member, ms. */
export const EXCHANGE_MS = 10_000
/** Time between a standby's looks at the readers, ms. */
export const LOOK_MS = 1_500
/** So is one whose watch, which waits 30 s, has not been answered, ms. */
export const CONTACT_MS = 40_000

/** Makes a node that knows nothing yet. */
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

/** The platform answered, with a value or without news. */
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

/** Takes a message from another process. */
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
			return compare(node, from, message, now)
		case 'look':
			return [send(from, { type: 'contact', ageMs: now - node.contactAt })]
		case 'contact':
			if (message.ageMs <= CONTACT_MS) node.readerSeen.set(from, now)
			return []
		default:
			return message satisfies never
	}
}

/** Runs the periodic parts. */
export function tickSpread(
	node: SpreadNode,
	now: number,
	random: Random,
): SpreadEffect[] {
	const effects = TOPICS.flatMap(topic => repeatFetch(node, topic, now, random))
	const others = node.members.length
	if (now >= node.nextExchange && others > 0) {
		// Jitter keeps a healed fleet from speaking all at once.
		node.nextExchange = now + EXCHANGE_MS * (0.5 + random())
		const { name } = node.members[drawIndex(random, others)]!
		if (name !== node.self) effects.push(send(name, compareOf(node, true)))
	}
	const place = node.readers.indexOf(node.self)
	if (place >= READERS && now >= node.nextLook) {
		node.nextLook = now + LOOK_MS * (0.75 + random() / 2)
		for (const reader of node.readers.slice(0, place))
			effects.push(send(reader, { type: 'look' }))
	}
	return effects
}

/** The first questions of a process that has just started. */
export function askMembers(
	node: SpreadNode,
	count: number,
	random: Random,
): SpreadEffect[] {
	const names = new Set<string>()
	const others = node.members.filter(member => member.name !== node.self)
	const most = Math.min(count, others.length)
	while (names.size < most)
		names.add(others[drawIndex(random, others.length)]!.name)
	return [...names].map(name => send(name, compareOf(node, true)))
}

/**
 * Notes that the value held was judged invalid and `good` stays in force, so
 * that a process that starts now can be given it.
 */
export function keepGood(
	node: SpreadNode,
	topic: Topic,
	good: GoodValue | undefined,
): void {
	node.held[topic].good = good
}

/** Asks a random member for all it holds, also for what is in force there. */
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

/** Compares with one member what both hold. */
export function greetMember(node: SpreadNode, name: string): SpreadEffect[] {
	return [send(name, compareOf(node, true))]
}

function compare(
	node: SpreadNode,
	from: string,
	message: Extract<SpreadMessage, { type: 'compare' }>,
	now: number,
): SpreadEffect[] {
	const effects = TOPICS.flatMap((topic, at) =>
		hear(node, topic, message.revisions[at] ?? 0, from, now),
	)
	if (message.answer) effects.push(send(from, compareOf(node, false)))
	return effects
}

function compareOf(node: SpreadNode, answer: boolean): SpreadMessage {
	const revisions = TOPICS.map(topic => node.held[topic].revision)
	return { type: 'compare', revisions, answer }
}
