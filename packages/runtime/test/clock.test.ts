/**
 * Elapsed time when the process loses the processor between the readings of the two
 * clocks. The difference must not count as a suspension of the VM.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { clocks, readElapsed, readSuspendedMs } from '../src/index.ts'

const real = { ...clocks }

test.after.each(() => {
	Object.assign(clocks, real)
})

/** Replaces the clocks by ones that advance only by the cost of each reading, ms. */
function stubClocks(costs: readonly number[]): void {
	let at = 0
	let reading = 0
	const read = (base: number) => {
		const value = base + at
		at += costs[reading++] ?? 0
		return value
	}
	const [now, wall] = [real.now(), real.wall()]
	clocks.now = () => read(now)
	clocks.wall = () => read(wall)
}

const CASES: { name: string; costs: readonly number[] }[] = [
	{ name: 'before the wall clock is read', costs: [400] },
	{ name: 'after the wall clock is read', costs: [0, 400] },
	{ name: 'at each reading', costs: Array.from({ length: 12 }, () => 400) },
]

for (const { name, costs } of CASES)
	test(`a delay ${name} does not count as a suspension`, () => {
		readElapsed()
		const before = readSuspendedMs()
		stubClocks(costs)
		for (let reading = 0; reading < 6; reading++) readElapsed()
		assert.is(readSuspendedMs(), before)
	})

test('a difference between the clocks counts as a suspension', () => {
	readElapsed()
	const before = readSuspendedMs()
	clocks.wall = () => real.wall() + 3_000
	assert.ok(readSuspendedMs() - before >= 2_900)
})

test.run()
