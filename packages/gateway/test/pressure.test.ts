/** Tests requests to a full service: queueing, early refusal and `Retry-After` times. */

import { readNow } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { meterOf } from '../src/fleet.ts'
import type { Pressure } from '../src/pressure.ts'
import { pressureOf, waitBudgetMs } from '../src/pressure.ts'
import { chooseRetryAfterMs } from '../src/retryAfter.ts'
import { acquireServer } from '../src/serverQueue.ts'
import type { AdmissionCandidate } from '../src/waiter.ts'
import { CONFIG, createCatalog, startBackends } from './fakeBackends.ts'
import { createOpener } from './openGateway.ts'

const backends = await startBackends(1)
const openGateway = createOpener(21_740, backends.listed)
const { ctx } = await openGateway(createCatalog(CONFIG, backends.listed))
const SERVICE = backends.listed[0]!.service
const NEVER_ABORTED = new AbortController().signal

/** Fills all servers, with slots expected to become free `gapMs` apart. */
function fill(gapMs: number): Pressure {
	ctx.fleet.table.maxInFlight.fill(0)
	const pressure = pressureOf(ctx.pressures, SERVICE)
	pressure.dispatchRate.intervalMs = gapMs
	pressure.dispatchRate.lastAt = readNow()
	return pressure
}

function createCandidate(draw: number): AdmissionCandidate {
	const size = {
		promptTokens: undefined,
		maxAnswerTokens: undefined,
		answerHintTokens: undefined,
	}
	return { draw, urgency: 0, team: 't', size, isReturn: false }
}

function acquire(waitMs: number, slotsFreeOneByOne = true, admissionDraw = 0) {
	return acquireServer(ctx, {
		service: SERVICE,
		team: 't',
		priority: 1,
		candidate: createCandidate(admissionDraw),
		tried: new Set(),
		waitMs,
		slotsFreeOneByOne,
		signal: NEVER_ABORTED,
	})
}

const REFUSED = [
	{
		name: 'with no slot expected in time',
		gapMs: 900,
		waitMs: 400,
		slotsFreeOneByOne: true,
	},
	{
		name: 'without time to wait',
		gapMs: 10,
		waitMs: -1,
		slotsFreeOneByOne: true,
	},
	{
		name: 'to a group that does not form',
		gapMs: 10,
		waitMs: 0,
		slotsFreeOneByOne: false,
	},
]

for (const { name, gapMs, waitMs, slotsFreeOneByOne } of REFUSED)
	test(`full service: a request ${name} does not wait`, async () => {
		fill(gapMs)
		const grant = acquire(waitMs, slotsFreeOneByOne)
		assert.is(ctx.fleet.queues.get(SERVICE)!.waiting.length, 0)
		assert.is((await grant).kind, 'full')
	})

test('full service: a request waits for a slot that is expected in time', async () => {
	fill(5)
	const grant = acquire(2_000)
	assert.is(ctx.fleet.queues.get(SERVICE)!.waiting.length, 1)
	ctx.fleet.table.maxInFlight.fill(1)
	assert.is((await grant).kind, 'server')
	ctx.fleet.inFlight.clear()
	ctx.fleet.table.sentSinceReport.fill(0)
})

test('full service: each waiting request lengthens the predicted wait of the next', async () => {
	fill(300)
	const [first, second] = [acquire(500), acquire(500)]
	assert.is(ctx.fleet.queues.get(SERVICE)!.waiting.length, 1)
	assert.is((await second).kind, 'full')
	ctx.fleet.table.maxInFlight.fill(1)
	assert.is((await first).kind, 'server')
	ctx.fleet.inFlight.clear()
	ctx.fleet.table.sentSinceReport.fill(0)
})

test('full service: callers get ascending Retry-After times', () => {
	const pressure = fill(200)
	pressure.blockage.since = readNow()
	pressure.blockage.typicalMs = 1_000
	const times = [0, 1, 2].map(() => chooseRetryAfterMs(ctx, SERVICE, 8_000))
	assert.ok(times[0]! >= 1_000, `${times}`)
	assert.ok(times[2]! > times[0]!, `${times}`)
	assert.ok(
		times[2]! <= 8_000 / 3,
		'within the time in which callers honour Retry-After',
	)
})

const BUDGETS = [
	{ firstByteMs: 0, elapsedMs: 0, budget: 500 },
	{ firstByteMs: 200, elapsedMs: 0, budget: 250 },
	{ firstByteMs: 200, elapsedMs: 400, budget: -150 },
]

for (const { firstByteMs, elapsedMs, budget } of BUDGETS)
	test(`wait budget: first byte after ${firstByteMs} ms, ${elapsedMs} ms elapsed`, () => {
		const pressure = { ...pressureOf(ctx.pressures, SERVICE), firstByteMs }
		assert.is(waitBudgetMs(pressure, 500, elapsedMs), budget)
	})

test('nearly full group: admits a fraction of requests without ending the blockage', async () => {
	const { fleet } = ctx
	fleet.groups.push(`${SERVICE}/g`)
	fleet.table.group.fill(0)
	fleet.table.maxInFlight.fill(2.5)
	const meter = meterOf(fleet, SERVICE)
	// 2.5 slots within 50 ms, in which 5 requests arrive: half of them are admitted.
	meter.traffic = {
		arrivalsPerSecond: 100,
		completionsPerSecond: 0,
		horizonMs: 50,
	}
	const { blockage } = pressureOf(ctx.pressures, SERVICE)
	blockage.since = undefined
	assert.is((await acquire(-1, true, 0.9)).kind, 'full')
	assert.ok(blockage.since !== undefined)
	assert.is((await acquire(-1, true, 0.2)).kind, 'server')
	assert.ok(
		blockage.since !== undefined,
		'the blockage goes on while others are refused',
	)
	meter.minAdmittedFraction = 1
	meter.traffic = {
		arrivalsPerSecond: 1,
		completionsPerSecond: 0,
		horizonMs: 50,
	}
	assert.is((await acquire(-1, true, 0.9)).kind, 'server')
	assert.is(blockage.since, undefined)
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
