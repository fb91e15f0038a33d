/**
 * How long news of servers take until all entries know, and how many bytes they cost, in
 * virtual time: the real merge, outbox and choice of links, over links that take time.
 */

import type { NewsBook, Random, ServerNews } from '@juniperhook/core'
import {
	createNewsBook,
	createRandom,
	drawIndex,
	takeServerNews,
} from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseLinks } from '../src/index.ts'
import type { Outbox } from '../src/outbox.ts'
import { drainOutbox, enqueueUpdates } from '../src/outbox.ts'

/** Entries look for what is new so often, ms. */
const LOOK_MS = 50
/** One way over a link: within a data centre, and between regions, ms. */
const WAY_MS = [1, 80] as const
const SEEDS = 5

interface Entry {
	readonly book: NewsBook
	readonly outbox: Outbox
	/** Entries that it has a link with, whoever opened it. */
	readonly links: number[]
	/** When it looks for what is new, ms after each full period. */
	readonly phaseMs: number
}

interface Spread {
	/** From the word to the last entry that hears of it, ms. */
	readonly tookMs: number
	/** Bytes that an entry sends, on average. */
	readonly bytesEach: number
}

function createEntries(count: number, random: Random): Entry[] {
	const addresses = Array.from(
		{ length: count },
		(_, at) => `10.${at % 5}.0.${at}:8229`,
	)
	const placeOf = new Map(addresses.map((address, at) => [address, at]))
	const entries = addresses.map(
		(): Entry => ({
			book: createNewsBook(),
			outbox: new Map(),
			links: [],
			phaseMs: random() * LOOK_MS,
		}),
	)
	for (const [at, own] of addresses.entries())
		for (const other of chooseLinks(own, addresses)) {
			const to = placeOf.get(other)!
			if (!entries[at]!.links.includes(to)) entries[at]!.links.push(to)
			if (!entries[to]!.links.includes(at)) entries[to]!.links.push(at)
		}
	return entries
}

/** Lets one entry hear a word of a server and gives how it spreads. */
function spread(
	entries: readonly Entry[],
	news: ServerNews,
	random: Random,
): Spread {
	// By the ms in which messages come.
	const underWay = new Map<number, { to: number; news: ServerNews[] }[]>()
	let bytes = 0
	let lastAt = 0
	let known = 0
	const take = (to: number, told: readonly ServerNews[], now: number) => {
		const { book, outbox, phaseMs } = entries[to]!
		const fresh = takeServerNews(book, told, now)
		if (fresh.length === 0) return
		known++
		lastAt = now
		enqueueUpdates(outbox, fresh)
		const looksIn = (LOOK_MS + phaseMs - (now % LOOK_MS)) % LOOK_MS
		tell(to, now + looksIn)
	}
	const tell = (from: number, now: number) => {
		const { outbox, links } = entries[from]!
		const told = drainOutbox(outbox)
		const [least, most] = WAY_MS
		for (const to of links) {
			bytes += JSON.stringify(told).length
			const at = Math.ceil(now + least + random() * (most - least))
			const due = underWay.get(at) ?? []
			underWay.set(at, due)
			due.push({ to, news: told })
		}
	}
	take(drawIndex(random, entries.length), [news], 0)
	for (let now = 0; underWay.size > 0; now++) {
		for (const { to, news: told } of underWay.get(now) ?? [])
			take(to, told, now)
		underWay.delete(now)
	}
	assert.is(known, entries.length, 'all know')
	return { tookMs: lastAt, bytesEach: bytes / entries.length }
}

const NEWS: readonly { name: string; news: ServerNews }[] = [
	{
		name: 'a limit',
		news: { kind: 'limit', server: 'a', perSecond: 1, at: 0 },
	},
	{ name: 'a leaving', news: { kind: 'left', server: 'a' } },
	{
		name: 'an end',
		news: { kind: 'end', server: 'a', at: 0, ran: new Map([['x', 40]]) },
	},
]
/** Until all know, ms. */
const SIZES = [
	{ entries: 3, mostMs: 300 },
	{ entries: 36, mostMs: 500 },
	{ entries: 330, mostMs: 1_000 },
]

for (const { entries: count, mostMs } of SIZES)
	for (const { name, news } of NEWS)
		test(`news: ${name} is known to ${count} entries within ${mostMs} ms`, () => {
			const spreads: Spread[] = []
			for (let seed = 1; seed <= SEEDS; seed++) {
				const random = createRandom(seed)
				const entries = createEntries(count, random)
				spreads.push(spread(entries, news, random))
			}
			const longest = Math.max(...spreads.map(({ tookMs }) => tookMs))
			const bytes = Math.max(...spreads.map(({ bytesEach }) => bytesEach))
			if (process.env.SHOW)
				console.log(count, name, Math.round(longest), Math.round(bytes))
			assert.ok(longest <= mostMs, `${longest} ms`)
		})

test.run()
