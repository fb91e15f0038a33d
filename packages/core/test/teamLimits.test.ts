/** Team limits enforced across 1, 3, 36 and 330 entries, in virtual time. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { TeamConfig } from '../src/index.ts'
import { isEnforcedAtTeamHome } from '../src/index.ts'
import type { TeamRun, TeamScenario } from './models/teamNet.ts'
import { simulateTeam } from './models/teamNet.ts'

/** Can be raised by hand for longer runs. */
const SEEDS = Number(process.env.SEEDS ?? 2)
const WINDOW_MS = 4_000
const WINDOW_SECONDS = WINDOW_MS / 1_000
/** Minimum share of a limit that is used under sufficient demand. */
const MIN_USED_SHARE = 0.8
const ENDS_AT = 20_000
/** Usage is measured from here on, since token buckets are full at the start, ms. */
const STEADY_FROM = 5_000

const LIMIT: TeamConfig = {
	keyDigests: [],
	ratePerSecond: 100_000,
	concurrency: 1_000_000,
	tokensPerSecond: 1_000_000_000,
	weight: 1,
	bestPriority: 0,
}
const SCENARIO: Omit<TeamScenario, 'entries' | 'seed' | 'limit'> = {
	demand: 60,
	tokens: 0,
	runMs: 10,
	firstEntryShare: 0,
	lossRate: 0,
	endsAt: ENDS_AT,
}
const ENTRIES = [1, 3, 36, 330] as const
const FIRST_ENTRY_SHARES = [0, 0.9] as const

/** Returns the largest number of concurrent requests. */
function maxConcurrent(runs: readonly TeamRun[]): number {
	const steps = runs.flatMap(({ from, to }) => [
		{ at: from, by: 1 },
		{ at: to, by: -1 },
	])
	// A request that ends frees its slot for one that begins at the same time.
	steps.sort((a, b) => a.at - b.at || a.by - b.by)
	let running = 0
	let max = 0
	for (const { by } of steps) {
		running += by
		max = Math.max(max, running)
	}
	return max
}

function maxPerWindow(runs: readonly TeamRun[]): number {
	const times = runs.map(({ from }) => from)
	const counts = times.map(
		first => times.filter(at => at >= first && at < first + WINDOW_MS).length,
	)
	return Math.max(0, ...counts)
}

/** Returns the mean number of concurrent requests from `STEADY_FROM` on. */
function meanConcurrent(runs: readonly TeamRun[]): number {
	const ranMs = runs.reduce(
		(sum, { from, to }) =>
			sum + Math.max(0, Math.min(to, ENDS_AT) - Math.max(from, STEADY_FROM)),
		0,
	)
	return ranMs / (ENDS_AT - STEADY_FROM)
}

function countStarted(runs: readonly TeamRun[]): number {
	return runs.filter(({ from }) => from >= STEADY_FROM).length
}

for (const entries of ENTRIES)
	for (const firstEntryShare of FIRST_ENTRY_SHARES) {
		const where = `${entries} entries, ${firstEntryShare} of the demand at one entry`

		test(`a limit of ten concurrent requests holds in total: ${where}`, () => {
			for (let seed = 1; seed <= SEEDS; seed++) {
				const limit = { ...LIMIT, concurrency: 10 }
				const overrides = { entries, firstEntryShare, limit, seed, runMs: 700 }
				const runs = simulateTeam({ ...SCENARIO, ...overrides })
				assert.ok(
					maxConcurrent(runs) <= 10,
					`seed ${seed}: ${maxConcurrent(runs)}`,
				)
				const used = meanConcurrent(runs)
				assert.ok(used >= MIN_USED_SHARE * 10, `seed ${seed}: ${used} used`)
			}
		})

		test(`a limit of one request per second holds in total: ${where}`, () => {
			for (let seed = 1; seed <= SEEDS; seed++) {
				const limit = { ...LIMIT, ratePerSecond: 1 }
				const runs = simulateTeam({
					...SCENARIO,
					entries,
					firstEntryShare,
					limit,
					seed,
				})
				const allowed = 1.5 * WINDOW_SECONDS + 5
				assert.ok(maxPerWindow(runs) <= allowed, `${maxPerWindow(runs)}`)
				const available = (ENDS_AT - STEADY_FROM) / 1_000
				const used = countStarted(runs)
				assert.ok(
					used >= Math.floor(MIN_USED_SHARE * available),
					`${used} used`,
				)
			}
		})

		test(`a token rate limit holds in total: ${where}`, () => {
			const limit = { ...LIMIT, tokensPerSecond: 8_000 }
			const overrides = {
				entries,
				firstEntryShare,
				limit,
				seed: 1,
				tokens: 2_000,
			}
			const runs = simulateTeam({ ...SCENARIO, ...overrides })
			const allowed = 1.5 * WINDOW_SECONDS * 4 + 5
			assert.ok(maxPerWindow(runs) <= allowed, `${maxPerWindow(runs)}`)
			const available = (4 * (ENDS_AT - STEADY_FROM)) / 1_000
			const used = countStarted(runs)
			assert.ok(used >= MIN_USED_SHARE * available, `${used} used`)
		})
	}

test('requests are still admitted after messages are lost and the team home has stopped', () => {
	const limit = { ...LIMIT, ratePerSecond: 2, concurrency: 10 }
	const overrides = {
		entries: 36,
		lossRate: 0.05,
		teamHomeStopsAt: 8_000,
		limit,
		seed: 3,
	}
	const runs = simulateTeam({ ...SCENARIO, ...overrides })
	const late = runs.filter(({ from }) => from >= 8_000 + STEADY_FROM)
	assert.ok(late.length >= MIN_USED_SHARE * 2 * 7, `${late.length}`)
})

test('counts that are stale after lost messages are corrected by the next report', () => {
	const limit = { ...LIMIT, concurrency: 10 }
	const overrides = { entries: 3, lossRate: 0.3, limit, seed: 5, runMs: 300 }
	const runs = simulateTeam({ ...SCENARIO, ...overrides, endsAt: 60_000 })
	const lateRuns = runs.filter(({ from }) => from >= 50_000).length
	// Ten concurrent requests of 300 ms each are 33 per second.
	assert.ok(lateRuns >= 0.5 * 10 * 33, `${lateRuns}`)
})

test('a single entry, or one with a large enough share, needs no team home', () => {
	const small = { ...LIMIT, concurrency: 10 }
	assert.not(isEnforcedAtTeamHome(small, 1))
	assert.ok(isEnforcedAtTeamHome(small, 3))
	assert.not(isEnforcedAtTeamHome(LIMIT, 330))
})

test.run()
