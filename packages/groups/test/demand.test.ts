/** History of demand, and when it is dropped. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	addChoices,
	computeExpertShares,
	createDemand,
	isShifting,
	refreshDemand,
} from '../src/index.ts'

const SETS = 2
const EXPERTS = 4

/** Returns the counts of one reading, in which expert `preferred` has most choices. */
function createCounts(preferred: number): number[] {
	return Array.from({ length: SETS * EXPERTS }, (_, at) =>
		at % EXPERTS === preferred ? 7_000 : 1_000,
	)
}

function createHistory(preferred: number) {
	const demand = createDemand(SETS, EXPERTS)
	for (let now = 0; now <= 2_000; now += 200) {
		addChoices(demand, createCounts(preferred))
		refreshDemand(demand, now)
	}
	return demand
}

const READINGS = [
	{
		name: 'that agrees with the history',
		preferred: 1,
		factor: 1,
		shifted: false,
		share: 0.68,
	},
	{
		name: 'after a shift',
		preferred: 2,
		factor: 1,
		shifted: true,
		share: 0.11,
	},
	{
		name: 'with too few choices',
		preferred: 2,
		factor: 0.001,
		shifted: false,
		share: 0.68,
	},
]

for (const { name, preferred, factor, shifted, share } of READINGS)
	test(`demand: a reading ${name}`, () => {
		const demand = createHistory(1)
		addChoices(
			demand,
			createCounts(preferred).map(count => count * factor),
		)
		assert.is(isShifting(demand), shifted)
		assert.is(refreshDemand(demand, 2_200) < 0.8, shifted)
		assert.is(Number(computeExpertShares(demand, 0)[1]!.toFixed(2)), share)
	})

test('demand: counts of another layout are ignored', () => {
	const demand = createHistory(1)
	addChoices(demand, [1, 2, 3])
	assert.is(isShifting(demand), false)
	assert.is(demand.totalChoices, 11 * SETS * 10_000)
})

test.run()
