/**
 * Entries that tell each other of servers that ended, in virtual time: news that come
 * late or are lost until their link is made anew, and entries that start again.
 */

import type { CrashEvidence, Quarantine, Random } from '../../src/index.ts'
import {
	createQuarantine,
	createRandom,
	listCrashEvidence,
	mergeCrashEvidence,
	quarantineLeftMs,
} from '../../src/index.ts'

const DEADLY = 'deadly'
/** From the beginning of a run to the end of its server, ms. */
const LEAST_RUN_MS = 20
const MOST_RUN_MS = 2_000
/** Until entries tell what is new, and for the way, ms. */
const TELL_MS = 50
const WAY_MS = 5
/** Until a link that lost something is made anew and all is told on it, ms. */
const RELINK_MS = 2_000

/** What happens in a run of the model. */
export interface QuarantineStory {
	readonly entries: number
	/** When the request comes to some entry, ms. */
	readonly arrivals: readonly number[]
	/** Part of the news that is lost with its link. */
	readonly lost: number
	/** When an entry starts again without memory, ms. */
	readonly restarts: readonly number[]
	readonly seed: number
}

/** What became of it. */
export interface QuarantineOutcome {
	/** When servers ended, ms. */
	readonly ends: readonly number[]
	/** When the request was sent to a server, ms. */
	readonly sends: readonly number[]
}

interface Net {
	readonly random: Random
	readonly quarantines: Quarantine[]
	readonly sends: number[]
	readonly ends: number[]
	/** What is to happen, soonest last. */
	readonly agenda: { at: number; act(): void }[]
}

/** Plays a story to its end. */
export function playQuarantine(story: QuarantineStory): QuarantineOutcome {
	const net: Net = {
		random: createRandom(story.seed),
		quarantines: Array.from({ length: story.entries }, createQuarantine),
		sends: [],
		ends: [],
		agenda: [],
	}
	const draw = () => Math.floor(net.random() * story.entries)
	for (const at of story.arrivals)
		plan(net, at, () => arrive(net, story, draw(), at))
	for (const at of story.restarts) plan(net, at, () => restart(net, draw(), at))
	for (let next = net.agenda.pop(); next; next = net.agenda.pop()) next.act()
	return { ends: net.ends, sends: net.sends }
}

function plan({ agenda }: Net, at: number, act: () => void): void {
	const before = agenda.findLastIndex(one => one.at > at)
	agenda.splice(before + 1, 0, { at, act })
}

function arrive(
	net: Net,
	story: QuarantineStory,
	entry: number,
	now: number,
): void {
	const { random, quarantines } = net
	if (quarantineLeftMs(quarantines[entry]!, DEADLY, now) > 0) return
	net.sends.push(now)
	const ranMs = LEAST_RUN_MS + random() * (MOST_RUN_MS - LEAST_RUN_MS)
	const at = now + ranMs
	const server = `server-${net.sends.length}`
	plan(net, at, () => {
		// An entry that has learnt of it by then has taken it back.
		if (quarantineLeftMs(quarantines[entry]!, DEADLY, at) > 0) return
		net.ends.push(at)
		const ran = new Map([[DEADLY, ranMs]])
		take(net, story, entry, { ends: [{ server, at, ran }], served: [] }, at)
	})
}

/** What is new to an entry it tells all others. */
function take(
	net: Net,
	story: QuarantineStory,
	entry: number,
	told: CrashEvidence,
	now: number,
): void {
	const news = mergeCrashEvidence(net.quarantines[entry]!, told, now)
	if (news.ends.length === 0) return
	for (let other = 0; other < story.entries; other++) {
		if (other === entry) continue
		const wayMs = TELL_MS + net.random() * WAY_MS
		const isLost = net.random() < story.lost
		const at = now + (isLost ? RELINK_MS : wayMs)
		plan(net, at, () => take(net, story, other, news, at))
	}
}

/** An entry without memory is told all by each other one. */
function restart(net: Net, entry: number, now: number): void {
	const { quarantines } = net
	const fresh = createQuarantine()
	quarantines[entry] = fresh
	for (const other of quarantines) {
		if (other === fresh) continue
		const at = now + RELINK_MS * net.random()
		plan(net, at, () => mergeCrashEvidence(fresh, listCrashEvidence(other), at))
	}
}
