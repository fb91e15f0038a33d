/** Elapsed time where a process is kept from the processor between two readings. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { clocks, readElapsed, readSuspendedMs } from '../src/index.ts'

const real = { ...clocks }

test.after.each(() => {
	Object.assign(clocks, real)
})

/** Clocks that agree, and stand still but for what `cost` says each reading takes. */
function stubClocks(costs: readonly number[]): void {
	let at = 0
	let reading = 0
	const read = (base: number) => {
		const told = base + at
		at += costs[reading++] ?? 0
		return told
	}
	const [now, wall] = [real.now(), real.wall()]
	clocks.now = () => read(now)
	clocks.wall = () => read(wall)
}

const CASES: { name: string; costs: readonly number[] }[] = [
	{ name: 'before the time of day is read', costs: [400] },
	{ name: 'after the time of day is read', costs: [0, 400] },
	{ name: 'at each reading', costs: Array.from({ length: 12 }, () => 400) },
]

for (const { name, costs } of CASES)
	test(`a process that waits ${name} was not suspended`, () => {
		readElapsed()
		const before = readSuspendedMs()
		stubClocks(costs)
		for (let look = 0; look < 6; look++) readElapsed()
		assert.is(readSuspendedMs(), before)
	})

test('a VM that was suspended was', () => {
	readElapsed()
	const before = readSuspendedMs()
	clocks.wall = () => real.wall() + 3_000
	assert.ok(readSuspendedMs() - before >= 2_900)
})

test.run()
