/**
 * How a process takes published values from others: it hears of a newer revision,
 * fetches what it lacks, as patches where that will do, and gives notice in turn.
 */

import type {
	GossipEffect,
	GossipMessage,
	GossipNode,
	Random,
} from '../internal.ts'
import { applyPatch, makePatch, randomIndex } from '../internal.ts'

/** Values that the platform publishes. */
export const TOPICS = ['config', 'vms'] as const
/** See {@link TOPICS}. */
export type Topic = (typeof TOPICS)[number]

/** Patches kept to bring others up to date. */
const KEPT_PATCHES = 32
/** A fetch without answer is tried elsewhere after this, ms. */
export const FETCH_TIMEOUT_MS = 1_000
/**
 * Each further try waits twice as long, up to 2 to the power of this: the answer
 * may be a whole document on its way over a slow link, and each try sends it
 * once more over the same link.
 */
const MAX_DOUBLINGS = 4

/** Holds a newer value, and gives notice of it to neighbours. */
export function storeValue(
	node: GossipNode,
	topic: Topic,
	revision: number,
	text: string,
	from: string,
): GossipEffect[] {
	const held = node.topics[topic]
	// Never backwards, whoever says so.
	if (revision <= held.revision) return []
	if (held.revision > 0) {
		const patch = makePatch(held.text, text)
		held.patches.push({ from: held.revision, to: revision, patch })
		if (held.patches.length > KEPT_PATCHES) held.patches.shift()
	}
	held.revision = revision
	held.text = text
	held.highestSeen = Math.max(held.highestSeen, revision)
	held.fetching = undefined
	const notices = node.neighbours
		.filter(name => name !== from)
		.map(name => sendTo(name, { type: 'notice', topic, revision }))
	return [{ do: 'adopt', topic, revision, text }, ...notices]
}

/** Hears that somebody has a revision, and fetches it if it is news. */
export function handleRevisionNotice(
	node: GossipNode,
	topic: Topic,
	revision: number,
	from: string,
	now: number,
): GossipEffect[] {
	const held = node.topics[topic]
	if (revision <= held.revision) return []
	held.highestSeen = Math.max(held.highestSeen, revision)
	if (held.fetching && now < held.fetching.until) return []
	return startFetch(node, topic, from, now)
}

function startFetch(
	node: GossipNode,
	topic: Topic,
	from: string,
	now: number,
): GossipEffect[] {
	const held = node.topics[topic]
	const tries = held.fetching ? held.fetching.retries + 1 : 0
	const waitMs = FETCH_TIMEOUT_MS * 2 ** Math.min(tries, MAX_DOUBLINGS)
	held.fetching = { from, until: now + waitMs, retries: tries }
	return [sendTo(from, { type: 'fetch', topic, have: held.revision })]
}

/** A fetch that was not answered goes to a neighbour or a random member. */
export function retryFetch(
	node: GossipNode,
	topic: Topic,
	now: number,
	random: Random,
): GossipEffect[] {
	const held = node.topics[topic]
	if (held.highestSeen <= held.revision) return []
	if (!held.fetching || now < held.fetching.until) return []
	const names =
		random() < 0.5 ? node.neighbours : node.members.map(member => member.name)
	const name = names[randomIndex(random, names.length)]
	if (name === undefined || name === node.self) return []
	return startFetch(node, topic, name, now)
}

/** What a process that has revision `have` is sent. */
export function answerFetch(
	node: GossipNode,
	topic: Topic,
	have: number,
): GossipMessage {
	const { revision, text, patches } = node.topics[topic]
	const start = patches.findIndex(step => step.from === have)
	if (start < 0) {
		const { lastValid: good } = node.topics[topic]
		return { type: 'value', topic, revision, text, ...(good && { good }) }
	}
	const steps = patches.slice(start).map(step => step.patch)
	return { type: 'patches', topic, revision, base: have, patches: steps }
}

/** Takes patches; asks for the whole where they do not fit. */
export function applyPatches(
	node: GossipNode,
	from: string,
	message: Extract<GossipMessage, { type: 'patches' }>,
): GossipEffect[] {
	const { topic, revision, base, patches } = message
	const held = node.topics[topic]
	if (revision <= held.revision) return []
	const whole: GossipMessage = { type: 'fetch', topic, have: -1 }
	if (held.revision !== base) return [sendTo(from, whole)]
	let text: string | undefined = held.text
	for (const patch of patches)
		text = text === undefined ? undefined : applyPatch(text, patch)
	// A base that does not fit: ask for the whole.
	if (text === undefined) return [sendTo(from, whole)]
	return storeValue(node, topic, revision, text, from)
}

/** Takes a whole value. */
export function applyFullValue(
	node: GossipNode,
	from: string,
	message: Extract<GossipMessage, { type: 'value' }>,
): GossipEffect[] {
	const { topic, revision, text, good } = message
	const effects: GossipEffect[] = good ? [{ do: 'adopt', topic, ...good }] : []
	return [...effects, ...storeValue(node, topic, revision, text, from)]
}

/** A message to another process, as an effect. */
export function sendTo(to: string, message: GossipMessage): GossipEffect {
	return { do: 'send', to, message }
}
