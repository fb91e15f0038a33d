/** Rate limit of one server, enforced by 1 to 36 entries together, in virtual time. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRandom } from '../src/index.ts'
import type { Fault, PermitScenario, PermitSend } from './models/permitNet.ts'
import { simulatePermits } from './models/permitNet.ts'

/** Can be raised by hand for longer runs. */
const SEEDS = Number(process.env.SEEDS ?? 4)
const WINDOW_MS = 4_000
/** Time from the first announcement until the limit must be met, ms. */
const CONVERGENCE_MS = 3_000
const ANNOUNCED_FROM = 5_000
const ANNOUNCED_TO = 45_000
const ENDS_AT = 55_000
/** Minimum share of the limit that is used under sufficient demand. */
const MIN_USED_SHARE = 0.7
/** Time after the last announcement by which the limit is lifted, ms. */
const LIMIT_END_MS = 2_000

const SCENARIO: Omit<PermitScenario, 'entries' | 'seed'> = {
	perSecond: 1,
	announcedFrom: ANNOUNCED_FROM,
	announcedTo: ANNOUNCED_TO,
	demand: 40,
	firstEntryShare: 0,
	faults: [],
	endsAt: ENDS_AT,
}

/** Returns the largest number of sends in any window while the limit must be met. */
function maxPerWindow(sends: readonly PermitSend[]): number {
	const measured = sends
		.filter(
			({ at }) => at >= ANNOUNCED_FROM + CONVERGENCE_MS && at < ANNOUNCED_TO,
		)
		.map(({ at }) => at)
	let maxCount = 0
	let first = 0
	for (const [last, at] of measured.entries()) {
		while (measured[first]! <= at - WINDOW_MS) first++
		maxCount = Math.max(maxCount, last - first + 1)
	}
	return maxCount
}

function countBetween(
	sends: readonly PermitSend[],
	from: number,
	to: number,
): number {
	return sends.filter(({ at }) => at >= from && at < to).length
}

const ENTRIES = [1, 3, 36] as const
const LIMITS = [0.1, 0.5, 1, 8] as const
const FIRST_ENTRY_SHARES = [0, 0.9] as const

for (const entries of ENTRIES)
	for (const perSecond of LIMITS)
		for (const firstEntryShare of FIRST_ENTRY_SHARES)
			test(`${entries} entries enforce ${perSecond} per second with ${firstEntryShare} of the demand at one entry`, () => {
				for (let seed = 1; seed <= SEEDS; seed++) {
					const sends = simulatePermits({
						...SCENARIO,
						entries,
						perSecond,
						firstEntryShare,
						seed,
					})
					const allowed = 1.5 * perSecond * 4 + 5
					const count = maxPerWindow(sends)
					assert.ok(count <= allowed, `seed ${seed}: ${count} of ${allowed}`)
					const from = ANNOUNCED_FROM + CONVERGENCE_MS
					const used = countBetween(sends, from, ANNOUNCED_TO)
					const granted = (perSecond * (ANNOUNCED_TO - from)) / 1_000
					// Rounded down, since one request is a large share of a few.
					const minUsed = Math.floor(MIN_USED_SHARE * granted)
					assert.ok(used >= minUsed, `seed ${seed}: ${used} of ${granted} used`)
				}
			})

const FAULTS: readonly {
	readonly name: string
	readonly faults: (entries: number) => readonly Fault[]
}[] = [
	{
		name: 'one is partitioned from the others',
		faults: () => [
			{ kind: 'partition', entries: [0], from: 12_000, to: 30_000 },
		],
	},
	{
		name: 'a partition separates two halves',
		faults: entries => [
			{
				kind: 'partition',
				entries: Array.from({ length: Math.ceil(entries / 2) }, (_, at) => at),
				from: 12_000,
				to: 30_000,
			},
		],
	},
	{
		name: 'a partition separates each from all others',
		faults: entries =>
			Array.from({ length: entries }, (_, at) => ({
				kind: 'partition',
				entries: [at],
				from: 12_000,
				to: 30_000,
			})),
	},
	{
		name: 'all stall for some time, one after the other',
		faults: entries =>
			Array.from({ length: entries }, (_, at) => ({
				kind: 'stall',
				entries: [at],
				from: 10_000 + at * 900,
				to: 13_000 + at * 900,
			})),
	},
	{
		name: 'all restart, one after the other',
		faults: entries =>
			Array.from({ length: entries }, (_, at) => ({
				kind: 'restart',
				entries: [at],
				from: 10_000 + at * 900,
				to: 11_000 + at * 900,
			})),
	},
]

for (const { name, faults } of FAULTS)
	for (const entries of [3, 36])
		test(`${entries} entries enforce a limit while ${name}`, () => {
			for (let seed = 1; seed <= SEEDS; seed++) {
				const sends = simulatePermits({
					...SCENARIO,
					entries,
					perSecond: 1,
					faults: faults(entries),
					seed,
				})
				// An entry without links learns of the limit only from its first answer.
				const known = sends.filter(({ knownSince }) => knownSince !== undefined)
				const count = maxPerWindow(known)
				assert.ok(count <= 11, `seed ${seed}: ${count} of 11`)
			}
		})

const KINDS = ['partition', 'stall', 'restart'] as const
const MAX_FAULTS = 24

/** Returns random, overlapping faults of all kinds, each of up to half of the entries. */
function randomFaults(entries: number, seed: number): Fault[] {
	const random = createRandom(seed)
	const draw = (below: number) => Math.floor(random() * below)
	return Array.from({ length: 1 + draw(MAX_FAULTS) }, () => {
		const count = 1 + draw(entries / 2)
		const from = ANNOUNCED_FROM + CONVERGENCE_MS + draw(30_000)
		return {
			kind: KINDS[draw(KINDS.length)]!,
			entries: Array.from({ length: count }, () => draw(entries)),
			from,
			to: from + 200 + draw(5_000),
		}
	})
}

for (const entries of [2, 5, 36])
	for (const perSecond of [0.5, 3, 12])
		test(`${entries} entries enforce ${perSecond} per second under random faults`, () => {
			for (let seed = 1; seed <= SEEDS; seed++) {
				const faults = randomFaults(entries, seed)
				const sends = simulatePermits({
					...SCENARIO,
					entries,
					perSecond,
					faults,
					seed,
				})
				const known = sends.filter(({ knownSince }) => knownSince !== undefined)
				const count = maxPerWindow(known)
				const allowed = 1.5 * perSecond * 4 + 5
				assert.ok(count <= allowed, `seed ${seed}: ${count} of ${allowed}`)
			}
		})

test('a limit is lifted soon after the server stops announcing it', () => {
	for (const entries of ENTRIES)
		for (let seed = 1; seed <= SEEDS; seed++) {
			const sends = simulatePermits({ ...SCENARIO, entries, seed })
			const from = ANNOUNCED_TO + LIMIT_END_MS
			const after = countBetween(sends, from, ENDS_AT)
			const requested = (SCENARIO.demand * (ENDS_AT - from)) / 1_000
			assert.ok(
				after > 0.8 * requested,
				`${entries}, ${seed}: ${after} of ${requested}`,
			)
		}
})

test.run()
