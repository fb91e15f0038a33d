/**
 * Guards against an order of another agent that holds an agent's event loop for ever or
 * takes its heap, because a number in it is odd (rule FAULT).
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { MapDelta } from '../src/mapDelta.ts'
import { applyMapDelta, createMapCache } from '../src/mapDelta.ts'
import { unpackMap } from '../src/orderMessage.ts'
import { countHops, splitBranches } from '../src/orderTree.ts'
import { encodeVarints } from '../src/varints.ts'

const MANY = 2 ** 31
/** Memory that refusing such an order may take, bytes. */
const MAX_TAKEN_BYTES = 33_554_432

const PACKED: { name: string; numbers: number[] }[] = [
	{ name: 'many sets without ranks', numbers: [MANY, 0] },
	{ name: 'many sets', numbers: [MANY, 2, 0, 0] },
	{ name: 'many ranks', numbers: [1, MANY] },
	{ name: 'many experts', numbers: [1, 1, MANY] },
	{ name: 'some millions of experts', numbers: [1, 1, 3e7] },
]
for (const { name, numbers } of PACKED)
	test(`odd orders: a packed map that claims ${name} is refused`, () => {
		const isRangeError = (err: Error) => err instanceof RangeError
		const packed = encodeVarints(numbers)
		const before = process.memoryUsage().heapTotal
		assert.throws(() => unpackMap(packed), isRangeError)
		const takenBytes = process.memoryUsage().heapTotal - before
		assert.ok(takenBytes < MAX_TAKEN_BYTES, `${takenBytes} bytes`)
	})

const DELTA: MapDelta = {
	base: 0,
	sets: 1,
	ranks: 2,
	experts: 4,
	packed: '',
	sum: 0,
}
for (const value of [-1, 0, 1.5, 1e9, 1e300])
	for (const field of ['sets', 'ranks', 'experts'])
		test(`odd orders: a delta for ${value} ${field} has no base`, () => {
			const delta = { ...DELTA, [field]: value }
			assert.is(applyMapDelta(createMapCache(), 1, delta), undefined)
		})

const RECIPIENTS = ['a', 'b', 'c', 'd', 'e']
for (const fanOut of [-1, 0, 0.5, 1, 1e300])
	test(`odd orders: a fan-out of ${fanOut} reaches each recipient once`, () => {
		const branches = splitBranches(RECIPIENTS, fanOut)
		assert.equal(branches.flat(), RECIPIENTS)
		assert.ok(countHops(RECIPIENTS.length, fanOut) <= RECIPIENTS.length)
	})

test.run()
