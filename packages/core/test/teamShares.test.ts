/** Sharing of a level's room among teams, at 24 and at 840 teams. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { TeamDemand, TeamShares, TeamsDemand } from '../src/index.ts'
import {
	createRandom,
	FLOOR_SHARE,
	listProminentTeams,
	MAX_PROMINENT_TEAMS,
	shareAmongTeams,
} from '../src/index.ts'

const ENTRIES = 22

/** Demand of one team at each entry, requests per second. */
type Spread = (team: number, entry: number) => number

/** Merges the reports of all entries, as each of them does. */
function mergeReports(teams: number, spread: Spread): TeamsDemand {
	const sums = new Map<string, number>()
	let perSecond = 0
	for (let entry = 0; entry < ENTRIES; entry++) {
		const demands = listDemands(teams, spread, entry)
		perSecond += sumOf(demands)
		for (const one of listProminentTeams(demands))
			sums.set(one.team, (sums.get(one.team) ?? 0) + one.perSecond)
	}
	const prominent = [...sums].map(([team, rate]) => ({ team, perSecond: rate }))
	return { perSecond, teams, prominent }
}

function listDemands(
	teams: number,
	spread: Spread,
	entry: number,
): TeamDemand[] {
	return Array.from({ length: teams }, (_, team) => ({
		team: `t${team}`,
		perSecond: spread(team, entry),
	}))
}

function sumOf(demands: readonly TeamDemand[]): number {
	return demands.reduce((sum, { perSecond }) => sum + perSecond, 0)
}

function fractionOf({ cut, others }: TeamShares, team: string): number {
	return cut.get(team) ?? others
}

for (const teams of [24, 840]) {
	test(`team shares: even demand of ${teams} teams: all get the fraction`, () => {
		const demand = mergeReports(teams, () => 0.1)
		assert.is(demand.prominent.length, 0)
		assert.equal(shareAmongTeams(0.7, demand), { others: 0.7, cut: new Map() })
	})

	const HOT: { name: string; spread: Spread }[] = [
		{
			name: 'at all entries',
			spread: team => (team === 0 ? 1 : 0.1),
		},
		{
			name: 'at one entry',
			spread: (team, entry) => {
				if (team > 0) return 0.1
				return entry === 3 ? 22 : 0
			},
		},
	]

	for (const { name, spread } of HOT)
		test(`team shares: one of ${teams} teams at ten times the others, ${name}`, () => {
			const demand = mergeReports(teams, spread)
			assert.equal(
				demand.prominent.map(one => one.team),
				['t0'],
			)
			const others = demand.perSecond - 22
			// Room for all others and three times what each of them asks for.
			const room = others + 3 * 2.2
			const shares = shareAmongTeams(room / demand.perSecond, demand)
			const isFloor = teams === 840
			const floor = (FLOOR_SHARE * room) / demand.perSecond
			const expected = isFloor ? Math.max(floor, 0.3) : 0.3
			assert.ok(Math.abs(fractionOf(shares, 't0') - expected) < 1e-6)
			assert.ok(fractionOf(shares, 't1') > (isFloor ? 0.995 : 0.999))
		})
}

test('team shares: far too little room: all at the same rate, above the floor', () => {
	const demand = mergeReports(24, team => (team === 0 ? 0.25 : 0.1))
	const shares = shareAmongTeams(0.5, demand)
	const ofHot = fractionOf(shares, 't0') * 5.5
	const ofOther = fractionOf(shares, 't1') * 2.2
	assert.ok(Math.abs(ofHot - ofOther) < 1e-6, `${ofHot}, ${ofOther}`)
})

test('team shares: an only team is not cut', () => {
	const demand = {
		perSecond: 10,
		teams: 1,
		prominent: [{ team: 'a', perSecond: 10 }],
	}
	assert.is(fractionOf(shareAmongTeams(0.4, demand), 'a'), 0.4)
})

test('team shares: a report lists a bounded number of teams', () => {
	const demands = listDemands(840, team => (team % 40 === 0 ? 5 : 0.01), 0)
	assert.is(listProminentTeams(demands).length, MAX_PROMINENT_TEAMS)
})

type Share = typeof shareAmongTeams

const PROPERTIES: {
	name: string
	check: (fraction: number, demand: TeamsDemand, shares: TeamShares) => boolean
	mutant: Share
}[] = [
	{
		name: 'the room is never exceeded',
		check: (fraction, demand, { cut, others }) => {
			const large = demand.prominent.filter(one => cut.has(one.team))
			const rest = demand.perSecond - sumOf(large)
			const served = large.map(one => cut.get(one.team)! * one.perSecond)
			const sum = served.reduce((total, one) => total + one, rest * others)
			return sum <= fraction * demand.perSecond + 1e-6
		},
		mutant: (fraction, demand) => {
			const { cut } = shareAmongTeams(fraction, demand)
			return { cut, others: Math.min(1, fraction * 1.2) }
		},
	},
	{
		name: 'each team keeps a third of its level',
		check: (fraction, _demand, { cut, others }) =>
			[...cut.values(), others].every(
				one => one >= FLOOR_SHARE * fraction - 1e-9,
			),
		mutant: (fraction, demand) => {
			const shares = shareAmongTeams(fraction, demand)
			const cut = [...shares.cut.keys()].map(team => [team, 0] as const)
			return { ...shares, cut: new Map(cut) }
		},
	},
	{
		name: 'the others get no less than their level',
		check: (fraction, _demand, { others }) => others >= fraction - 1e-9,
		mutant: (fraction, demand) => {
			const { cut } = shareAmongTeams(fraction, demand)
			return { cut, others: cut.size > 0 ? fraction * 0.9 : fraction }
		},
	},
]

function holds(check: (typeof PROPERTIES)[0]['check'], share: Share): boolean {
	const random = createRandom(3)
	for (let run = 0; run < 5_000; run++) {
		const teams = 2 + Math.floor(random() * 30)
		const demands = Array.from({ length: teams }, (_, team) => ({
			team: `t${team}`,
			perSecond: 0.2 + random() ** 6 * 50,
		}))
		const prominent = listProminentTeams(demands)
		const demand = { perSecond: sumOf(demands), teams, prominent }
		const fraction = 0.05 + random() * 0.95
		if (!check(fraction, demand, share(fraction, demand))) return false
	}
	return true
}

for (const { name, check, mutant } of PROPERTIES) {
	test(`team shares: ${name}`, () => assert.ok(holds(check, shareAmongTeams)))

	test(`team shares: a variant fails: ${name}`, () => {
		assert.not.ok(holds(check, mutant))
	})
}

test.run()
