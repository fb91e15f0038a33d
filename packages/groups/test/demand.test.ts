/** What is remembered of demand, and for how long. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	createDemand,
	isShifting,
	refreshDemand,
	computeExpertShares,
	addChoices,
} from '../src/index.ts'

const SETS = 2
const EXPERTS = 4

/** Choices of one reading, `liked` first. */
function choicesOf(liked: number): number[] {
	return Array.from({ length: SETS * EXPERTS }, (_, at) =>
		at % EXPERTS === liked ? 7_000 : 1_000,
	)
}

function learn(liked: number) {
	const demand = createDemand(SETS, EXPERTS)
	for (let now = 0; now <= 2_000; now += 200) {
		addChoices(demand, choicesOf(liked))
		refreshDemand(demand, now)
	}
	return demand
}

const READINGS = [
	{ name: 'like before', liked: 1, factor: 1, shifted: false, share: 0.68 },
	{ name: 'of a shift', liked: 2, factor: 1, shifted: true, share: 0.11 },
	{ name: 'too few', liked: 2, factor: 0.001, shifted: false, share: 0.68 },
]

for (const { name, liked, factor, shifted, share } of READINGS)
	test(`demand: a reading ${name}`, () => {
		const demand = learn(1)
		addChoices(
			demand,
			choicesOf(liked).map(count => count * factor),
		)
		assert.is(isShifting(demand), shifted)
		assert.is(refreshDemand(demand, 2_200) < 0.8, shifted)
		assert.is(Number(computeExpertShares(demand, 0)[1]!.toFixed(2)), share)
	})

test('demand: choices of another layout are not taken', () => {
	const demand = learn(1)
	addChoices(demand, [1, 2, 3])
	assert.is(isShifting(demand), false)
	assert.is(demand.totalChoices, 11 * SETS * 10_000)
})

test.run()
