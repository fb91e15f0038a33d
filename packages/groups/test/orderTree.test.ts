/**
 * How long a change of the map takes to reach all ranks: pattern of a large group
 * whose demand turns every 3.6 s, so that a change that takes a second is of little
 * use. Messages travel in virtual time, over links with a rate and a delay and
 * through processes with a part of a core; no network. Link and core are those of
 * the smallest VM that an agent is known to have; the change is that of a plan of
 * 650 copies, found by the real functions.
 */

import type { GroupMap } from '@juniperhook/core'
import {
	createRandom,
	distributeRoundRobin,
	randomIndex,
} from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	ADDRESS_BYTES,
	chooseFanOut,
	countHops,
	findChanges,
	predictSpreadMs,
	splitBranches,
} from '../src/index.ts'

const BYTES_PER_MS = 525
const WAY_MS = 1.4
/** To take a message and write those that follow from it, ms of 0.4 core. */
const WORK_MS = 3
const COPIES_PER_RANK = 3.4

/** When each of `count` agents has an order, sent by one who has it at `from`. */
function play(
	count: number,
	fanOut: number,
	orderBytes: number,
	from = 0,
): number[] {
	const all = Array.from({ length: count }, (_, at) => at)
	const times: number[] = []
	let sentAt = from
	for (const [, ...behind] of splitBranches(all, fanOut)) {
		// Messages leave one after the other over the sender's link.
		sentAt += (orderBytes + behind.length * ADDRESS_BYTES) / BYTES_PER_MS
		const takenAt = sentAt + WAY_MS + WORK_MS
		times.push(takenAt)
		times.push(...play(behind.length, fanOut, orderBytes, takenAt))
	}
	return times
}

/** Bytes of the change from the map that a group forms with to one for demand. */
function changeBytes(ranks: number): number {
	const random = createRandom(192)
	const experts = 2 * ranks
	const dealt = distributeRoundRobin(ranks, { experts })
	const map: GroupMap = Array.from({ length: 10 }, () => dealt)
	const changed = map.map(placement => placement.map(own => [...own]))
	for (let copy = 0; copy < COPIES_PER_RANK * ranks; copy++) {
		const own = changed[randomIndex(random, 10)]![randomIndex(random, ranks)]!
		const expert = randomIndex(random, experts)
		if (own.length < 3 && !own.includes(expert)) own.push(expert)
	}
	const base = { epoch: 1, version: 0, map, experts }
	return JSON.stringify(findChanges(base, changed)).length + 120
}

const GROUPS = [
	{ ranks: 16, atMostMs: 20 },
	{ ranks: 72, atMostMs: 60 },
	{ ranks: 192, atMostMs: 150 },
	{ ranks: 512, atMostMs: 420 },
]

for (const { ranks, atMostMs } of GROUPS)
	test(`order tree: a change reaches ${ranks} ranks within ${atMostMs} ms`, () => {
		const orderBytes = changeBytes(ranks)
		const load = { orderBytes, bytesPerMs: BYTES_PER_MS }
		const fanOut = chooseFanOut(ranks - 1, load)
		const times = play(ranks - 1, fanOut, orderBytes)
		assert.is(times.length, ranks - 1)
		const last = Math.max(...times)
		assert.ok(last < atMostMs, `${last} ms by ${fanOut}, ${orderBytes} bytes`)
		const direct = Math.max(...play(ranks - 1, ranks - 1, orderBytes))
		assert.ok(last <= direct, `${last} ms, ${direct} ms one by one`)
		const predicted = predictSpreadMs(ranks - 1, fanOut, load)
		assert.ok(predicted > last / 2 && predicted < 2 * last, `${predicted}`)
	})

test('order tree: 192 ranks are told sooner than in two steps of 14', () => {
	const orderBytes = changeBytes(192)
	const load = { orderBytes, bytesPerMs: BYTES_PER_MS }
	const fanOut = chooseFanOut(191, load)
	const last = Math.max(...play(191, fanOut, orderBytes))
	const twoSteps = Math.max(...play(191, 14, orderBytes))
	assert.ok(last < 0.7 * twoSteps, `${last} ms, ${twoSteps} ms`)
})

const TREES = [
	{ count: 0, fanOut: 3, hops: 0 },
	{ count: 3, fanOut: 3, hops: 1 },
	{ count: 4, fanOut: 3, hops: 2 },
	{ count: 12, fanOut: 3, hops: 2 },
	{ count: 13, fanOut: 3, hops: 3 },
	{ count: 190, fanOut: 190, hops: 1 },
]

for (const { count, fanOut, hops } of TREES)
	test(`order tree: ${count} ranks, ${fanOut} each, ${hops} hops`, () => {
		assert.is(countHops(count, fanOut), hops)
	})

test.run()
