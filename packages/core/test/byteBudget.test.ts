/** Guards against transfers without end that together take all memory. */

import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ByteHold } from '../src/index.ts'
import {
	closeHold,
	completeHold,
	createByteBudget,
	emptyHold,
	growHold,
	openHold,
} from '../src/index.ts'

test('byte budget: the largest transfer ends when the sum exceeds the limit', () => {
	const budget = createByteBudget(100)
	const ended: string[] = []
	const [a, b, c] = ['a', 'b', 'c'].map(name =>
		openHold(budget, () => ended.push(name)),
	) as [ByteHold, ByteHold, ByteHold]
	growHold(budget, a, 20)
	growHold(budget, b, 60)
	growHold(budget, c, 20)
	assert.equal(ended, [])
	growHold(budget, a, 1)
	assert.equal(ended, ['b'])
	assert.is(budget.totalBytes, 41)
	growHold(budget, b, 1_000)
	assert.is(budget.totalBytes, 41)
})

test('byte budget: a complete transfer keeps its bytes, and others end for it', () => {
	const budget = createByteBudget(100)
	const ended: string[] = []
	const whole = openHold(budget, () => ended.push('whole'))
	growHold(budget, whole, 90)
	completeHold(whole)
	const late = openHold(budget, () => ended.push('late'))
	growHold(budget, late, 11)
	assert.equal(ended, ['late'])
	closeHold(budget, whole)
	assert.is(budget.totalBytes, 0)
})

test('byte budget: the sum never exceeds the limit and is that of all transfers', () => {
	const step = fc.record({
		kind: fc.constantFrom('open', 'grow', 'empty', 'complete', 'close'),
		at: fc.nat(9),
		bytes: fc.integer({ min: 1, max: 60 }),
	})
	const check = fc.property(fc.array(step, { maxLength: 200 }), steps => {
		const budget = createByteBudget(100)
		const holds: ByteHold[] = []
		for (const { kind, at, bytes } of steps) {
			const hold = holds[at % Math.max(1, holds.length)]
			if (kind === 'open') holds.push(openHold(budget, () => {}))
			else if (!hold) continue
			else if (kind === 'grow' && hold.end) growHold(budget, hold, bytes)
			else if (kind === 'empty') emptyHold(budget, hold)
			else if (kind === 'complete') completeHold(hold)
			else if (kind === 'close') closeHold(budget, hold)
			const sum = [...budget.holds].reduce((all, one) => all + one.bytes, 0)
			assert.is(sum, budget.totalBytes)
			assert.ok(sum <= budget.limitBytes, String(sum))
		}
	})
	fc.assert(check, { seed: 1, numRuns: 500 })
})

test.run()
