/** The soak's judges: each promise that is broken is seen. */

import type { IncomingMessage } from 'node:http'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { WIRE } from '../../platform/src/index.ts'
import { SERVICE_OF } from '../src/config.ts'
import { isRefusalJustified } from '../src/held.ts'
import type { CallerAnswer } from '../src/judge.ts'
import { checkAnswer, checkPartialStream, checkRun } from '../src/judge.ts'
import { checkLeaving } from '../src/leavings.ts'
import { checkBackoffs } from '../src/rests.ts'
import { createDisturbances } from '../src/trouble.ts'
import type { RequestRecord, SoakRecord } from '../src/types.ts'
import { createRecord } from '../src/types.ts'
import type { World } from '../src/world.ts'

const ASKED: RequestRecord = {
	id: 'a',
	kind: 'once',
	path: '/o/1',
	body: 'body',
	team: 'rangers',
	entry: 0,
	incarnation: 1,
	sentAt: 0,
	timeoutAt: 1_000,
	deadlineAt: 1_000,
	abandonedAt: undefined,
	timedOut: false,
	promisedNotRunAt: undefined,
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
const GOT: CallerAnswer = {
	status: 200,
	seal: 'seal',
	requestId: 'a',
	retryAfter: undefined,
	body: WHOLE,
	complete: true,
}

function runIt(record: SoakRecord, change: object = {}, body = 'body'): void {
	const headers = { ...HEADERS, ...change }
	const req = { url: '/o/1', headers } as unknown as IncomingMessage
	checkRun(record, 's', req, body)
}

const CASES: {
	name: string
	deed: (record: SoakRecord) => void
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
			checkAnswer(record, askedIn(record), { ...GOT, status: 503 }, WHOLE)
			runIt(record)
		},
		broken: ['REFUSED'],
	},
	{
		name: "another request's answer",
		deed: record => answer(record, { requestId: 'b' }),
		broken: ['MIXED'],
	},
	{
		name: 'half an answer that looks whole',
		deed: record => answer(record, { body: 'the whole' }),
		broken: ['MIXED'],
	},
	{
		name: 'a success without a run',
		deed: record => checkAnswer(record, askedIn(record), GOT, WHOLE),
		broken: ['MIXED'],
	},
	{
		name: 'a part of a stream in order',
		deed: record => checkPartialStream(record, askedIn(record), 'the', WHOLE),
		broken: [],
	},
	{
		name: 'a part of a stream that is missing',
		deed: record => checkPartialStream(record, askedIn(record), 'whole', WHOLE),
		broken: ['ORDER'],
	},
]

function askedIn(record: SoakRecord): RequestRecord {
	return record.requests.get('a')!
}

function answer(record: SoakRecord, change: Partial<CallerAnswer> = {}): void {
	runIt(record)
	checkAnswer(record, askedIn(record), { ...GOT, ...change }, WHOLE)
}

for (const { name, deed, broken } of CASES)
	test(`soak judge: ${name}`, () => {
		const record = createRecord()
		record.requests.set('a', { ...ASKED })
		deed(record)
		const promises = record.violations.map(line => line.split(':')[0])
		assert.equal(promises, broken)
	})

/** A world as far as the judges of rests and leavings look at it. */
function worldOf(part: object): World {
	const record = createRecord()
	return {
		record,
		disturbances: createDisturbances(),
		...part,
	} as unknown as World
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
		const who = { serverId: 's', entry: 0, incarnation: 1 }
		const world = worldOf({
			backoffLog: {
				backoffs: [{ ...who, at: 0, until: 3_000 }],
				arrivals: arrivals.map(at => ({ ...who, at })),
			},
		})
		if (troubled)
			world.disturbances.spans.push({ vm: 'entry-0', from: 500, until: 600 })
		checkBackoffs(world)
		assert.is(world.record.violations.length, broken)
	})

/** No server of the plain service is free for entry 0 at that moment. */
const HELD_AT = 500
const REFUSED: RequestRecord = {
	...ASKED,
	sentAt: HELD_AT,
	answeredAt: HELD_AT + 10,
	status: 503,
	error: 'resting',
}
const REFUSALS: readonly {
	readonly name: string
	readonly request: RequestRecord
	readonly rightly: boolean
}[] = [
	{ name: 'at that moment', request: REFUSED, rightly: true },
	{
		name: 'long before it',
		request: { ...REFUSED, sentAt: 100, answeredAt: 110 },
		rightly: false,
	},
	{
		name: 'long after it',
		request: { ...REFUSED, sentAt: 600, answeredAt: 610 },
		rightly: false,
	},
	{
		name: 'by another entry',
		request: { ...REFUSED, entry: 1 },
		rightly: false,
	},
	{
		name: 'of another service',
		request: { ...REFUSED, kind: 'stream' },
		rightly: false,
	},
	{
		name: 'for another reason',
		request: { ...REFUSED, error: 'overloaded' },
		rightly: false,
	},
	{
		name: 'after it may have run',
		request: { ...REFUSED, status: 502, error: 'linkLost' },
		rightly: false,
	},
]
for (const { name, request, rightly } of REFUSALS)
	test(`judge of recovery: refused ${name}, ${rightly ? 'rightly' : 'wrongly'}`, () => {
		const moment = { at: HELD_AT, entry: 0, service: SERVICE_OF.once }
		assert.is(
			isRefusalJustified({ unavailableMoments: [moment] }, request),
			rightly,
		)
	})

const LEAVINGS: readonly (SpokenCase & { readonly incarnation: number })[] = [
	{ name: 'asked in time', arrivals: [1_900], incarnation: 1, broken: 0 },
	{ name: 'asked too late', arrivals: [2_100], incarnation: 1, broken: 1 },
	{
		name: 'asked of the next life',
		arrivals: [2_100],
		incarnation: 2,
		broken: 0,
	},
]
for (const { name, arrivals, incarnation, broken } of LEAVINGS)
	test(`judge of leavings: ${name}`, () => {
		const passed = { serverId: 's', entry: 0, incarnation: 1, at: 0 }
		const world = worldOf({ relayedLeavings: [passed] })
		const { requests: request, runs } = world.record
		for (const sentAt of arrivals) {
			const id = String(sentAt)
			request.set(id, { ...ASKED, id, incarnation, sentAt })
			const startedAt = sentAt + 5
			const run = { id, serverId: 's', startedAt, deadlineMs: 900 }
			runs.set(id, [{ ...run, endedAt: undefined }])
		}
		checkLeaving(world)
		assert.is(world.record.violations.length, broken)
	})

test.run()
