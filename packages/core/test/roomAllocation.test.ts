/**
 * Allocation of room by urgency: tables of loads, and properties over random loads, each
 * with a variant of the decision that breaks it.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { LevelDemand, LevelShare, Random } from '../src/index.ts'
import {
	admittedFraction,
	allocateLevel,
	allocateRoom,
	createRandom,
	FLOOR_SHARE,
} from '../src/index.ts'

const URGENT = 31
const USUAL = 51
const LATER = 57

type Allocate = (
	slotsPerSecond: number,
	levels: readonly LevelDemand[],
) => LevelShare[]

/** Demand and growth by urgency, requests per second. */
function levelsOf(
	demand: Record<number, number>,
	growth: Record<number, number> = {},
): LevelDemand[] {
	return Object.entries(demand).map(([urgency, perSecond]) => ({
		urgency: Number(urgency),
		perSecond,
		growthPerSecond: growth[Number(urgency)] ?? 0,
	}))
}

interface Load {
	readonly name: string
	readonly room: number
	readonly demand: Record<number, number>
	readonly growth?: Record<number, number>
	/** Fractions served, most urgent first. */
	readonly fractions: readonly number[]
}

const LOADS: Load[] = [
	{
		name: 'enough room',
		room: 200,
		demand: { [URGENT]: 60, [LATER]: 90 },
		fractions: [1, 1],
	},
	{
		name: 'a burst of less urgent requests, times 3, beside steady urgent ones',
		room: 150,
		demand: { [URGENT]: 60, [LATER]: 270 },
		fractions: [1, 90 / 270],
	},
	{
		name: 'an urgent burst: the others keep their floor',
		room: 100,
		demand: { [URGENT]: 200, [LATER]: 50 },
		fractions: [(100 - 50 * (0.4 / 3)) / 200, 0.4 / 3],
	},
	{
		name: 'all levels together at 1.5 of the room',
		room: 100,
		demand: { [URGENT]: 30, [USUAL]: 60, [LATER]: 60 },
		// Floors of 2/9: the middle level gets what the least urgent one leaves.
		fractions: [1, (100 - 30 - (60 * 2) / 9) / 60, 2 / 9],
	},
	{
		name: 'a wave: room for the growth of urgent demand is kept',
		room: 150,
		demand: { [URGENT]: 60, [LATER]: 80 },
		growth: { [URGENT]: 50 },
		fractions: [1, 40 / 80],
	},
	{
		name: 'a high wave leaves the floor',
		room: 150,
		demand: { [URGENT]: 60, [LATER]: 90 },
		growth: { [URGENT]: 90 },
		fractions: [1, 1 / 3],
	},
	{
		name: 'growth of the least urgent level keeps nothing',
		room: 150,
		demand: { [URGENT]: 60, [LATER]: 90 },
		growth: { [LATER]: 90 },
		fractions: [1, 1],
	},
]

for (const { name, room, demand, growth = {}, fractions } of LOADS)
	test(`room allocation: ${name}`, () => {
		const shares = allocateRoom(room, levelsOf(demand, growth))
		for (const [index, { fraction }] of shares.entries()) {
			const served = Math.min(1, fraction)
			const expected = fractions[index]!
			assert.ok(Math.abs(served - expected) < 1e-9, `${served}, ${expected}`)
		}
	})

test('room allocation: no room for anyone at a group over its limit', () => {
	for (const { fraction } of allocateRoom(
		-5,
		levelsOf({ [URGENT]: 1, [LATER]: 1 }),
	))
		assert.ok(fraction < 0)
})

test('room allocation: first requests of an unknown level go by their urgency', () => {
	const levels = levelsOf({ [USUAL]: 100 })
	assert.is(allocateLevel(50, levels, URGENT), 1)
	assert.ok(allocateLevel(50, levels, LATER) < 0.2)
	assert.is(allocateLevel(0.5, [], LATER), 1)
})

