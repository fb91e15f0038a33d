/** Tests decisions on slow readers: by cases, and the bounds by random draws. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { HeldBytes } from '../src/index.ts'
import {
	ABANDONED_MS,
	addHolder,
	chooseFurthestBehind,
	createHeldBytes,
	createRandom,
	growHolder,
	heldLimitBytes,
	isKeepingUp,
	isMemoryShort,
	judgeHolder,
	KEEPS_UP_BYTES,
	MAX_PAUSE_MS,
	mustPause,
	pauseHolder,
	RESPONSE_BOUND_BYTES,
	randomIndex,
	removeHolder,
	shrinkHolder,
} from '../src/index.ts'

const MB = 1_048_576

test('the limit of the sum grows with the memory and has a minimum', () => {
	assert.is(heldLimitBytes(0), 4 * MB)
	assert.is(heldLimitBytes(60), 4 * MB)
	assert.is(heldLimitBytes(260), 50 * MB)
})

test('new requests are refused before the memory is full', () => {
	const held = createHeldBytes(1_000)
	const holder = addHolder(held, 'receiving', 0, 0)
	growHolder(held, holder, 749, 0)
	assert.not(isMemoryShort(held))
	growHolder(held, holder, 1, 0)
	assert.ok(isMemoryShort(held))
	removeHolder(held, holder)
	assert.is(held.totalBytes, 0)
})

const PAUSES = [
	{ name: 'within the bound', bytes: RESPONSE_BOUND_BYTES, full: false },
	{ name: 'beyond the bound', bytes: RESPONSE_BOUND_BYTES + 1, full: false },
	{ name: 'keeping up, memory full', bytes: KEEPS_UP_BYTES, full: true },
	{ name: 'behind, memory full', bytes: KEEPS_UP_BYTES + 1, full: true },
].map((row, at) => ({ ...row, pauses: at % 2 === 1 }))

for (const { name, bytes, full, pauses } of PAUSES)
	test(`pause of the source: ${name}`, () => {
		const held = createHeldBytes(full ? 1 : MB)
		const holder = addHolder(held, 'relaying', 0, 0)
		growHolder(held, holder, bytes, 0)
		assert.is(mustPause(held, holder), pauses)
	})

const DUE: {
	name: string
	phase: 'paused' | 'delivering' | 'relaying'
	/** Bytes taken by the reader during the pause. */
	taken: number
	at: number
	deadlineAt?: number
	due: string
}[] = [
	{ name: 'short pause', phase: 'paused', taken: 0, at: 500, due: 'keep' },
	{
		name: 'nothing taken during the longest pause',
		phase: 'paused',
		taken: 0,
		at: MAX_PAUSE_MS,
		due: 'stalled',
	},
	{
		name: 'something taken during the longest pause',
		phase: 'paused',
		taken: 1,
		at: MAX_PAUSE_MS,
		due: 'readOn',
	},
	{
		name: 'half of the bound is free again',
		phase: 'paused',
		taken: RESPONSE_BOUND_BYTES / 2,
		at: 1,
		due: 'readOn',
	},
	{
		name: 'a reader within the bound whose source is read',
		phase: 'relaying',
		taken: 0,
		at: 10 * ABANDONED_MS,
		due: 'keep',
	},
	{
		name: 'a complete answer before its deadline',
		phase: 'delivering',
		taken: 0,
		at: ABANDONED_MS,
		deadlineAt: ABANDONED_MS + 1,
		due: 'keep',
	},
	{
		name: 'a complete answer of which nothing is taken',
		phase: 'delivering',
		taken: 0,
		at: ABANDONED_MS,
		due: 'abandoned',
	},
]

for (const { name, phase, taken, at, deadlineAt = 0, due } of DUE)
	test(`what is due: ${name}`, () => {
		const held = createHeldBytes(MB)
		const holder = addHolder(held, 'relaying', deadlineAt, 0)
		growHolder(held, holder, RESPONSE_BOUND_BYTES, 0)
		if (phase === 'paused') pauseHolder(holder, 0)
		else holder.phase = phase
		if (taken > 0) shrinkHolder(held, holder, taken, at)
		const decision = judgeHolder(held, holder, at)
		assert.is(decision.kind === 'end' ? decision.reason : decision.kind, due)
	})

