/**
 * News of servers between entries: whatever the order in which they come, doubled, lost
 * until a link comes up again, late, with entries that start anew, all end up knowing what
 * one entry knows that heard everything.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Random, ServerUpdate, SharedState } from '../src/index.ts'
import {
	createRandom,
	createSharedState,
	listQuarantined,
	listServerUpdates,
	mergeServerUpdates,
	randomIndex,
	rateLimitOf,
	updateKeyOf,
} from '../src/index.ts'

const HISTORIES = 300
const ENTRIES = 4
const STEPS = 120
const SERVERS = ['a', 'b', 'c']
const REQUESTS = ['x', 'y']
const MAX_LEFT = 512
/** Messages after which news that still go round never settle. */
const MAX_MESSAGES = 2_000

/** How entries merge; a mutant merges otherwise. */
type Merge = (
	book: SharedState,
	news: readonly ServerUpdate[],
	now: number,
) => ServerUpdate[]

interface Message {
	readonly to: number
	readonly news: readonly ServerUpdate[]
}

interface Net {
	readonly books: SharedState[]
	/** Heard everything, in the order in which it happened. */
	readonly witness: SharedState
	/** What each entry has still to tell, the last news of each subject. */
	readonly outboxes: Map<string, ServerUpdate>[]
	/** What is under way; any of it may come next. */
	underWay: Message[]
	readonly merge: Merge
	readonly random: Random
}

function drawNews(random: Random, at: number): ServerUpdate {
	const server = SERVERS[randomIndex(random, SERVERS.length)]!
	const fingerprint = REQUESTS[randomIndex(random, REQUESTS.length)]!
	switch (randomIndex(random, 5)) {
		case 0: {
			const perSecond = [undefined, 1, 2][randomIndex(random, 3)]
			return { kind: 'limit', server, perSecond, at }
		}
		case 1:
			return { kind: 'left', server: `${server}@${at}` }
		case 2: {
			const ran = new Map([[fingerprint, 40]])
			// Several entries tell of one end, each what it ran for it.
			const endedAt = at - (at % 10_000)
			return { kind: 'end', server: `${server}@${endedAt}`, at: endedAt, ran }
		}
		case 3:
			return { kind: 'served', fingerprint, at }
		default: {
			const entry = String(randomIndex(random, ENTRIES))
			const endsAt = at + 100_000 + randomIndex(random, 50_000)
			return { kind: 'rest', server, entry, endsAt }
		}
	}
}

/** One entry takes news and tells the others what of it was new to it. */
function take(
	net: Net,
	entry: number,
	news: readonly ServerUpdate[],
	at: number,
) {
	const fresh = net.merge(net.books[entry]!, news, at)
	for (const one of fresh) net.outboxes[entry]!.set(updateKeyOf(one), one)
}

function tellOthers(net: Net, entry: number): void {
	const outbox = net.outboxes[entry]!
	if (outbox.size === 0) return
	const news = [...outbox.values()]
	outbox.clear()
	for (let to = 0; to < ENTRIES; to++)
		if (to !== entry) net.underWay.push({ to, news })
}

function deliver(net: Net, at: number): void {
	const which = randomIndex(net.random, net.underWay.length)
	const message = net.underWay[which]
	if (!message) return
	const isDoubled = net.random() < 0.1
	if (!isDoubled) net.underWay.splice(which, 1)
	take(net, message.to, message.news, at)
}

/** A link comes up: both ends tell all that they know. */
function link(net: Net, at: number): void {
	const [one, other] = [0, 0].map(() => randomIndex(net.random, ENTRIES))
	take(net, one!, listServerUpdates(net.books[other!]!, MAX_LEFT), at)
	take(net, other!, listServerUpdates(net.books[one!]!, MAX_LEFT), at)
}

/** Whether an entry would make news of it: who knows no limit sees no end of one. */
function isHeard(book: SharedState, news: ServerUpdate): boolean {
	switch (news.kind) {
		case 'limit':
			return (
				news.perSecond !== undefined ||
				rateLimitOf(book.rateLimits, news.server) !== undefined
			)
		case 'served':
			return book.quarantine.suspects.has(news.fingerprint)
		default:
			return true
	}
}

function step(net: Net, at: number): void {
	const dice = net.random()
	const entry = randomIndex(net.random, ENTRIES)
	if (dice < 0.3) {
		const news = drawNews(net.random, at)
		if (!isHeard(net.books[entry]!, news)) return
		mergeServerUpdates(net.witness, [news], at)
		take(net, entry, [news], at)
	} else if (dice < 0.5) tellOthers(net, entry)
	else if (dice < 0.85) deliver(net, at)
	else if (dice < 0.9) {
		// A cut: what was under way to an entry is lost until a link comes up.
		net.underWay = net.underWay.filter(({ to }) => to !== entry)
	} else if (dice < 0.95) link(net, at)
	else restart(net, entry, at)
}

/** An entry starts anew once another one knows all that it knew. */
function restart(net: Net, entry: number, at: number): void {
	const other = (entry + 1) % ENTRIES
	take(net, other, listServerUpdates(net.books[entry]!, MAX_LEFT), at)
	net.books[entry] = createSharedState()
	net.outboxes[entry]!.clear()
	take(net, entry, listServerUpdates(net.books[other]!, MAX_LEFT), at)
}

