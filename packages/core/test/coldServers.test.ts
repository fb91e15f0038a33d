/**
 * Cold servers: their state by statement and age, and a model of entries that start, are
 * cut off or suspended while a server is cold, which counts what arrives in each second.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ColdServers, Random } from '../src/index.ts'
import {
	applyStatedColdMs,
	coldShareOf,
	countSharers,
	createEntryPeak,
	createRandom,
	createRecentStarts,
	extendColdPeriod,
	listedColdMs,
	listStartsDueMs,
	MAX_COLD_MS,
	pruneColdServers,
	randomIndex,
	recordStart,
	recordTurn,
	startsLeft,
	warmthOf,
} from '../src/index.ts'

const COLD = { forMs: 3_000, perSecond: 26 }

interface PeriodCase {
	readonly name: string
	readonly play: (servers: ColdServers) => void
	readonly now: number
	readonly kind: 'warm' | 'cold'
}
const stated = (leftMs: number, sentAt: number) => ({ leftMs, sentAt })
const CASES: readonly PeriodCase[] = [
	{ name: 'unknown', play: () => {}, now: 0, kind: 'warm' },
	{
		name: 'in its period',
		play: servers => extendColdPeriod(servers, 's', 1_000, 0),
		now: 999,
		kind: 'cold',
	},
	{
		name: 'after its period',
		play: servers => extendColdPeriod(servers, 's', 1_000, 0),
		now: 1_000,
		kind: 'warm',
	},
	{
		name: 'with a shorter statement later',
		play: servers => {
			extendColdPeriod(servers, 's', 5_000, 0)
			extendColdPeriod(servers, 's', 1_000, 500)
		},
		now: 2_000,
		kind: 'cold',
	},
	{
		name: 'cold again',
		play: servers => {
			extendColdPeriod(servers, 's', 1_000, 0)
			extendColdPeriod(servers, 's', 9_000, 5_000)
		},
		now: 6_000,
		kind: 'cold',
	},
	{
		name: 'that says in an answer to a later request that it is warm',
		play: servers => {
			extendColdPeriod(servers, 's', 5_000, 0)
			applyStatedColdMs(servers, 's', stated(0, 100), 200)
		},
		now: 300,
		kind: 'warm',
	},
	{
		name: 'that says so in an answer to an earlier request',
		play: servers => {
			extendColdPeriod(servers, 's', 5_000, 100)
			applyStatedColdMs(servers, 's', stated(0, 50), 200)
		},
		now: 300,
		kind: 'cold',
	},
	{
		name: 'with a negative time',
		play: servers => applyStatedColdMs(servers, 's', stated(-5, 0), 1),
		now: 2,
		kind: 'warm',
	},
	{
		name: 'with an invalid time',
		play: servers => extendColdPeriod(servers, 's', Number.NaN, 0),
		now: 2,
		kind: 'warm',
	},
	{
		name: 'with an absurd time, at its limit',
		play: servers => extendColdPeriod(servers, 's', 1e300, 0),
		now: MAX_COLD_MS,
		kind: 'warm',
	},
	{
		name: 'whose incarnation has ended',
		play: servers => {
			extendColdPeriod(servers, 's', 5_000, 0)
			pruneColdServers(servers, id => id === 's', 1)
		},
		now: 2,
		kind: 'warm',
	},
]
for (const { name, play, now, kind } of CASES)
	test(`a server ${name} is ${kind}`, () => {
		const servers: ColdServers = new Map()
		play(servers)
		assert.is(warmthOf(servers, 's', COLD, now).kind, kind)
	})

test('a cold server without a published rate bears its full load', () => {
	const servers: ColdServers = new Map()
	extendColdPeriod(servers, 's', 5_000, 0)
	assert.is(warmthOf(servers, 's', undefined, 1).kind, 'warm')
})

const LISTED = [
	{ statedMs: 0, isNew: false, expected: 0 },
	{ statedMs: 0, isNew: true, expected: 3_000 },
	{ statedMs: 9_000, isNew: true, expected: 9_000 },
	{ statedMs: -1, isNew: false, expected: 0 },
	{ statedMs: 1e300, isNew: false, expected: MAX_COLD_MS },
] as const
for (const { statedMs, isNew, expected } of LISTED)
	test(`listed with ${statedMs} ms, ${isNew ? 'new' : 'known'}: ${expected} ms`, () => {
		assert.is(listedColdMs(statedMs, isNew, COLD), expected)
	})

const bound = { perSecond: 26, factor: 1.5, extra: 5 }
const SHARES = [
	{ sharers: 1, isHome: false, expected: 44 },
	{ sharers: 17, isHome: false, expected: 2 },
	{ sharers: 44, isHome: false, expected: 1 },
	{ sharers: 45, isHome: false, expected: 0 },
	{ sharers: 45, isHome: true, expected: 22 },
] as const
for (const { sharers, isHome, expected } of SHARES)
	test(`share of ${sharers}${isHome ? ', permit home' : ''}: ${expected}`, () => {
		const share = coldShareOf({ bound, sharers, isHome: () => isHome })
		assert.is(share, expected)
	})

test('the time until the next request is when the oldest one counts no more', () => {
	const starts = createRecentStarts(0)
	for (const at of [100, 300, 700]) recordStart(starts, 's', at)
	assert.is(startsLeft(starts, 's', 2, 800), 0)
	const [next] = listStartsDueMs(starts, 's', 2, 800)
	assert.is(startsLeft(starts, 's', 2, 800 + next! - 1), 0)
	assert.is(startsLeft(starts, 's', 2, 800 + next!), 1)
})

const STEP_MS = 10
const STEPS = 2_000
const SEEDS = 12
const MAX_ENTRIES = 20

/** What the model varies; mutants change one of them. */
interface Variant {
	/** Returns an entry's share. */
	readonly share: (sharers: number, upMs: number) => number
	/** Time by which an entry sees its requests older than they are, ms. */
	readonly shortenMs: number
}
const REAL: Variant = {
	share: sharers => coldShareOf({ bound, sharers, isHome: () => false }),
	shortenMs: 0,
}

