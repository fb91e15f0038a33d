/**
 * How a process takes published values from others: it hears of a newer revision,
 * fetches what it lacks, as patches where that will do, and gives notice in turn.
 */

import type {
	Random,
	SpreadEffect,
	SpreadMessage,
	SpreadNode,
} from '../internal.ts'
import { applyPatch, drawIndex, makePatch } from '../internal.ts'

/** Values that the platform publishes. */
export const TOPICS = ['config', 'vms'] as const
/** See {@link TOPICS}. */
export type Topic = (typeof TOPICS)[number]

/** Patches kept to bring others up to date. */
const KEPT_PATCHES = 32
/** A fetch without answer is tried elsewhere after this, ms. */
export const FETCH_MS = 1_000
/**
 * Each further try waits twice as long, up to 2 to the power of this: the answer
 * may be a whole document on its way over a slow link, and each try sends it
 * once more over the same link.
 */
const MAX_DOUBLINGS = 4

/** Holds a newer value, and gives notice of it to neighbours. */
export function hold(
	node: SpreadNode,
	topic: Topic,
	revision: number,
	text: string,
	from: string,
): SpreadEffect[] {
	const held = node.held[topic]
	// Never backwards, whoever says so.
	if (revision <= held.revision) return []
	if (held.revision > 0) {
		const patch = makePatch(held.text, text)
		held.patches.push({ from: held.revision, to: revision, patch })
		if (held.patches.length > KEPT_PATCHES) held.patches.shift()
	}
	held.revision = revision
	held.text = text
	held.heard = Math.max(held.heard, revision)
	held.fetching = undefined
	const notices = node.neighbours
		.filter(name => name !== from)
		.map(name => send(name, { type: 'notice', topic, revision }))
	return [{ do: 'adopt', topic, revision, text }, ...notices]
}

/** Hears that somebody has a revision, and fetches it if it is news. */
export function hear(
	node: SpreadNode,
	topic: Topic,
	revision: number,
	from: string,
	now: number,
): SpreadEffect[] {
	const held = node.held[topic]
	if (revision <= held.revision) return []
	held.heard = Math.max(held.heard, revision)
	if (held.fetching && now < held.fetching.until) return []
	return startFetch(node, topic, from, now)
}

function startFetch(
	node: SpreadNode,
	topic: Topic,
	from: string,
	now: number,
): SpreadEffect[] {
	const held = node.held[topic]
	const tries = held.fetching ? held.fetching.tries + 1 : 0
	const waitMs = FETCH_MS * 2 ** Math.min(tries, MAX_DOUBLINGS)
	held.fetching = { from, until: now + waitMs, tries }
	return [send(from, { type: 'fetch', topic, have: held.revision })]
}

/** A fetch that was not answered goes to a neighbour or a random member. */
export function repeatFetch(
	node: SpreadNode,
	topic: Topic,
	now: number,
	random: Random,
): SpreadEffect[] {
	const held = node.held[topic]
	if (held.heard <= held.revision) return []
	if (!held.fetching || now < held.fetching.until) return []
	const names =
		random() < 0.5 ? node.neighbours : node.members.map(member => member.name)
	const name = names[drawIndex(random, names.length)]
	if (name === undefined || name === node.self) return []
	return startFetch(node, topic, name, now)
}

/** What a process that has revision `have` is sent. */
export function answerFetch(
	node: SpreadNode,
	topic: Topic,
	have: number,
): SpreadMessage {
	const { revision, text, patches } = node.held[topic]
	const start = patches.findIndex(step => step.from === have)
	if (start < 0) {
		const { good } = node.held[topic]
		return { type: 'value', topic, revision, text, ...(good && { good }) }
	}
	const steps = patches.slice(start).map(step => step.patch)
	return { type: 'patches', topic, revision, base: have, patches: steps }
}

/** Takes patches; asks for the whole where they do not fit. */
export function takePatches(
	node: SpreadNode,
	from: string,
	message: Extract<SpreadMessage, { type: 'patches' }>,
): SpreadEffect[] {
	const { topic, revision, base, patches } = message
	const held = node.held[topic]
	if (revision <= held.revision) return []
	const whole: SpreadMessage = { type: 'fetch', topic, have: -1 }
	if (held.revision !== base) return [send(from, whole)]
	let text: string | undefined = held.text
	for (const patch of patches)
		text = text === undefined ? undefined : applyPatch(text, patch)
	// A base that does not fit: ask for the whole.
	if (text === undefined) return [send(from, whole)]
	return hold(node, topic, revision, text, from)
}

/** Takes a whole value. */
export function takeValue(
	node: SpreadNode,
	from: string,
	message: Extract<SpreadMessage, { type: 'value' }>,
): SpreadEffect[] {
	const { topic, revision, text, good } = message
	const effects: SpreadEffect[] = good ? [{ do: 'adopt', topic, ...good }] : []
	return [...effects, ...hold(node, topic, revision, text, from)]
}

/** A message to another process, as an effect. */
export function send(to: string, message: SpreadMessage): SpreadEffect {
	return { do: 'send', to, message }
}