/** What is believed, to be compared; a rest that is over is nobody's concern. */
function beliefsOf(book: SharedState, now: number): unknown {
	return {
		limits: SERVERS.map(one => rateLimitOf(book.rateLimits, one) ?? 'none'),
		left: [...book.departed].sort(),
		ends: [...book.quarantine.crashes.values()]
			.map(({ server, ran }) => `${server} ${[...ran.keys()].sort()}`)
			.sort(),
		rests: [...book.backoffs.values()]
			.filter(({ endsAt }) => endsAt > now)
			.map(one => `${one.entry} ${one.server} ${one.endsAt}`)
			.sort(),
	}
}

/** Tells all that is to be told; gives how many messages are under way. */
function tellAll(net: Net): number {
	for (let entry = 0; entry < ENTRIES; entry++) tellOthers(net, entry)
	return net.underWay.length
}

/** Whether all entries believe in the end what the witness does. */
function endsAlike(seed: number, merge: Merge): boolean {
	const net: Net = {
		books: Array.from({ length: ENTRIES }, () => createSharedState()),
		witness: createSharedState(),
		outboxes: Array.from({ length: ENTRIES }, () => new Map()),
		underWay: [],
		merge,
		random: createRandom(seed),
	}
	for (let at = 1; at <= STEPS; at++) step(net, at * 1_000)
	const end = (STEPS + 1) * 1_000
	for (let round = 0; round < ENTRIES * 2; round++) {
		for (let told = 0; tellAll(net) > 0; told++) {
			if (told > MAX_MESSAGES) return false
			const { to, news } = net.underWay.shift()!
			take(net, to, news, end)
		}
		for (let one = 0; one < ENTRIES; one++) {
			const next = (one + 1) % ENTRIES
			take(net, next, listServerUpdates(net.books[one]!, MAX_LEFT), end)
		}
	}
	const expected = JSON.stringify(beliefsOf(net.witness, end))
	const isAlike = net.books.every(
		book => JSON.stringify(beliefsOf(book, end)) === expected,
	)
	// Which answers speak for a request depends on when it was suspected, and so on who
	// heard what first: entries agree among themselves.
	const verdicts = net.books.map(book =>
		listQuarantined(book.quarantine).sort(),
	)
	return isAlike && new Set(verdicts.map(String)).size === 1
}

test('news: drawn histories end in the same beliefs everywhere', () => {
	const odd: number[] = []
	for (let seed = 0; seed < HISTORIES; seed++)
		if (!endsAlike(seed, mergeServerUpdates)) odd.push(seed)
	assert.equal(odd, [])
})

/** Merges one kind of news otherwise. */
function mutate(
	change: (book: SharedState, news: ServerUpdate) => boolean,
): Merge {
	return (book, news, now) =>
		news.flatMap(one =>
			change(book, one) ? [one] : mergeServerUpdates(book, [one], now),
		)
}

const MUTANTS: readonly { readonly name: string; readonly merge: Merge }[] = [
	{
		name: 'the last limit that comes holds, not the newest',
		merge: mutate((book, news) => {
			if (news.kind !== 'limit') return false
			const known = book.rateLimits.get(news.server)
			if (known?.perSecond === news.perSecond && known?.at === news.at)
				return false
			const { perSecond, at } = news
			book.rateLimits.set(news.server, { perSecond, at, since: at })
			return known?.perSecond !== perSecond
		}),
	},
	{
		name: 'the end of a limit is forgotten at once',
		merge: (book, news, now) => {
			const fresh = mergeServerUpdates(book, news, now)
			for (const [server, { perSecond }] of book.rateLimits)
				if (perSecond === undefined) book.rateLimits.delete(server)
			return fresh
		},
	},
	{
		name: 'a leaving is taken back',
		merge: mutate((book, news) => {
			if (news.kind === 'limit' && news.perSecond === undefined)
				book.departed.clear()
			return false
		}),
	},
	{
		name: 'the last rest that comes holds, not the longest',
		merge: mutate((book, news) => {
			if (news.kind !== 'rest') return false
			const key = `${news.entry} ${news.server}`
			const isSame = book.backoffs.get(key)?.endsAt === news.endsAt
			book.backoffs.set(key, news)
			return !isSame && news.endsAt % 2 === 0
		}),
	},
	{
		name: 'what is news is not passed on, and ends are not told on links',
		merge: (book, news, now) => {
			mergeServerUpdates(
				book,
				news.length > 1 ? news.filter(one => one.kind !== 'end') : news,
				now,
			)
			return []
		},
	},
]
for (const { name, merge } of MUTANTS)
	test(`news: histories show it when ${name}`, () => {
		let odd = 0
		for (let seed = 0; seed < HISTORIES; seed++)
			if (!endsAlike(seed, merge)) odd++
		assert.ok(odd > 0, 'no history shows it')
	})

// Who ran beside a deadly request was refused: half of what was known of an end was told.
test('news: of an end all that entries ran is told on', () => {
	const book = createSharedState()
	const endOf = (fingerprint: string) =>
		({
			kind: 'end',
			server: 'a',
			at: 5,
			ran: new Map([[fingerprint, 40]]),
		}) as const
	mergeServerUpdates(book, [endOf('x')], 10)
	const [fresh] = mergeServerUpdates(book, [endOf('y')], 10)
	assert.equal([...(fresh?.ran.keys() ?? [])].sort(), ['x', 'y'])
})

test.run()
