/**
 * Guards against published figures of engines that take the memory of an agent, or hold its
 * event loop, when a map is planned for them (rule FAULT).
 */

import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ExpertLayout } from '../src/index.ts'
import {
	distributeRoundRobin,
	isUsableCost,
	isUsableMap,
	planMap,
	toUsableLayout,
} from '../src/index.ts'

const SEED = 20261205
const RUNS = 300
const LAYOUT: ExpertLayout = {
	sets: 4,
	experts: 64,
	places: 5,
	maxNew: 2,
	expertMb: 880,
	expertShare: 0.85,
	reformMs: 600,
}

const CASES: {
	name: string
	change: Partial<ExpertLayout>
	usable: Partial<ExpertLayout> | undefined
}[] = [
	{ name: 'a usual one', change: {}, usable: {} },
	{
		name: 'a large model',
		change: { sets: 64, experts: 128, places: 4 },
		usable: { sets: 64, experts: 128, places: 4 },
	},
	{
		name: 'more places than experts',
		change: { places: 1e9, maxNew: 1e300 },
		usable: { places: 64, maxNew: 64 },
	},
	{ name: 'no sets', change: { sets: 0 }, usable: undefined },
	{ name: 'half a set', change: { sets: 1.5 }, usable: undefined },
	{ name: 'many sets', change: { sets: 1e8 }, usable: undefined },
	{ name: 'no experts', change: { experts: 0 }, usable: undefined },
	{ name: 'many experts', change: { experts: 1e8 }, usable: undefined },
	{
		name: 'many experts of all sets',
		change: { sets: 500, experts: 8_000 },
		usable: undefined,
	},
	{ name: 'negative places', change: { places: -1 }, usable: undefined },
	{ name: 'negative copies', change: { maxNew: -1 }, usable: undefined },
	{ name: 'endless copying', change: { expertMb: 1 / 0 }, usable: undefined },
	{ name: 'a share of 5', change: { expertShare: 5 }, usable: undefined },
]

for (const { name, change, usable } of CASES)
	test(`expert layout: ${name} is ${usable ? 'usable' : 'refused'}`, () => {
		const expected = usable && { ...LAYOUT, ...usable }
		assert.equal(toUsableLayout({ ...LAYOUT, ...change }), expected)
	})

for (const value of [-1, 1e300, Number.POSITIVE_INFINITY, Number.NaN])
	test(`pass cost: a step of ${value} ms is refused`, () => {
		const cost = { stepMs: 6, perRequestMs: 0.1, stepsPerPass: 5 }
		assert.ok(isUsableCost(cost))
		assert.not.ok(isUsableCost({ ...cost, stepMs: value }))
	})

const SMALL = { ...LAYOUT, sets: 2, experts: 4, places: 3 }
const FULL = [
	[0, 1],
	[2, 3],
]
const MAPS: { name: string; map: number[][][]; usable: boolean }[] = [
	{ name: 'complete', map: [FULL, FULL], usable: true },
	{ name: 'with too few sets', map: [FULL], usable: false },
	{ name: 'with an empty set', map: [FULL, []], usable: false },
	{ name: 'without an expert', map: [FULL, [[0, 1], [2]]], usable: false },
	{
		name: 'with one twice',
		map: [
			FULL,
			[
				[0, 0, 1],
				[2, 3],
			],
		],
		usable: false,
	},
	{
		name: 'with expert -1',
		map: [
			FULL,
			[
				[0, 1, -1],
				[2, 3],
			],
		],
		usable: false,
	},
	{
		name: 'with expert 1e9',
		map: [
			FULL,
			[
				[0, 1, 1e9],
				[2, 3],
			],
		],
		usable: false,
	},
	{
		name: 'with expert 1.5',
		map: [
			FULL,
			[
				[0, 1, 1.5],
				[2, 3],
			],
		],
		usable: false,
	},
	{ name: 'with a full rank', map: [FULL, [[0, 1, 2, 3], [2]]], usable: false },
]
for (const { name, map, usable } of MAPS)
	test(`expert map: one ${name} is ${usable ? 'usable' : 'refused'}`, () => {
		assert.is(isUsableMap(map, SMALL), usable)
	})

const anyNumber = fc.oneof(
	fc.integer({ min: -1, max: 40 }),
	fc.double(),
	fc.constantFrom(0, 1e9, 1e300, Number.POSITIVE_INFINITY),
)

// Guards against a search that never ends or throws for figures in range.
test('expert layout: a search for any usable layout ends with a complete map', () => {
	const layouts = fc.record({
		sets: fc.integer({ min: 1, max: 4 }),
		experts: fc.integer({ min: 1, max: 40 }),
		places: fc.oneof(fc.integer({ min: 1, max: 40 }), fc.constant(1e9)),
		maxNew: fc.oneof(fc.integer({ min: 0, max: 9 }), fc.constant(1e300)),
		expertMb: fc.double({ min: 0, max: 1e6, noNaN: true }),
		expertShare: fc.double({ min: 0, max: 1, noNaN: true }),
		reformMs: anyNumber,
	})
	const demand = fc.array(anyNumber, { minLength: 40, maxLength: 40 })
	const slowdowns = fc.array(anyNumber, { minLength: 1, maxLength: 20 })
	const check = (
		published: ExpertLayout,
		ranks: number,
		shares: number[],
		slow: number[],
		copyMs: number,
	) => {
		const layout = toUsableLayout(published)
		if (!layout || layout.experts > ranks * layout.places) return
		const share = Float64Array.from(shares.slice(0, layout.experts))
		const placement = distributeRoundRobin(ranks, layout)
		const cost = { copyMs, overheadMs: 300, steadyMs: 10_000 }
		const steps = planMap({
			map: Array.from({ length: layout.sets }, () => placement),
			shares: Array.from({ length: layout.sets }, () => share),
			layout,
			slowdowns: slow,
			cost,
		})
		let step = steps.next()
		while (!step.done) step = steps.next()
		for (const set of step.value?.placements ?? []) {
			assert.is(new Set(set.flat()).size, layout.experts)
			for (const own of set) assert.ok(own.length <= layout.places)
		}
	}
	fc.assert(
		fc.property(
			layouts,
			fc.integer({ min: 1, max: 20 }),
			demand,
			slowdowns,
			anyNumber,
			check,
		),
		{ seed: SEED, numRuns: RUNS },
	)
})

test.run()