type Chooser = typeof chooseFurthestBehind

/** What went wrong in a run by random draws; undefined if nothing did. */
type Violation = string | undefined

const CHUNK_BYTES = 65_536
const LIMIT_BYTES = 2 * MB
const STEP_MS = 10

/**
 * Plays readers of random speed, some of which stop, at random moments; the sum must
 * exceed the limit only by what readers that keep up take, and none of these is ended.
 */
function playReaders(seed: number, choose: Chooser): Violation {
	const random = createRandom(seed)
	const held = createHeldBytes(LIMIT_BYTES)
	const readers = Array.from({ length: 40 + randomIndex(random, 160) }, () => ({
		holder: addHolder(held, 'relaying', 0, 0),
		speed: random() < 0.5 ? 0 : randomIndex(random, 200_000),
	}))
	for (let now = 0; now < 4_000; now += STEP_MS) {
		for (const { holder, speed } of readers) {
			const taken = Math.min(holder.bytes, random() < 0.3 ? speed : 0)
			if (taken > 0) shrinkHolder(held, holder, taken, now)
			if (random() < 0.2) {
				if (holder.phase === 'relaying')
					growHolder(held, holder, 1 + randomIndex(random, CHUNK_BYTES), now)
				if (mustPause(held, holder)) pauseHolder(holder, now)
			}
			const violation = relieve(held, now, choose)
			if (violation) return violation
			const due = judgeHolder(held, holder, now)
			if (due.kind === 'readOn') holder.phase = 'relaying'
			if (due.kind === 'end') removeHolder(held, holder)
		}
		const sum = [...held.holders].reduce((all, { bytes }) => all + bytes, 0)
		if (sum !== held.totalBytes) return 'the sum differs from its parts'
		const hasIdle = [...held.holders].some(holder => !isKeepingUp(holder, now))
		if (sum > LIMIT_BYTES && hasIdle)
			return 'over the limit with a reader that does not keep up'
		if (sum > LIMIT_BYTES + readers.length * CHUNK_BYTES)
			return 'far over the limit'
	}
	return undefined
}

function relieve(held: HeldBytes, now: number, choose: Chooser): Violation {
	for (;;) {
		const victim = choose(held, now)
		if (!victim) return undefined
		if (isKeepingUp(victim, now)) return 'a reader that keeps up was ended'
		for (const other of held.holders)
			if (other.bytes > victim.bytes && !isKeepingUp(other, now))
				return 'another reader was further behind'
		removeHolder(held, victim)
	}
}

const SEEDS = 40
const seeds = Array.from({ length: SEEDS }, (_, at) => at + 1)

test('random draws: the sum is bounded, and readers that keep up are not ended', () => {
	for (const seed of seeds)
		assert.is(
			playReaders(seed, chooseFurthestBehind),
			undefined,
			`seed ${seed}`,
		)
})

const MUTANTS: { name: string; choose: Chooser; violation: string }[] = [
	{
		name: 'ends nobody',
		choose: () => undefined,
		violation: 'over the limit with a reader that does not keep up',
	},
	{
		name: 'ends readers that keep up',
		choose: held =>
			held.totalBytes > held.limitBytes
				? [...held.holders].sort((a, b) => b.bytes - a.bytes)[0]
				: undefined,
		violation: 'a reader that keeps up was ended',
	},
	{
		name: 'ends the least far behind',
		choose: (held, now) =>
			held.totalBytes > held.limitBytes
				? [...held.holders]
						.filter(holder => !isKeepingUp(holder, now))
						.sort((a, b) => a.bytes - b.bytes)[0]
				: undefined,
		violation: 'another reader was further behind',
	},
]

for (const { name, choose, violation } of MUTANTS)
	test(`random draws: a variant that ${name} is detected`, () => {
		const found = seeds.map(seed => playReaders(seed, choose))
		assert.ok(found.includes(violation), String(new Set(found)))
	})

test.run()
