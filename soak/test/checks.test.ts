/** The soak's checks detect each kind of broken promise, and only those. */

import type { IncomingMessage } from 'node:http'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { WIRE } from '../../platform/src/index.ts'
import { checkBackoffs } from '../src/backoffs.ts'
import type { CallerAnswer } from '../src/checks.ts'
import { checkAnswer, checkPartialStream, checkRun } from '../src/checks.ts'
import { SERVICE_OF } from '../src/config.ts'
import { createDisturbances } from '../src/disturbances.ts'
import { checkLeaving } from '../src/leaving.ts'
import { checkMemory } from '../src/processes.ts'
import type { RequestRecord, SoakRecord } from '../src/types.ts'
import { createRecord } from '../src/types.ts'
import { isRefusalJustified } from '../src/unavailability.ts'
import type { World } from '../src/world.ts'

const REQUEST: RequestRecord = {
	id: 'a',
	kind: 'once',
	path: '/o/1',
	body: 'body',
	parts: [],
	isComplete: false,
	team: 'rangers',
	entry: 0,
	incarnation: 1,
	sentAt: 0,
	timeoutAt: 1_000,
	deadlineAt: 1_000,
	abandonedAt: undefined,
	callerTimedOut: false,
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
const COMPLETE_BODY = 'the whole answer'
const ANSWER: CallerAnswer = {
	status: 200,
	seal: 'seal',
	requestId: 'a',
	retryAfter: undefined,
	body: COMPLETE_BODY,
	complete: true,
}

function run(record: SoakRecord, change: object = {}, body = 'body'): void {
	const headers = { ...HEADERS, ...change }
	const req = { url: '/o/1', headers } as unknown as IncomingMessage
	checkRun(record, 's', req, body)
}

const CASES: {
	name: string
	act: (record: SoakRecord) => void
	/** Names of the promises reported as broken. */
	broken: string[]
}[] = [
	{ name: 'a run and its answer', act: record => answer(record), broken: [] },
	{
		name: 'a run of a request never sent',
		act: record => run(record, { [WIRE.requestId]: 'b' }),
		broken: ['UNASKED'],
	},
	{
		name: 'a changed body',
		act: record => run(record, {}, 'other'),
		broken: ['UNASKED'],
	},
	{
		name: 'another team',
		act: record => run(record, { [WIRE.team]: 'guests' }),
		broken: ['UNASKED'],
	},
	{
		name: 'an API key passed on to the server',
		act: record => run(record, { authorization: 'Token k' }),
		broken: ['UNASKED'],
	},
	{
		name: 'two runs of a request that may run once',
		act(record) {
			run(record)
			run(record)
		},
		broken: ['TWICE'],
	},
	{
		name: 'a refusal of a request that has run',
		act: record => answer(record, { status: 503, body: '' }),
		broken: ['REFUSED'],
	},
	{
		name: 'a run after a refusal',
		act(record) {
			checkAnswer(
				record,
				requestIn(record),
				{ ...ANSWER, status: 503 },
				COMPLETE_BODY,
			)
			run(record)
		},
		broken: ['REFUSED'],
	},
	{
		name: "another request's answer",
		act: record => answer(record, { requestId: 'b' }),
		broken: ['MIXED'],
	},
	{
		name: 'a short answer that ends by its framing',
		act: record => answer(record, { body: 'the whole' }),
		broken: ['MIXED'],
	},
	{
		name: 'a success without a run',
		act: record =>
			checkAnswer(record, requestIn(record), ANSWER, COMPLETE_BODY),
		broken: ['MIXED'],
	},
	{
		name: 'a truncated stream in order',
		act: record =>
			checkPartialStream(record, requestIn(record), 'the', COMPLETE_BODY),
		broken: [],
	},
	{
		name: 'a truncated stream without its beginning',
		act: record =>
			checkPartialStream(record, requestIn(record), 'whole', COMPLETE_BODY),
		broken: ['ORDER'],
	},
]

function requestIn(record: SoakRecord): RequestRecord {
	return record.requests.get('a')!
}

function answer(record: SoakRecord, change: Partial<CallerAnswer> = {}): void {
	run(record)
	checkAnswer(
		record,
		requestIn(record),
		{ ...ANSWER, ...change },
		COMPLETE_BODY,
	)
}

for (const { name, act, broken } of CASES)
	test(`soak checks: ${name}`, () => {
		const record = createRecord()
		record.requests.set('a', { ...REQUEST })
		act(record)
		const promises = record.violations.map(line => line.split(':')[0])
		assert.equal(promises, broken)
	})

/** Creates a world with only what the checks of backoffs and leaving read. */
function createWorld(state: object): World {
	const record = createRecord()
	return {
		record,
		disturbances: createDisturbances(),
		...state,
	} as unknown as World
}

interface ArrivalCase {
	readonly name: string
	/** When requests were sent or arrived at the server, ms. */
	readonly arrivals: readonly number[]
	/** Whether the entry was disturbed meanwhile. */
	readonly disturbed?: boolean
	readonly broken: number
}
const BACKOFF_CASES: readonly ArrivalCase[] = [
	{
		name: 'two requests after those in flight',
		arrivals: [100, 200, 900, 950],
		broken: 0,
	},
	{
		name: 'three requests after those in flight',
		arrivals: [900, 950, 1_000],
		broken: 1,
	},
	{ name: 'requests after it', arrivals: [3_001, 3_002, 3_003], broken: 0 },
	{
		name: 'three requests of a disturbed entry',
		arrivals: [900, 950, 1_000],
		disturbed: true,
		broken: 0,
	},
]
for (const { name, arrivals, disturbed, broken } of BACKOFF_CASES)
	test(`check of backoffs: ${name}`, () => {
		const sender = { serverId: 's', entry: 0, incarnation: 1 }
		const world = createWorld({
			backoffLog: {
				backoffs: [{ ...sender, at: 0, until: 3_000 }],
				arrivals: arrivals.map(at => ({ ...sender, at })),
			},
		})
		if (disturbed)
			world.disturbances.spans.push({ vm: 'entry-0', from: 500, until: 600 })
		checkBackoffs(world)
		assert.is(world.record.violations.length, broken)
	})

/** Moment at which no server of the plain service is available to entry 0. */
const UNAVAILABLE_AT = 500
const REFUSED: RequestRecord = {
	...REQUEST,
	sentAt: UNAVAILABLE_AT,
	answeredAt: UNAVAILABLE_AT + 10,
	status: 503,
	error: 'resting',
}
const REFUSAL_CASES: readonly {
	readonly name: string
	readonly request: RequestRecord
	readonly justified: boolean
}[] = [
	{ name: 'at that moment', request: REFUSED, justified: true },
	{
		name: 'long before it',
		request: { ...REFUSED, sentAt: 100, answeredAt: 110 },
		justified: false,
	},
	{
		name: 'long after it',
		request: { ...REFUSED, sentAt: 600, answeredAt: 610 },
		justified: false,
	},
	{
		name: 'by another entry',
		request: { ...REFUSED, entry: 1 },
		justified: false,
	},
	{
		name: 'of another service',
		request: { ...REFUSED, kind: 'stream' },
		justified: false,
	},
	{
		name: 'for another reason',
		request: { ...REFUSED, error: 'overloaded' },
		justified: false,
	},
	{
		name: 'after it may have run',
		request: { ...REFUSED, status: 502, error: 'linkLost' },
		justified: false,
	},
]
for (const { name, request, justified } of REFUSAL_CASES)
	test(`check of recovery: refused ${name}, ${justified ? 'justified' : 'not justified'}`, () => {
		const moment = { at: UNAVAILABLE_AT, entry: 0, service: SERVICE_OF.once }
		assert.is(
			isRefusalJustified({ unavailableMoments: [moment] }, request),
			justified,
		)
	})

const LEAVING_CASES: readonly (ArrivalCase & {
	readonly incarnation: number
})[] = [
	{ name: 'sent in time', arrivals: [1_900], incarnation: 1, broken: 0 },
	{ name: 'sent too late', arrivals: [2_100], incarnation: 1, broken: 1 },
	{
		name: 'sent to the next incarnation',
		arrivals: [2_100],
		incarnation: 2,
		broken: 0,
	},
]
for (const { name, arrivals, incarnation, broken } of LEAVING_CASES)
	test(`check of leaving: ${name}`, () => {
		const relayed = { serverId: 's', entry: 0, incarnation: 1, at: 0 }
		const world = createWorld({ relayedLeavings: [relayed] })
		const { requests, runs } = world.record
		for (const sentAt of arrivals) {
			const id = String(sentAt)
			requests.set(id, { ...REQUEST, id, incarnation, sentAt })
			const startedAt = sentAt + 5
			const run = { id, serverId: 's', startedAt, deadlineMs: 900 }
			runs.set(id, [{ ...run, endedAt: undefined }])
		}
		checkLeaving(world)
		assert.is(world.record.violations.length, broken)
	})

const MEMORY_CASES = [
	{ role: 'entry', peaksMb: [349, 350], broken: 0 },
	{ role: 'entry', peaksMb: [351, 360], broken: 1 },
	{ role: 'agent', peaksMb: [100, 218], broken: 0 },
	{ role: 'agent', peaksMb: [219], broken: 1 },
] as const
// Guards against a soak that passes although a process outgrows its machine.
for (const { role, peaksMb, broken } of MEMORY_CASES)
	test(`check of memory: an ${role} with ${peaksMb.join(', then ')} MB`, () => {
		const record = createRecord()
		for (const peakMb of peaksMb) checkMemory(record, `${role}-1`, role, peakMb)
		assert.is(record.violations.length, broken)
	})

test.run()
