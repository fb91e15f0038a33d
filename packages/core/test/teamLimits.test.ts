/** Limits of teams, kept by the sum of 1, 3, 36 and 330 entries, in virtual time. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { TeamConfig } from '../src/index.ts'
import { isEnforcedAtTeamHome } from '../src/index.ts'
import type { TeamRun, TeamStory } from './models/teamNet.ts'
import { playTeam } from './models/teamNet.ts'

/** More by hand. */
const SEEDS = Number(process.env.SEEDS ?? 2)
const SPAN_MS = 4_000
const SPAN_SECONDS = SPAN_MS / 1_000
/** Part of what a limit allows that is used when enough is asked for. */
const LEAST_USED = 0.8
const ENDS_AT = 20_000
/** Buckets are full at first; use is judged from here on, ms. */
const STEADY_AT = 5_000

const LIMIT: TeamConfig = {
	keyDigests: [],
	ratePerSecond: 100_000,
	concurrency: 1_000_000,
	tokensPerSecond: 1_000_000_000,
	weight: 1,
	bestPriority: 0,
}
const STORY: Omit<TeamStory, 'entries' | 'seed' | 'limit'> = {
	demand: 60,
	tokens: 0,
	runsMs: 10,
	leaning: 0,
	loss: 0,
	endsAt: ENDS_AT,
}
const ENTRIES = [1, 3, 36, 330] as const
const LEANING = [0, 0.9] as const

/** Most requests that ran at once. */
function mostAtOnce(runs: readonly TeamRun[]): number {
	const steps = runs.flatMap(({ from, to }) => [
		{ at: from, by: 1 },
		{ at: to, by: -1 },
	])
	// One that ends makes room for one that begins at that moment.
	steps.sort((a, b) => a.at - b.at || a.by - b.by)
	let running = 0
	let most = 0
	for (const { by } of steps) {
		running += by
		most = Math.max(most, running)
	}
	return most
}

function mostInSpan(runs: readonly TeamRun[]): number {
	const times = runs.map(({ from }) => from)
	const counts = times.map(
		first => times.filter(at => at >= first && at < first + SPAN_MS).length,
	)
	return Math.max(0, ...counts)
}

/** Requests that ran at once on average, from the steady time on. */
function meanAtOnce(runs: readonly TeamRun[]): number {
	const ranMs = runs.reduce(
		(sum, { from, to }) =>
			sum + Math.max(0, Math.min(to, ENDS_AT) - Math.max(from, STEADY_AT)),
		0,
	)
	return ranMs / (ENDS_AT - STEADY_AT)
}

function countSteady(runs: readonly TeamRun[]): number {
	return runs.filter(({ from }) => from >= STEADY_AT).length
}

for (const entries of ENTRIES)
	for (const leaning of LEANING) {
		const where = `${entries} entries, ${leaning} of the demand at one`

		test(`ten at a time are ten in sum: ${where}`, () => {
			for (let seed = 1; seed <= SEEDS; seed++) {
				const limit = { ...LIMIT, concurrency: 10 }
				const more = { entries, leaning, limit, seed, runsMs: 700 }
				const runs = playTeam({ ...STORY, ...more })
				assert.ok(mostAtOnce(runs) <= 10, `seed ${seed}: ${mostAtOnce(runs)}`)
				const used = meanAtOnce(runs)
				assert.ok(used >= LEAST_USED * 10, `seed ${seed}: ${used} used`)
			}
		})

		test(`one a second is one in sum: ${where}`, () => {
			for (let seed = 1; seed <= SEEDS; seed++) {
				const limit = { ...LIMIT, ratePerSecond: 1 }
				const runs = playTeam({ ...STORY, entries, leaning, limit, seed })
				const allowed = 1.5 * SPAN_SECONDS + 5
				assert.ok(mostInSpan(runs) <= allowed, `${mostInSpan(runs)}`)
				const owed = (ENDS_AT - STEADY_AT) / 1_000
				const used = countSteady(runs)
				assert.ok(used >= Math.floor(LEAST_USED * owed), `${used} used`)
			}
		})

		test(`tokens are counted in sum: ${where}`, () => {
			const limit = { ...LIMIT, tokensPerSecond: 8_000 }
			const more = { entries, leaning, limit, seed: 1, tokens: 2_000 }
			const runs = playTeam({ ...STORY, ...more })
			const allowed = 1.5 * SPAN_SECONDS * 4 + 5
			assert.ok(mostInSpan(runs) <= allowed, `${mostInSpan(runs)}`)
			const owed = (4 * (ENDS_AT - STEADY_AT)) / 1_000
			const used = countSteady(runs)
			assert.ok(used >= LEAST_USED * owed, `${used} used`)
		})
	}

test('lost messages and an end of the home bring no more than each entry’s part for a moment', () => {
	const limit = { ...LIMIT, ratePerSecond: 2, concurrency: 10 }
	const more = { entries: 36, loss: 0.05, homeEndsAt: 8_000, limit, seed: 3 }
	const runs = playTeam({ ...STORY, ...more })
	const late = runs.filter(({ from }) => from >= 8_000 + STEADY_AT)
	assert.ok(late.length >= LEAST_USED * 2 * 7, `${late.length}`)
})

test('what an end or a lost word leaves behind is over with the next telling', () => {
	const limit = { ...LIMIT, concurrency: 10 }
	const more = { entries: 3, loss: 0.3, limit, seed: 5, runsMs: 300 }
	const runs = playTeam({ ...STORY, ...more, endsAt: 60_000 })
	const lasts = runs.filter(({ from }) => from >= 50_000).length
	// Ten at a time for 300 ms each are 33 a second.
	assert.ok(lasts >= 0.5 * 10 * 33, `${lasts}`)
})

test('an entry that is alone, or has enough, asks nobody', () => {
	const small = { ...LIMIT, concurrency: 10 }
	assert.not(isEnforcedAtTeamHome(small, 1))
	assert.ok(isEnforcedAtTeamHome(small, 3))
	assert.not(isEnforcedAtTeamHome(LIMIT, 330))
})

test.run()