interface ModelEntry {
	readonly startedAt: number
	readonly starts: ReturnType<typeof createRecentStarts>
	readonly peak: ReturnType<typeof createEntryPeak>
	/** Until when it is suspended, and until when it knows only itself, ms. */
	suspendedUntil: number
	cutUntil: number
}

/** Returns the most requests that arrive at a cold server in any second. */
function playWorst(random: Random, variant: Variant): number {
	const createEntry = (startedAt: number): ModelEntry => ({
		startedAt,
		starts: createRecentStarts(startedAt),
		peak: createEntryPeak(),
		suspendedUntil: 0,
		cutUntil: 0,
	})
	const count = 3 + randomIndex(random, MAX_ENTRIES - 3)
	const entries = Array.from({ length: count }, () => createEntry(-10_000))
	const arrivals: number[] = []
	for (let step = 0; step < STEPS; step++) {
		const now = step * STEP_MS
		// Entries are replaced one after the other, cut off, or suspended.
		if (random() < 0.002) entries[randomIndex(random, count)] = createEntry(now)
		const one = entries[randomIndex(random, count)]!
		if (random() < 0.005) one.cutUntil = now + randomIndex(random, 90_000)
		if (random() < 0.005) one.suspendedUntil = now + randomIndex(random, 3_000)
		for (const entry of entries)
			arrivals.push(...runEntry(entry, count, now, variant))
	}
	let worst = 0
	let from = 0
	for (const [index, at] of arrivals.entries()) {
		while (arrivals[from]! <= at - 1_000) from++
		worst = Math.max(worst, index - from + 1)
	}
	return worst
}

/** Lets an entry send all that it may; returns the times of arrival. */
function runEntry(
	entry: ModelEntry,
	count: number,
	now: number,
	variant: Variant,
): number[] {
	if (now < entry.suspendedUntil) return []
	recordTurn(entry.starts, now)
	const upMs = now - entry.startedAt
	const isCut = now < entry.cutUntil
	const knowledge = {
		known: isCut ? 1 : count,
		hasOthers: true,
		hasPeerState: !isCut,
		upMs,
	}
	const sharers = countSharers(entry.peak, knowledge, now)
	const share = variant.share(sharers, upMs)
	const seenAt = now + variant.shortenMs
	const left = startsLeft(entry.starts, 's', share, seenAt)
	for (let sent = 0; sent < left; sent++) recordStart(entry.starts, 's', now)
	return Array.from({ length: left }, () => now)
}

function worstOf(variant: Variant): number {
	let worst = 0
	for (let seed = 1; seed <= SEEDS; seed++)
		worst = Math.max(worst, playWorst(createRandom(seed), variant))
	return worst
}

const ALLOWED = Math.floor(26 * 1.5 + 5)

test('model: in no second more arrives than the bound', () => {
	const worst = worstOf(REAL)
	assert.ok(worst <= ALLOWED, `${worst} of ${ALLOWED}`)
})

const MUTANTS: { name: string; variant: Variant }[] = [
	{
		name: 'every entry uses the whole bound',
		variant: { ...REAL, share: () => ALLOWED },
	},
	{
		name: 'the window is half a second',
		variant: { ...REAL, shortenMs: 700 },
	},
	{
		name: 'an entry in its first second uses the whole bound',
		variant: {
			...REAL,
			share: (sharers, upMs) =>
				upMs < 1_000 ? ALLOWED : REAL.share(sharers, upMs),
		},
	},
]
for (const { name, variant } of MUTANTS)
	test(`mutant: ${name}, and the bound is exceeded`, () => {
		assert.ok(worstOf(variant) > ALLOWED)
	})

test('requests decided on before a pause count as sent after it', () => {
	const starts = createRecentStarts(0)
	recordStart(starts, 's', 0)
	recordTurn(starts, 5_000)
	assert.is(startsLeft(starts, 's', 1, 5_000), 0)
	assert.is(startsLeft(starts, 's', 1, 6_200), 1)
})

test.run()
