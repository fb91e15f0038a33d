/** Plays patterns of load: refused callers who come back when told are let in. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ReturnPlace } from '../src/index.ts'
import type { BookPlace, Outcome, Pattern } from './returningWorld.ts'
import { playPattern } from './returningWorld.ts'

const ENTRIES = [1, 3, 22]
const MIN_SERVED = 0.95
const MIN_SERVED_AFTER_OUTAGE = 0.9
const MAX_UNUSED = 0.05
/**
 * The same after an outage that ended sooner than callers were told: all slots are empty
 * then, and those callers cannot be told again.
 */
const MAX_UNUSED_AFTER_OUTAGE = 0.4

const quarters = (seconds: number) => Math.round(seconds * 4)
const isAlwaysOpen = () => true

interface Case extends Pattern {
	readonly minServed: number
	readonly maxUnused: number
	/** Share of the refused callers who get a place; 0 where there is none. */
	readonly minReturned: number
}

function createCase(
	name: string,
	load: (seconds: number) => number,
	[from, to]: readonly [number, number],
	minReturned: number,
): Case {
	return {
		name,
		load: at => load(at / 4),
		isOpen: isAlwaysOpen,
		from: quarters(from),
		quarters: quarters(to),
		minServed: MIN_SERVED,
		maxUnused: MAX_UNUSED,
		minReturned,
	}
}

/** Outages of the same length, 20 s apart; the first are those that it learns from. */
function createOutage(seconds: number): Case {
	const isClosed = (at: number) =>
		at >= quarters(10) && (at - quarters(10)) % quarters(20) < quarters(seconds)
	return {
		...createCase(`outage of ${seconds} s`, () => 0.85, [70, 130], 0.1),
		isOpen: at => !isClosed(at),
		minServed: MIN_SERVED_AFTER_OUTAGE,
		maxUnused: MAX_UNUSED_AFTER_OUTAGE,
	}
}

/** A first outage, of another length than what is assumed. */
function createFirstOutage(seconds: number): Case {
	return {
		...createCase(`first outage, ${seconds} s`, () => 0.85, [10, 30], 0.3),
		isOpen: at => at < quarters(10) || at >= quarters(10 + seconds),
		minServed: MIN_SERVED_AFTER_OUTAGE,
		maxUnused: MAX_UNUSED_AFTER_OUTAGE,
	}
}

const createWave = (period: number) =>
	createCase(
		`wave of ${period} s`,
		at => 0.95 + 0.4 * Math.sin((at / period) * 2 * Math.PI),
		[20, 20 + 3 * period],
		0.2,
	)

const PATTERNS: readonly Case[] = [
	createCase('step up', at => (at < 10 ? 0.8 : 1.3), [10, 40], 0.1),
	createCase('step down', at => (at < 20 ? 1.4 : 0.7), [15, 40], 0),
	...[3, 6, 10, 20, 30].map(createWave),
	...[1, 2, 4, 6].map(createOutage),
	...[1, 2, 4].map(createFirstOutage),
	createCase(
		'burst of a second',
		at => (at >= 10 && at < 11 ? 4 : 0.8),
		[10, 20],
		0.3,
	),
]

for (const pattern of PATTERNS)
	for (const entries of ENTRIES)
		test(`${pattern.name}, ${entries} entries: refused callers are let in when they return`, () => {
			const outcome = playPattern(pattern, entries)
			assert.ok(isKept(outcome, pattern), JSON.stringify(outcome))
			const { refused, returned, room, unused } = outcome
			assert.ok(
				returned >= pattern.minReturned * refused,
				`${returned} returned`,
			)
			assert.ok(
				unused <= pattern.maxUnused * room,
				`${unused} of ${room} unused`,
			)
		})

function isKept({ served, returned }: Outcome, { minServed }: Case): boolean {
	return served >= minServed * returned
}

/** Promises the same time to all, whatever the forecast. */
const promiseAlike: BookPlace = (): ReturnPlace => ({
	kind: 'kept',
	dueInMs: 1_000,
})

test('a place that ignores the forecast is not kept', () => {
	const outage = createOutage(4)
	assert.not(isKept(playPattern(outage, 3, promiseAlike), outage))
	const [stepUp] = PATTERNS
	const burst = { ...stepUp!, load: () => 2.5 }
	assert.not(isKept(playPattern(burst, 3, promiseAlike), burst))
})

test.run()
