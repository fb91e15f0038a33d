/** Tests which requests have the same fingerprint. */

import type { TrafficTeam } from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { bodyLengthOf, fingerprintOf } from '../src/fingerprint.ts'
import type { CallerRequest } from '../src/job.ts'

const RANGERS: TrafficTeam = { name: 'rangers', keys: ['a', 'b'], priority: 1 }
const GUESTS: TrafficTeam = { name: 'guests', keys: ['c'], priority: 1 }

const FIRST = {
	id: 'one',
	method: 'POST',
	path: '/r/x?page=1',
	team: RANGERS,
	body: Buffer.from('a body'),
	lastEventId: undefined as string | undefined,
}

const CASES: { name: string; other: Partial<typeof FIRST>; same: boolean }[] = [
	{ name: 'a retry with another id', other: { id: 'two' }, same: true },
	{ name: 'a resumed stream', other: { lastEventId: '7' }, same: true },
	{ name: 'another path', other: { path: '/r/y' }, same: false },
	{ name: 'another query', other: { path: '/r/x?page=2' }, same: false },
	{ name: 'another method', other: { method: 'PUT' }, same: false },
	{ name: 'another team', other: { team: GUESTS }, same: false },
	{ name: 'another body', other: { body: Buffer.from('b body') }, same: false },
	{ name: 'no body', other: { body: Buffer.alloc(0) }, same: false },
]

function fingerprint(request: typeof FIRST): string {
	return fingerprintOf({ ...request, fingerprint: undefined } as CallerRequest)
}

for (const { name, other, same } of CASES)
	test(`fingerprint: ${name} gives ${same ? 'the same' : 'another'} fingerprint`, () => {
		const second = fingerprint({ ...FIRST, ...other })
		assert.is(second === fingerprint(FIRST), same)
	})

test('fingerprint: contains the length of the body', () => {
	for (const length of [0, 35, 36, 1_000_000]) {
		const body = Buffer.alloc(length)
		assert.is(bodyLengthOf(fingerprint({ ...FIRST, body })), length)
	}
})

test.run()
