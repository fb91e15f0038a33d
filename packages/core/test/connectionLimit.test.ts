/** Whether an entry takes new connections while most of them are handed to it. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ProcessLoad } from '../src/index.ts'
import {
	findConnectionOverload,
	isSampleDue,
	OVERLOAD_TICKS,
} from '../src/index.ts'

const IDLE: ProcessLoad = {
	sockets: 100,
	maxSockets: 1_000,
	tickDelaysMs: Array.from({ length: OVERLOAD_TICKS }, () => 2),
	hasPeers: true,
}
const LATE = Array.from({ length: OVERLOAD_TICKS }, () => 150)

const CASES = [
	{ name: 'an idle process', load: {}, overload: undefined },
	{ name: 'nearly all sockets', load: { sockets: 900 }, overload: 'sockets' },
	{ name: 'most sockets', load: { sockets: 899 }, overload: undefined },
	{
		name: 'all ticks late',
		load: { tickDelaysMs: LATE },
		overload: 'processor',
	},
	{
		name: 'one tick in time',
		load: { tickDelaysMs: [...LATE.slice(1), 5] },
		overload: undefined,
	},
	{
		name: 'a suspension of the VM',
		load: { tickDelaysMs: [9_000, ...IDLE.tickDelaysMs.slice(1)] },
		overload: undefined,
	},
	{
		name: 'a start with few ticks',
		load: { tickDelaysMs: [400, 300] },
		overload: undefined,
	},
	{
		name: 'no other entry',
		load: { sockets: 1_000, tickDelaysMs: LATE, hasPeers: false },
		overload: undefined,
	},
] as const

for (const { name, load, overload } of CASES)
	test(`connection limit: ${name}`, () => {
		assert.is(findConnectionOverload({ ...IDLE, ...load }), overload)
	})

test('connection limit: one connection a second is taken', () => {
	assert.equal([0, 999, 1_000].map(isSampleDue), [false, false, true])
})

test.run()
