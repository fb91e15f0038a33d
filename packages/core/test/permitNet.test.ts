/** One server's limit, kept by 1, 3 and 36 entries together, in virtual time. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRandom } from '../src/index.ts'
import type { PermitSend, PermitStory, Trouble } from './models/permitNet.ts'
import { playPermits } from './models/permitNet.ts'

/** More by hand. */
const SEEDS = Number(process.env.SEEDS ?? 4)
const SPAN_MS = 4_000
/** From the first naming on, until the limit is owed, ms. */
const CONTACT_MS = 3_000
const NAMED_FROM = 5_000
const NAMED_TO = 45_000
const ENDS_AT = 55_000
/** Part of what the limit allows that is used when enough is asked for. */
const LEAST_USED = 0.7
/** After the server's word, its limit is over by then, ms. */
const OVER_MS = 2_000

const STORY: Omit<PermitStory, 'entries' | 'seed'> = {
	perSecond: 1,
	namedFrom: NAMED_FROM,
	namedTo: NAMED_TO,
	demand: 40,
	leaning: 0,
	troubles: [],
	endsAt: ENDS_AT,
}

/** Most sends in any span while the limit is owed. */
function mostInSpan(sends: readonly PermitSend[]): number {
	const judged = sends
		.filter(({ at }) => at >= NAMED_FROM + CONTACT_MS && at < NAMED_TO)
		.map(({ at }) => at)
	let most = 0
	let first = 0
	for (const [last, at] of judged.entries()) {
		while (judged[first]! <= at - SPAN_MS) first++
		most = Math.max(most, last - first + 1)
	}
	return most
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
const LEANING = [0, 0.9] as const

for (const entries of ENTRIES)
	for (const perSecond of LIMITS)
		for (const leaning of LEANING)
			test(`${entries} entries keep ${perSecond} a second, ${leaning} of the demand at one`, () => {
				for (let seed = 1; seed <= SEEDS; seed++) {
					const sends = playPermits({
						...STORY,
						entries,
						perSecond,
						leaning,
						seed,
					})
					const allowed = 1.5 * perSecond * 4 + 5
					const most = mostInSpan(sends)
					assert.ok(most <= allowed, `seed ${seed}: ${most} of ${allowed}`)
					const from = NAMED_FROM + CONTACT_MS
					const used = countBetween(sends, from, NAMED_TO)
					const given = (perSecond * (NAMED_TO - from)) / 1_000
					// Of few requests, one more or less is a large part.
					const least = Math.floor(LEAST_USED * given)
					assert.ok(used >= least, `seed ${seed}: ${used} of ${given} used`)
				}
			})

const TROUBLES: readonly {
	readonly name: string
	readonly troubles: (entries: number) => readonly Trouble[]
}[] = [
	{
		name: 'one is cut off',
		troubles: () => [{ kind: 'cut', entries: [0], from: 12_000, to: 30_000 }],
	},
	{
		name: 'two parts that are equal',
		troubles: entries => [
			{
				kind: 'cut',
				entries: Array.from({ length: Math.ceil(entries / 2) }, (_, at) => at),
				from: 12_000,
				to: 30_000,
			},
		],
	},
	{
		name: 'each is cut off from each other',
		troubles: entries =>
			Array.from({ length: entries }, (_, at) => ({
				kind: 'cut',
				entries: [at],
				from: 12_000,
				to: 30_000,
			})),
	},
	{
		name: 'all stand still for a while, one after the other',
		troubles: entries =>
			Array.from({ length: entries }, (_, at) => ({
				kind: 'still',
				entries: [at],
				from: 10_000 + at * 900,
				to: 13_000 + at * 900,
			})),
	},
	{
		name: 'all start again, one after the other',
		troubles: entries =>
			Array.from({ length: entries }, (_, at) => ({
				kind: 'restart',
				entries: [at],
				from: 10_000 + at * 900,
				to: 11_000 + at * 900,
			})),
	},
]

for (const { name, troubles } of TROUBLES)
	for (const entries of [3, 36])
		test(`${entries} entries keep a limit while ${name}`, () => {
			for (let seed = 1; seed <= SEEDS; seed++) {
				const sends = playPermits({
					...STORY,
					entries,
					perSecond: 1,
					troubles: troubles(entries),
					seed,
				})
				// An entry without links cannot know before it has asked once.
				const known = sends.filter(({ knownSince }) => knownSince !== undefined)
				const most = mostInSpan(known)
				assert.ok(most <= 11, `seed ${seed}: ${most} of 11`)
			}
		})

const KINDS = ['cut', 'still', 'restart'] as const
const MOST_TROUBLES = 24

/** Troubles of all kinds, of up to half of the entries, that overlap. */
function drawTroubles(entries: number, seed: number): Trouble[] {
	const random = createRandom(seed)
	const draw = (below: number) => Math.floor(random() * below)
	return Array.from({ length: 1 + draw(MOST_TROUBLES) }, () => {
		const count = 1 + draw(entries / 2)
		const from = NAMED_FROM + CONTACT_MS + draw(30_000)
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
		test(`${entries} entries keep ${perSecond} a second whatever happens`, () => {
			for (let seed = 1; seed <= SEEDS; seed++) {
				const troubles = drawTroubles(entries, seed)
				const sends = playPermits({
					...STORY,
					entries,
					perSecond,
					troubles,
					seed,
				})
				const known = sends.filter(({ knownSince }) => knownSince !== undefined)
				const most = mostInSpan(known)
				const allowed = 1.5 * perSecond * 4 + 5
				assert.ok(most <= allowed, `seed ${seed}: ${most} of ${allowed}`)
			}
		})

test('a limit is over soon after the server says so', () => {
	for (const entries of ENTRIES)
		for (let seed = 1; seed <= SEEDS; seed++) {
			const sends = playPermits({ ...STORY, entries, seed })
			const from = NAMED_TO + OVER_MS
			const after = countBetween(sends, from, ENDS_AT)
			const asked = (STORY.demand * (ENDS_AT - from)) / 1_000
			assert.ok(
				after > 0.8 * asked,
				`${entries}, ${seed}: ${after} of ${asked}`,
			)
		}
})

test.run()
