/** The soak's judges: each promise that is broken is seen. */

import type { IncomingMessage } from 'node:http'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { WIRE } from '../../platform/src/index.ts'
import type { Got } from '../src/judge.ts'
import { judgeAnswer, judgePart, judgeRun } from '../src/judge.ts'
import type { Asked, Record } from '../src/types.ts'
import { createRecord } from '../src/types.ts'

const ASKED: Asked = {
	id: 'a',
	kind: 'once',
	path: '/o/1',
	body: 'body',
	team: 'rangers',
	entry: 0,
	life: 1,
	sentAt: 0,
	givenUpAt: 1_000,
	deadlineAt: 1_000,
	leftAt: undefined,
	gaveUp: false,
	promisedAt: undefined,
	answeredAt: undefined,
	status: 0,
}
const HEADERS = {
	[WIRE.requestId]: 'a',
	[WIRE.team]: 'rangers',
	[WIRE.deadlineMs]: '900',
}
const WHOLE = 'the whole answer'
const GOT: Got = {
	status: 200,
	seal: 'seal',
	answeredId: 'a',
	retryAfter: undefined,
	body: WHOLE,
	whole: true,
}

function runIt(record: Record, change: object = {}, body = 'body'): void {
	const headers = { ...HEADERS, ...change }
	const req = { url: '/o/1', headers } as unknown as IncomingMessage
	judgeRun(record, 's', req, body)
}

const CASES: {
	name: string
	deed: (record: Record) => void
	/** Promises that are broken. */
	broken: string[]
}[] = [
	{ name: 'a run and its answer', deed: record => answer(record), broken: [] },
	{
		name: 'a run of a request never sent',
		deed: record => runIt(record, { [WIRE.requestId]: 'b' }),
		broken: ['UNASKED'],
	},
	{
		name: 'a changed body',
		deed: record => runIt(record, {}, 'other'),
		broken: ['UNASKED'],
	},
	{
		name: 'another team',
		deed: record => runIt(record, { [WIRE.team]: 'guests' }),
		broken: ['UNASKED'],
	},
	{
		name: 'a key shown to the server',
		deed: record => runIt(record, { authorization: 'Token k' }),
		broken: ['UNASKED'],
	},
	{
		name: 'two runs of what may run once',
		deed(record) {
			runIt(record)
			runIt(record)
		},
		broken: ['TWICE'],
	},
	{
		name: 'a refusal of what has run',
		deed: record => answer(record, { status: 503, body: '' }),
		broken: ['REFUSED'],
	},
	{
		name: 'a run after a refusal',
		deed(record) {
			judgeAnswer(record, askedIn(record), { ...GOT, status: 503 }, WHOLE)
			runIt(record)
		},
		broken: ['REFUSED'],
	},
	{
		name: "another request's answer",
		deed: record => answer(record, { answeredId: 'b' }),
		broken: ['MIXED'],
	},
	{
		name: 'half an answer that looks whole',
		deed: record => answer(record, { body: 'the whole' }),
		broken: ['MIXED'],
	},
	{
		name: 'a success without a run',
		deed: record => judgeAnswer(record, askedIn(record), GOT, WHOLE),
		broken: ['MIXED'],
	},
	{
		name: 'a part of a stream in order',
		deed: record => judgePart(record, askedIn(record), 'the', WHOLE),
		broken: [],
	},
	{
		name: 'a part of a stream that is missing',
		deed: record => judgePart(record, askedIn(record), 'whole', WHOLE),
		broken: ['ORDER'],
	},
]

function askedIn(record: Record): Asked {
	return record.asked.get('a')!
}

function answer(record: Record, change: Partial<Got> = {}): void {
	runIt(record)
	judgeAnswer(record, askedIn(record), { ...GOT, ...change }, WHOLE)
}

for (const { name, deed, broken } of CASES)
	test(`soak judge: ${name}`, () => {
		const record = createRecord()
		record.asked.set('a', { ...ASKED })
		deed(record)
		const promises = record.broken.map(line => line.split(':')[0])
		assert.equal(promises, broken)
	})

test.run()
