/**
 * Time until a map change reaches all ranks of a large group. With demand that shifts
 * every 3.6 s, a change that takes a second is of little use. Messages are simulated in
 * virtual time, over links with bandwidth and latency and through processes with a
 * fraction of a core, without a network. Link and core are those of the smallest known VM
 * of an agent; the delta is that of a plan of 650 copies, computed by the real functions.
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
	computeMapDelta,
	countHops,
	predictBroadcastMs,
	splitBranches,
} from '../src/index.ts'

const BYTES_PER_MS = 525
const LATENCY_MS = 1.4
/** Time to process a message and relay it, ms on 0.4 of a core. */
const WORK_MS = 3
const COPIES_PER_RANK = 3.4

/** Returns when each of `count` agents receives an order that is sent at `from`. */
function simulateBroadcast(
	count: number,
	fanOut: number,
	orderBytes: number,
	from = 0,
): number[] {
	const all = Array.from({ length: count }, (_, at) => at)
	const times: number[] = []
	let sentAt = from
	for (const [, ...behind] of splitBranches(all, fanOut)) {
		// The sender's link transmits the messages one after the other.
		sentAt += (orderBytes + behind.length * ADDRESS_BYTES) / BYTES_PER_MS
		const relayedAt = sentAt + LATENCY_MS + WORK_MS
		times.push(relayedAt)
		times.push(
			...simulateBroadcast(behind.length, fanOut, orderBytes, relayedAt),
		)
	}
	return times
}

/** Returns the size of the delta from the initial map to a planned one, bytes. */
function deltaBytes(ranks: number): number {
	const random = createRandom(192)
	const experts = 2 * ranks
	const initial = distributeRoundRobin(ranks, { experts })
	const map: GroupMap = Array.from({ length: 10 }, () => initial)
	const changed = map.map(placement => placement.map(own => [...own]))
	for (let copy = 0; copy < COPIES_PER_RANK * ranks; copy++) {
		const own = changed[randomIndex(random, 10)]![randomIndex(random, ranks)]!
		const expert = randomIndex(random, experts)
		if (own.length < 3 && !own.includes(expert)) own.push(expert)
	}
	const base = { epoch: 1, version: 0, map, experts }
	return JSON.stringify(computeMapDelta(base, changed)).length + 120
}

const GROUPS = [
	{ ranks: 16, maxMs: 20 },
	{ ranks: 72, maxMs: 60 },
	{ ranks: 192, maxMs: 150 },
	{ ranks: 512, maxMs: 420 },
]

for (const { ranks, maxMs } of GROUPS)
	test(`order tree: a delta reaches ${ranks} ranks within ${maxMs} ms`, () => {
		const orderBytes = deltaBytes(ranks)
		const load = { orderBytes, bytesPerMs: BYTES_PER_MS }
		const fanOut = chooseFanOut(ranks - 1, load)
		const times = simulateBroadcast(ranks - 1, fanOut, orderBytes)
		assert.is(times.length, ranks - 1)
		const last = Math.max(...times)
		assert.ok(last < maxMs, `${last} ms by ${fanOut}, ${orderBytes} bytes`)
		const direct = Math.max(
			...simulateBroadcast(ranks - 1, ranks - 1, orderBytes),
		)
		assert.ok(last <= direct, `${last} ms, ${direct} ms without a tree`)
		const predicted = predictBroadcastMs(ranks - 1, fanOut, load)
		assert.ok(predicted > last / 2 && predicted < 2 * last, `${predicted}`)
	})

test('order tree: a broadcast to 192 ranks is faster than in two steps of 14', () => {
	const orderBytes = deltaBytes(192)
	const load = { orderBytes, bytesPerMs: BYTES_PER_MS }
	const fanOut = chooseFanOut(191, load)
	const last = Math.max(...simulateBroadcast(191, fanOut, orderBytes))
	const twoSteps = Math.max(...simulateBroadcast(191, 14, orderBytes))
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
	test(`order tree: ${count} ranks with a fan-out of ${fanOut} take ${hops} hops`, () => {
		assert.is(countHops(count, fanOut), hops)
	})

test.run()
