/** Placement plans for a lock-step group: limits, number of copies, and benefit. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { SetPlacement } from '../src/index.ts'
import {
	computeSetSkew,
	createRandom,
	distributeRoundRobin,
	isMapChangeWorthwhile,
	planMap,
	planSet,
} from '../src/index.ts'

const SIZES = [
	{
		name: '16 ranks, 64 experts',
		ranks: 16,
		experts: 64,
		places: 5,
		maxNew: 2,
	},
	{
		name: '72 ranks, 144 experts',
		ranks: 72,
		experts: 144,
		places: 3,
		maxNew: 1,
	},
	{ name: '4 ranks, 8 experts', ranks: 4, experts: 8, places: 3, maxNew: 1 },
	{
		name: '64 ranks, 128 experts',
		ranks: 64,
		experts: 128,
		places: 4,
		maxNew: 2,
	},
]

function layoutOf({ experts, places, maxNew }: (typeof SIZES)[number]) {
	return {
		sets: 1,
		experts,
		places,
		maxNew,
		expertMb: 880,
		expertShare: 0.85,
		reformMs: 600,
	}
}

/** Creates a demand in which a few experts are much more popular than the others. */
function skewedShare(experts: number, seed: number): Float64Array {
	const random = createRandom(seed)
	const share = new Float64Array(experts).map(() => random() ** 4 + 0.02)
	const total = share.reduce((sum, part) => sum + part, 0)
	return share.map(part => part / total)
}

function checkPlacement(
	placement: SetPlacement,
	before: SetPlacement,
	size: (typeof SIZES)[number],
): void {
	assert.is(
		new Set(placement.flat()).size,
		size.experts,
		'every expert must be placed',
	)
	for (const [rank, own] of placement.entries()) {
		assert.ok(
			own.length <= size.places,
			'a rank must not have more experts than places',
		)
		assert.is(
			new Set(own).size,
			own.length,
			'an expert must not be twice on a rank',
		)
		const newExperts = own.filter(expert => !before[rank]!.includes(expert))
		assert.ok(
			newExperts.length <= size.maxNew,
			'a rank must not exceed the limit on new copies',
		)
	}
}

for (const size of SIZES)
	test(`plan: ${size.name}: meets all limits and does not raise the highest load`, () => {
		const layout = layoutOf(size)
		let placement: SetPlacement = distributeRoundRobin(size.ranks, layout)
		for (let seed = 1; seed <= 6; seed++) {
			const share = skewedShare(size.experts, seed)
			const plan = planSet(placement, share, layout)
			checkPlacement(plan.placement, placement, size)
			assert.ok(plan.after <= plan.before + 1e-9)
			const skew = computeSetSkew(plan.placement, share, layout)
			assert.ok(Math.abs(skew - plan.after) < 1e-6)
			placement = plan.placement
		}
	})

test('plan: a lower target needs more copies', () => {
	const size = SIZES[0]!
	const layout = layoutOf(size)
	const share = skewedShare(size.experts, 4)
	const initial = distributeRoundRobin(size.ranks, layout)
	const copies = [2, 1.5, 1.2].map(
		target => planSet(initial, share, layout, [], target).copies,
	)
	assert.ok(copies[0]! <= copies[1]! && copies[1]! <= copies[2]!)
	assert.ok(copies[0]! < copies[2]!)
})

test('plan: load is moved off a rank that is twelve times slower', () => {
	const size = SIZES[0]!
	const layout = layoutOf(size)
	const share = skewedShare(size.experts, 4)
	const slowdowns = Array.from({ length: size.ranks }, (_, rank) =>
		rank === 3 ? 12 : 1,
	)
	const initial = distributeRoundRobin(size.ranks, layout)
	const plan = planSet(initial, share, layout, slowdowns)
	assert.ok(plan.before > 6, `before ${plan.before}`)
	assert.ok(plan.after < plan.before / 2, `after ${plan.after}`)
})

test('plan: balanced demand needs no copies', () => {
	const size = SIZES[0]!
	const layout = layoutOf(size)
	const share = new Float64Array(size.experts).fill(1 / size.experts)
	const initial = distributeRoundRobin(size.ranks, layout)
	assert.is(planSet(initial, share, layout).copies, 0)
})

function runToEnd<T>(steps: Generator<void, T>): T {
	for (;;) {
		const step = steps.next()
		if (step.done) return step.value
	}
}

/** Plans three sets with skewed demand, starting from the round-robin placement. */
function planFor(copyMs: number, steadyMs: number) {
	const size = { ranks: 12, experts: 96, places: 11, maxNew: 4 }
	const layout = { ...layoutOf({ name: '', ...size }), sets: 3 }
	const initial = distributeRoundRobin(size.ranks, layout)
	const map = [initial, initial, initial]
	const shares = map.map((_, set) => skewedShare(size.experts, set + 1))
	const slowdowns = new Array<number>(size.ranks).fill(1)
	const cost = { copyMs, overheadMs: 300, steadyMs }
	const plan = runToEnd(planMap({ map, shares, layout, slowdowns, cost }))
	return { plan, map, size }
}

const COPY_TIMES = [
	{ copyMs: 400, mostNew: 1 },
	{ copyMs: 20, mostNew: 2 },
]

for (const { copyMs, mostNew } of COPY_TIMES)
	test(`map plan: with copies of ${copyMs} ms, at most ${mostNew} per rank at first`, () => {
		const { plan, map, size } = planFor(copyMs, 10_000)
		assert.ok(plan)
		assert.is(plan.mostNew, mostNew)
		assert.ok(plan.after < plan.before)
		const placed = plan.placements
		for (const [set, placement] of placed.entries())
			checkPlacement(placement, map[set]!, { name: '', ...size })
		for (let rank = 0; rank < size.ranks; rank++) {
			const newExperts = placed.flatMap((placement, set) =>
				placement[rank]!.filter(expert => !map[set]![rank]!.includes(expert)),
			)
			assert.ok(
				newExperts.length <= plan.mostNew,
				'the limit must hold over all sets',
			)
		}
	})

test('map plan: none if it would take effect after the next demand shift', () => {
	assert.is(planFor(400, 500).plan, undefined)
})

const GAINS = [
	{
		name: 'large gain',
		before: 2,
		after: 1.2,
		steadyMs: 3_500,
		worthwhile: true,
	},
	{
		name: 'small gain',
		before: 1.1,
		after: 1.06,
		steadyMs: 9e9,
		worthwhile: false,
	},
	{
		name: 'gain that takes effect too late',
		before: 2,
		after: 1.2,
		steadyMs: 700,
		worthwhile: false,
	},
]

for (const { name, before, after, steadyMs, worthwhile } of GAINS)
	test(`map change: ${name} is ${worthwhile ? 'worth' : 'not worth'} its copies`, () => {
		const cost = { copyMs: 400, overheadMs: 300, steadyMs }
		assert.is(isMapChangeWorthwhile(before, after, 1, cost), worthwhile)
	})

test.run()
