/**
 * Adaptation of a map change's lead and probe timeout to earlier arming times, without a
 * network. The lossy case models 192 ranks, a fifth of them in a data centre whose links
 * lose 2.5 % of the packets; a lost packet arrives 200 ms late, which is TCP's minimum
 * retransmission timeout.
 */

import { createRandom } from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	computeLeadMs,
	computeProbeTimeoutMs,
	raiseArmingMs,
	updateArmingMs,
} from '../src/index.ts'

const ROUND_TRIP_MS = 50
const LOSSY_RANKS = 38
const LOSS_RATE = 0.025
const RETRANSMIT_MS = 200

const ARMINGS = [
	{ name: 'no round was observed', armingMs: 0, lead: 220, probe: 210 },
	{ name: 'arming was short', armingMs: 100, lead: 220, probe: 210 },
	{ name: 'arming took long', armingMs: 400, lead: 500, probe: 350 },
]

for (const { name, armingMs, lead, probe } of ARMINGS)
	test(`arming: lead and probe timeout when ${name}`, () => {
		assert.is(computeLeadMs(armingMs, ROUND_TRIP_MS), lead)
		assert.is(computeProbeTimeoutMs(armingMs, ROUND_TRIP_MS), probe)
	})

test('arming: the probe timeout grows after a timeout and falls after short rounds', () => {
	const raised = raiseArmingMs(0, 210)
	assert.ok(computeProbeTimeoutMs(raised, ROUND_TRIP_MS) > 210)
	let armingMs = raised
	for (let round = 0; round < 12; round++)
		armingMs = updateArmingMs(armingMs, 90)
	assert.is(computeLeadMs(armingMs, ROUND_TRIP_MS), 220)
	let worst = 0
	for (let round = 0; round < 12; round++)
		worst = raiseArmingMs(worst, computeProbeTimeoutMs(worst, ROUND_TRIP_MS))
	assert.ok(computeLeadMs(worst, ROUND_TRIP_MS) <= 1_000, 'the lead is bounded')
})

test('arming: on lossy links most rounds arm, and few of them delay passes', () => {
	const random = createRandom(25)
	// Round trip of the slowest rank: each rank's request and answer may be lost.
	const drawRoundTripMs = () => {
		let took = ROUND_TRIP_MS
		for (let packet = 0; packet < 2 * LOSSY_RANKS; packet++)
			if (random() < LOSS_RATE) took = ROUND_TRIP_MS + RETRANSMIT_MS
		return took
	}
	let armingMs = 0
	let armed = 0
	let delayed = 0
	const rounds = 100
	for (let round = 0; round < rounds; round++) {
		const probe = drawRoundTripMs()
		const limit = computeProbeTimeoutMs(armingMs, ROUND_TRIP_MS)
		if (probe > limit) {
			armingMs = raiseArmingMs(armingMs, limit)
			continue
		}
		const took = probe + drawRoundTripMs()
		if (took > computeLeadMs(armingMs, ROUND_TRIP_MS)) delayed++
		armingMs = updateArmingMs(armingMs, took)
		armed++
	}
	assert.ok(armed >= 0.9 * rounds, `${armed} of ${rounds} armed`)
	assert.ok(delayed <= 0.1 * rounds, `passes delayed in ${delayed}`)
})

test.run()
