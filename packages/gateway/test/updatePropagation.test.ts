/**
 * Tests how long an update takes to reach all entries, and how many bytes it costs, in
 * virtual time: the production merge, outbox and topology, over links with latency.
 */

import type { Random, ServerUpdate, SharedState } from '@juniperhook/core'
import {
	createRandom,
	createSharedState,
	mergeServerUpdates,
	randomIndex,
} from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseLinks } from '../src/index.ts'
import type { Outbox } from '../src/outbox.ts'
import { drainOutbox, enqueueUpdates } from '../src/outbox.ts'

/** Interval at which entries send their outboxes, ms. */
const TICK_MS = 50
/** One-way latency of a link, ms: within a data centre, and between regions. */
const LATENCY_MS = [1, 80] as const
const SEEDS = 5

interface Entry {
	readonly sharedState: SharedState
	readonly outbox: Outbox
	/** Linked entries, whichever side opened the link. */
	readonly links: number[]
	/** Offset of its ticks within the interval, ms. */
	readonly phaseMs: number
}

interface Propagation {
	/** Time from the first entry's update to the last entry that gets it, ms. */
	readonly tookMs: number
	/** Average number of bytes sent per entry. */
	readonly bytesEach: number
}

function createEntries(count: number, random: Random): Entry[] {
	const addresses = Array.from(
		{ length: count },
		(_, at) => `10.${at % 5}.0.${at}:8229`,
	)
	const indexOf = new Map(addresses.map((address, at) => [address, at]))
	const entries = addresses.map(
		(): Entry => ({
			sharedState: createSharedState(),
			outbox: new Map(),
			links: [],
			phaseMs: random() * TICK_MS,
		}),
	)
	for (const [at, own] of addresses.entries())
		for (const other of chooseLinks(own, addresses)) {
			const to = indexOf.get(other)!
			if (!entries[at]!.links.includes(to)) entries[at]!.links.push(to)
			if (!entries[to]!.links.includes(at)) entries[to]!.links.push(at)
		}
	return entries
}

/** Gives an update to one entry and simulates its propagation. */
function propagate(
	entries: readonly Entry[],
	update: ServerUpdate,
	random: Random,
): Propagation {
	// Messages in flight, by the time of their arrival in ms.
	const inFlight = new Map<number, { to: number; updates: ServerUpdate[] }[]>()
	let bytes = 0
	let lastAt = 0
	let reached = 0
	const receive = (
		to: number,
		updates: readonly ServerUpdate[],
		now: number,
	) => {
		const { sharedState, outbox, phaseMs } = entries[to]!
		const changes = mergeServerUpdates(sharedState, updates, now)
		if (changes.length === 0) return
		reached++
		lastAt = now
		enqueueUpdates(outbox, changes)
		const ticksIn = (TICK_MS + phaseMs - (now % TICK_MS)) % TICK_MS
		send(to, now + ticksIn)
	}
	const send = (from: number, now: number) => {
		const { outbox, links } = entries[from]!
		const updates = drainOutbox(outbox)
		const [minMs, maxMs] = LATENCY_MS
		for (const to of links) {
			bytes += JSON.stringify(updates).length
			const at = Math.ceil(now + minMs + random() * (maxMs - minMs))
			const due = inFlight.get(at) ?? []
			inFlight.set(at, due)
			due.push({ to, updates })
		}
	}
	receive(randomIndex(random, entries.length), [update], 0)
	for (let now = 0; inFlight.size > 0; now++) {
		for (const { to, updates } of inFlight.get(now) ?? [])
			receive(to, updates, now)
		inFlight.delete(now)
	}
	assert.is(reached, entries.length, 'all entries are reached')
	return { tookMs: lastAt, bytesEach: bytes / entries.length }
}

const UPDATES: readonly { name: string; update: ServerUpdate }[] = [
	{
		name: 'a limit',
		update: { kind: 'limit', server: 'a', perSecond: 1, at: 0 },
	},
	{ name: 'a departure', update: { kind: 'left', server: 'a' } },
	{
		name: 'a crash',
		update: { kind: 'end', server: 'a', at: 0, ran: new Map([['x', 40]]) },
	},
]
/** Fleet sizes, with the bound on the time until all entries are reached, ms. */
const SIZES = [
	{ entries: 3, maxMs: 300 },
	{ entries: 36, maxMs: 500 },
	{ entries: 330, maxMs: 1_000 },
]

for (const { entries: count, maxMs } of SIZES)
	for (const { name, update } of UPDATES)
		test(`updates: ${name} reaches ${count} entries within ${maxMs} ms`, () => {
			const results: Propagation[] = []
			for (let seed = 1; seed <= SEEDS; seed++) {
				const random = createRandom(seed)
				const entries = createEntries(count, random)
				results.push(propagate(entries, update, random))
			}
			const longest = Math.max(...results.map(({ tookMs }) => tookMs))
			const bytes = Math.max(...results.map(({ bytesEach }) => bytesEach))
			if (process.env.SHOW)
				console.log(count, name, Math.round(longest), Math.round(bytes))
			assert.ok(longest <= maxMs, `${longest} ms`)
		})

test.run()
