/**
 * Transfer of published values between processes: on a notice of a newer revision, a
 * node fetches it, as patches where possible, and notifies its neighbours in turn.
 */

import type {
	GossipEffect,
	GossipMessage,
	GossipNode,
	Random,
} from '../internal.ts'
import { applyPatch, makePatch, randomIndex } from '../internal.ts'

/** Topics of the values that the platform publishes. */
export const TOPICS = ['config', 'vms'] as const
/** See {@link TOPICS}. */
export type Topic = (typeof TOPICS)[number]

/** Number of recent patches retained for other nodes. */
const MAX_PATCHES = 32
/** Timeout of the first fetch, after which another node is tried, ms. */
export const FETCH_TIMEOUT_MS = 1_000
/**
 * The timeout doubles with each retry, at most this many times: the answer may be a whole
 * document in transfer over a slow link, and each retry sends it once more over the same
 * link.
 */
const MAX_BACKOFF_EXPONENT = 4

/** Stores a newer value and notifies the neighbours. */
export function storeValue(
	node: GossipNode,
	topic: Topic,
	revision: number,
	text: string,
	from: string,
): GossipEffect[] {
	const state = node.topics[topic]
	// Never go back to a lower revision, whatever its source.
	if (revision <= state.revision) return []
	if (state.revision > 0) {
		const patch = makePatch(state.text, text)
		state.patches.push({ from: state.revision, to: revision, patch })
		if (state.patches.length > MAX_PATCHES) state.patches.shift()
	}
	state.revision = revision
	state.text = text
	state.highestSeen = Math.max(state.highestSeen, revision)
	state.fetching = undefined
	const notices = node.neighbours
		.filter(name => name !== from)
		.map(name => sendTo(name, { type: 'notice', topic, revision }))
	return [{ do: 'adopt', topic, revision, text }, ...notices]
}

/** Handles the announcement of a revision by `from`; fetches it if it is newer. */
export function handleRevisionNotice(
	node: GossipNode,
	topic: Topic,
	revision: number,
	from: string,
	now: number,
): GossipEffect[] {
	const state = node.topics[topic]
	if (revision <= state.revision) return []
	state.highestSeen = Math.max(state.highestSeen, revision)
	if (state.fetching && now < state.fetching.until) return []
	return startFetch(node, topic, from, now)
}

function startFetch(
	node: GossipNode,
	topic: Topic,
	from: string,
	now: number,
): GossipEffect[] {
	const state = node.topics[topic]
	const retries = state.fetching ? state.fetching.retries + 1 : 0
	const waitMs = FETCH_TIMEOUT_MS * 2 ** Math.min(retries, MAX_BACKOFF_EXPONENT)
	state.fetching = { from, until: now + waitMs, retries }
	return [sendTo(from, { type: 'fetch', topic, have: state.revision })]
}

/** Retries a fetch that has timed out, at a neighbour or a random member. */
export function retryFetch(
	node: GossipNode,
	topic: Topic,
	now: number,
	random: Random,
): GossipEffect[] {
	const state = node.topics[topic]
	if (state.highestSeen <= state.revision) return []
	if (!state.fetching || now < state.fetching.until) return []
	const names =
		random() < 0.5 ? node.neighbours : node.members.map(member => member.name)
	const name = names[randomIndex(random, names.length)]
	if (name === undefined || name === node.self) return []
	return startFetch(node, topic, name, now)
}

/** Returns the message that updates a process from revision `have`. */
export function answerFetch(
	node: GossipNode,
	topic: Topic,
	have: number,
): GossipMessage {
	const { revision, text, patches } = node.topics[topic]
	const start = patches.findIndex(step => step.from === have)
	if (start < 0) {
		const { lastValid } = node.topics[topic]
		return {
			type: 'value',
			topic,
			revision,
			text,
			...(lastValid && { good: lastValid }),
		}
	}
	const steps = patches.slice(start).map(step => step.patch)
	return { type: 'patches', topic, revision, base: have, patches: steps }
}

/** Applies patches; fetches the full value if their base does not match. */
export function applyPatches(
	node: GossipNode,
	from: string,
	message: Extract<GossipMessage, { type: 'patches' }>,
): GossipEffect[] {
	const { topic, revision, base, patches } = message
	const state = node.topics[topic]
	if (revision <= state.revision) return []
	const fetchFull: GossipMessage = { type: 'fetch', topic, have: -1 }
	if (state.revision !== base) return [sendTo(from, fetchFull)]
	let text: string | undefined = state.text
	for (const patch of patches)
		text = text === undefined ? undefined : applyPatch(text, patch)
	// The revision matches but the text does not.
	if (text === undefined) return [sendTo(from, fetchFull)]
	return storeValue(node, topic, revision, text, from)
}

/** Applies a full value. */
export function applyFullValue(
	node: GossipNode,
	from: string,
	message: Extract<GossipMessage, { type: 'value' }>,
): GossipEffect[] {
	const { topic, revision, text, good } = message
	const effects: GossipEffect[] = good ? [{ do: 'adopt', topic, ...good }] : []
	return [...effects, ...storeValue(node, topic, revision, text, from)]
}

/** Returns the effect that sends a message to another process. */
export function sendTo(to: string, message: GossipMessage): GossipEffect {
	return { do: 'send', to, message }
}
