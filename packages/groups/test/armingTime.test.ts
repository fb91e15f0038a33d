/**
 * The lead of a change and the limit of its probe follow what was seen. Pattern of
 * the lossy case: 192 ranks, a fifth of them in a data centre whose links lose 2.5 in
 * 100 packets; a lost one comes 200 ms late, the least that TCP waits. No network.
 */

import { createRandom } from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { leadMsOf, noteArmed, noteMissed, probeLimitMs } from '../src/index.ts'

const TRIP_MS = 50
const LOSSY_RANKS = 38
const LOSS = 0.025
const RETRANSMIT_MS = 200

const ARMINGS = [
	{ name: 'nothing was seen', armingMs: 0, lead: 220, probe: 210 },
	{ name: 'arming is short', armingMs: 100, lead: 220, probe: 210 },
	{ name: 'arming took long', armingMs: 400, lead: 500, probe: 350 },
]

for (const { name, armingMs, lead, probe } of ARMINGS)
	test(`arming: lead and limit when ${name}`, () => {
		assert.is(leadMsOf(armingMs, TRIP_MS), lead)
		assert.is(probeLimitMs(armingMs, TRIP_MS), probe)
	})

test('arming: a limit that was missed grows, and falls when rounds are short', () => {
	const missed = noteMissed(0, 210)
	assert.ok(probeLimitMs(missed, TRIP_MS) > 210)
	let armingMs = missed
	for (let round = 0; round < 12; round++) armingMs = noteArmed(armingMs, 90)
	assert.is(leadMsOf(armingMs, TRIP_MS), 220)
	let worst = 0
	for (let round = 0; round < 12; round++)
		worst = noteMissed(worst, probeLimitMs(worst, TRIP_MS))
	assert.ok(leadMsOf(worst, TRIP_MS) <= 1_000, 'not longer and longer')
})

test('arming: on lossy links most rounds arm, with passes waiting in few', () => {
	const random = createRandom(25)
	// The slowest answer of a trip: each rank's question and answer may be lost.
	const tripOf = () => {
		let took = TRIP_MS
		for (let packet = 0; packet < 2 * LOSSY_RANKS; packet++)
			if (random() < LOSS) took = TRIP_MS + RETRANSMIT_MS
		return took
	}
	let armingMs = 0
	let armed = 0
	let waited = 0
	const rounds = 100
	for (let round = 0; round < rounds; round++) {
		const probe = tripOf()
		const limit = probeLimitMs(armingMs, TRIP_MS)
		if (probe > limit) {
			armingMs = noteMissed(armingMs, limit)
			continue
		}
		const took = probe + tripOf()
		if (took > leadMsOf(armingMs, TRIP_MS)) waited++
		armingMs = noteArmed(armingMs, took)
		armed++
	}
	assert.ok(armed >= 0.9 * rounds, `${armed} of ${rounds} armed`)
	assert.ok(waited <= 0.1 * rounds, `passes waited in ${waited}`)
})

test.run()
