/** The soak's judges: each promise that is broken is seen. */

import type { IncomingMessage } from 'node:http'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { WIRE } from '../../platform/src/index.ts'
import { SERVICE_OF } from '../src/config.ts'
import { isHeldRightly } from '../src/unavailability.ts'
import type { Got } from '../src/checks.ts'
import { judgeAnswer, judgePart, judgeRun } from '../src/checks.ts'
import { judgeLeavings } from '../src/leaving.ts'
import { judgeRests } from '../src/backoffs.ts'
import { createTroubles } from '../src/disturbances.ts'
import type { Asked, Record } from '../src/types.ts'
import { createRecord } from '../src/types.ts'
import type { World } from '../src/world.ts'

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
	error: '',
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

/** A world as far as the judges of rests and leavings look at it. */
function worldOf(part: object): World {
	const record = createRecord()
	return { record, troubles: createTroubles(), ...part } as unknown as World
}

interface SpokenCase {
	readonly name: string
	/** When requests came to the server, ms. */
	readonly arrivals: readonly number[]
	/** Whether the entry was in trouble meanwhile. */
	readonly troubled?: boolean
	readonly broken: number
}
const RESTS: readonly SpokenCase[] = [
	{ name: 'two late requests', arrivals: [100, 200, 900, 950], broken: 0 },
	{ name: 'three late requests', arrivals: [900, 950, 1_000], broken: 1 },
	{ name: 'requests after it', arrivals: [3_001, 3_002, 3_003], broken: 0 },
	{
		name: 'an entry in trouble',
		arrivals: [900, 950, 1_000],
		troubled: true,
		broken: 0,
	},
]
for (const { name, arrivals, troubled, broken } of RESTS)
	test(`judge of rests: ${name}`, () => {
		const who = { serverId: 's', entry: 0, life: 1 }
		const world = worldOf({
			restLog: {
				rests: [{ ...who, at: 0, until: 3_000 }],
				arrivals: arrivals.map(at => ({ ...who, at })),
			},
		})
		if (troubled)
			world.troubles.spans.push({ who: 'entry-0', from: 500, until: 600 })
		judgeRests(world)
		assert.is(world.record.broken.length, broken)
	})

/** No server of the plain service is free for entry 0 at that moment. */
const HELD_AT = 500
const REFUSED: Asked = {
	...ASKED,
	sentAt: HELD_AT,
	answeredAt: HELD_AT + 10,
	status: 503,
	error: 'resting',
}
const REFUSALS: readonly {
	readonly name: string
	readonly asked: Asked
	readonly rightly: boolean
}[] = [
	{ name: 'at that moment', asked: REFUSED, rightly: true },
	{
		name: 'long before it',
		asked: { ...REFUSED, sentAt: 100, answeredAt: 110 },
		rightly: false,
	},
	{
		name: 'long after it',
		asked: { ...REFUSED, sentAt: 600, answeredAt: 610 },
		rightly: false,
	},
	{
		name: 'by another entry',
		asked: { ...REFUSED, entry: 1 },
		rightly: false,
	},
	{
		name: 'of another service',
		asked: { ...REFUSED, kind: 'stream' },
		rightly: false,
	},
	{
		name: 'for another reason',
		asked: { ...REFUSED, error: 'overloaded' },
		rightly: false,
	},
	{
		name: 'after it may have run',
		asked: { ...REFUSED, status: 502, error: 'linkLost' },
		rightly: false,
	},
]
for (const { name, asked, rightly } of REFUSALS)
	test(`judge of recovery: refused ${name}, ${rightly ? 'rightly' : 'wrongly'}`, () => {
		const moment = { at: HELD_AT, entry: 0, service: SERVICE_OF.once }
		assert.is(isHeldRightly({ heldMoments: [moment] }, asked), rightly)
	})

const LEAVINGS: readonly (SpokenCase & { readonly life: number })[] = [
	{ name: 'asked in time', arrivals: [1_900], life: 1, broken: 0 },
	{ name: 'asked too late', arrivals: [2_100], life: 1, broken: 1 },
	{ name: 'asked of the next life', arrivals: [2_100], life: 2, broken: 0 },
]
for (const { name, arrivals, life, broken } of LEAVINGS)
	test(`judge of leavings: ${name}`, () => {
		const passed = { serverId: 's', entry: 0, life: 1, at: 0 }
		const world = worldOf({ passedLeavings: [passed] })
		const { asked, runs } = world.record
		for (const sentAt of arrivals) {
			const id = String(sentAt)
			asked.set(id, { ...ASKED, id, life, sentAt })
			const startedAt = sentAt + 5
			const run = { id, serverId: 's', startedAt, givenMs: 900 }
			runs.set(id, [{ ...run, endedAt: undefined }])
		}
		judgeLeavings(world)
		assert.is(world.record.broken.length, broken)
	})

test.run()
