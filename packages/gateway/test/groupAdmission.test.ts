/**
 * Tests the fraction that a group admits while refused callers are due back: they arrive
 * beside new callers, and room is kept for them.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createFleet, meterOf } from '../src/fleet.ts'
import { decideAdmission } from '../src/groupAdmission.ts'
import type { AdmissionCandidate } from '../src/waiter.ts'

const SERVICE = 's'
const SIZE = {
	promptTokens: undefined,
	maxAnswerTokens: undefined,
	answerHintTokens: undefined,
}

function createCandidate(isReturn: boolean): AdmissionCandidate {
	return { draw: 0.99, urgency: 0, team: 't', size: SIZE, isReturn }
}

const CASES = [
	{ name: 'no returns', arrivals: 200, returns: 0, fraction: 0.5 },
	{
		name: 'returns are not counted twice',
		arrivals: 200,
		returns: 20,
		fraction: 80 / 180,
	},
	{
		name: 'all fits with the returns',
		arrivals: 100,
		returns: 20,
		fraction: 1,
	},
	{
		name: 'new callers keep half of the room',
		arrivals: 300,
		returns: 150,
		fraction: 50 / 250,
	},
]

for (const { name, arrivals, returns, fraction } of CASES)
	test(`admission beside returns: ${name}`, () => {
		const fleet = createFleet()
		fleet.groups.push(`${SERVICE}/g`)
		const meter = meterOf(fleet, SERVICE)
		meter.traffic = {
			arrivalsPerSecond: arrivals,
			completionsPerSecond: 100,
			horizonMs: 300,
		}
		meter.returnsPerSecond = returns
		const decide = (isReturn: boolean) =>
			decideAdmission(fleet, 0, 0, createCandidate(isReturn))
		assert.is(decide(false).fraction?.toFixed(6), fraction.toFixed(6))
		assert.is(decide(true).isAdmitted, true)
	})

test.run()
