/** Tests what is reported of a process's memory and event loop before it ends. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { HealthSample, MemoryUse } from '../src/index.ts'
import { assessHealth } from '../src/index.ts'

const CALM: HealthSample = { residentMb: 60, lateMs: 0, busyMs: 3 }
const MEMORY: MemoryUse = {
	residentMb: 100,
	heapMb: 40,
	heapLimitMb: 64,
	buffersMb: 50,
}

interface Case {
	readonly name: string
	readonly samples: readonly HealthSample[]
	/** Kinds reported, by sample. */
	readonly reported: readonly (readonly string[])[]
}

const CASES: readonly Case[] = [
	{
		name: 'the first sample tells the memory of a start',
		samples: [CALM, CALM],
		reported: [['memoryGrew'], []],
	},
	{
		name: 'growth is told a step at a time, not each sample',
		samples: [61, 70, 92, 93, 124, 125].map(residentMb => ({
			...CALM,
			residentMb,
		})),
		reported: [['memoryGrew'], [], [], ['memoryGrew'], [], ['memoryGrew']],
	},
	{
		name: 'memory that falls and rises again is told once',
		samples: [100, 60, 100].map(residentMb => ({ ...CALM, residentMb })),
		reported: [['memoryGrew'], [], []],
	},
	{
		name: 'a held event loop is told each time',
		samples: [CALM, { ...CALM, lateMs: 1_000 }, { ...CALM, lateMs: 5_000 }],
		reported: [['memoryGrew'], ['loopHeld'], ['loopHeld']],
	},
	{
		name: 'a short delay is not told',
		samples: [CALM, { ...CALM, lateMs: 999 }],
		reported: [['memoryGrew'], []],
	},
]

for (const { name, samples, reported } of CASES)
	test(`process health: ${name}`, () => {
		const health = { reportedMb: 0, maxHeldMs: 0 }
		const kinds = samples.map(sample =>
			assessHealth(health, sample, () => MEMORY).map(({ kind }) => kind),
		)
		assert.equal(kinds, reported)
		assert.is(health.maxHeldMs, Math.max(...samples.map(one => one.lateMs)))
	})

test.run()