test('room allocation: a single level gets the fraction of all, draw for draw', () => {
	const random = createRandom(5)
	for (let run = 0; run < 5_000; run++) {
		const traffic = {
			arrivalsPerSecond: random() < 0.1 ? 0 : random() * 300,
			completionsPerSecond: random() * 200,
			horizonMs: 100 + random() * 400,
		}
		const freeSlots = (random() - 0.5) * 100
		const { arrivalsPerSecond, completionsPerSecond, horizonMs } = traffic
		// The formula without levels, as it was before them.
		const room = completionsPerSecond + (freeSlots * 1_000) / horizonMs
		const expected = room / Math.max(arrivalsPerSecond, 0.5)
		const levels = levelsOf({ [USUAL]: arrivalsPerSecond })
		const draw = random()
		assert.is(admittedFraction(freeSlots, traffic), expected)
		assert.is(
			draw < allocateLevel(room, levels, USUAL),
			draw < expected,
			JSON.stringify({ traffic, freeSlots, draw }),
		)
	}
})

/** A random load; some are without one level or with a rising one. */
function drawLoad(random: Random): { room: number; levels: LevelDemand[] } {
	const urgencies = [URGENT, USUAL, LATER, 99].slice(0, 2 + random() * 3)
	const levels = urgencies.map(urgency => ({
		urgency,
		perSecond: random() < 0.1 ? 0.1 : random() * 200,
		growthPerSecond: random() < 0.5 ? 0 : random() * 100,
	}))
	return { room: random() * 400, levels }
}

interface Allocation {
	readonly room: number
	readonly levels: readonly LevelDemand[]
	readonly shares: readonly LevelShare[]
}

function isRoomRespected({ room, levels, shares }: Allocation): boolean {
	const served = shares.map(
		({ fraction }, index) => Math.min(1, fraction) * levels[index]!.perSecond,
	)
	return served.reduce((sum, one) => sum + one, 0) <= room + 1e-6
}

function areFloorsKept({ room, levels, shares }: Allocation): boolean {
	const demand = levels.reduce((sum, { perSecond }) => sum + perSecond, 0)
	const floor = FLOOR_SHARE * Math.min(1, room / Math.max(demand, 0.5))
	return shares.every(({ fraction }) => fraction >= floor - 1e-9)
}

function areUrgentFirst({ shares }: Allocation): boolean {
	return shares.every(
		({ fraction }, index) => fraction <= (shares[index - 1]?.fraction ?? 9e9),
	)
}

function holds(
	property: (allocation: Allocation) => boolean,
	allocate: Allocate,
): boolean {
	const random = createRandom(11)
	for (let run = 0; run < 5_000; run++) {
		const { room, levels } = drawLoad(random)
		if (!property({ room, levels, shares: allocate(room, levels) }))
			return false
	}
	return true
}

const PROPERTIES = [
	{
		name: 'the room is never exceeded',
		property: isRoomRespected,
		mutant: (room: number, levels: readonly LevelDemand[]) =>
			allocateRoom(room * 1.05, levels),
	},
	{
		name: 'floors are kept',
		property: areFloorsKept,
		mutant: (room: number, levels: readonly LevelDemand[]) => {
			let left = room
			return levels.map(({ urgency, perSecond }) => {
				const fraction = Math.min(1, left / perSecond)
				left -= fraction * perSecond
				return { urgency, fraction }
			})
		},
	},
	{
		name: 'a more urgent level never gets a lower fraction',
		property: areUrgentFirst,
		mutant: (room: number, levels: readonly LevelDemand[]) =>
			allocateRoom(
				room,
				levels.map(level => ({ ...level, urgency: -level.urgency })),
			).reverse(),
	},
]

for (const { name, property, mutant } of PROPERTIES) {
	test(`room allocation: ${name}`, () => {
		assert.ok(holds(property, allocateRoom))
	})

	test(`room allocation: a variant fails: ${name}`, () => {
		assert.not.ok(holds(property, mutant))
	})
}

test.run()
