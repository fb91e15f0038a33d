/** One clock is stepped and not the other. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createElapsedClock, updateElapsedClock } from '../src/index.ts'

const CASES: {
	name: string
	/** What each clock advances by between two looks, ms. */
	steps: readonly { now: number; wall: number }[]
	elapsed: number
	jumps: number
}[] = [
	{
		name: 'both clocks go on',
		steps: [
			{ now: 50, wall: 50 },
			{ now: 5_000, wall: 5_000 },
		],
		elapsed: 5_050,
		jumps: 0,
	},
	{
		name: 'the VM is suspended: only the time of day goes on',
		steps: [{ now: 10, wall: 4_010 }],
		elapsed: 4_010,
		jumps: 1,
	},
	{
		name: 'it is suspended twice',
		steps: [
			{ now: 10, wall: 4_010 },
			{ now: 100, wall: 100 },
			{ now: 10, wall: 2_010 },
		],
		elapsed: 6_120,
		jumps: 2,
	},
	{
		name: 'the process is frozen: both clocks go on',
		steps: [{ now: 6_000, wall: 6_000 }],
		elapsed: 6_000,
		jumps: 0,
	},
	{
		name: 'the time of day is set ahead and back',
		steps: [
			{ now: 50, wall: 2_050 },
			{ now: 50, wall: -1_950 },
			{ now: 50, wall: 50 },
		],
		elapsed: 2_150,
		jumps: 2,
	},
	{
		name: 'the time of day is set back',
		steps: [
			{ now: 50, wall: -3_600_000 },
			{ now: 50, wall: 50 },
		],
		elapsed: 100,
		jumps: 1,
	},
	{
		name: 'the time of day is slewed',
		steps: Array.from({ length: 100 }, () => ({ now: 50, wall: 52 })),
		elapsed: 5_000,
		jumps: 0,
	},
]

for (const { name, steps, elapsed, jumps } of CASES)
	test(name, () => {
		let at = { now: 1_000, wall: 1_700_000_000_000 }
		const clock = createElapsedClock(at)
		const first = updateElapsedClock(clock, at)
		let last = first
		for (const { now, wall } of steps) {
			at = { now: at.now + now, wall: at.wall + wall }
			const told = updateElapsedClock(clock, at)
			assert.ok(told >= last)
			last = told
		}
		assert.is(last - first, elapsed)
		assert.is(clock.jumps, jumps)
	})

test.run()
