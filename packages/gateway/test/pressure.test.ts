/** Requests before a full service: queued, refused at once, told when to return. */

import { readNow } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { meterOf } from '../src/fleet.ts'
import type { Pressure } from '../src/pressure.ts'
import { pressureOf, waitBudgetMs } from '../src/pressure.ts'
import { chooseRetryAfterMs } from '../src/retryAfter.ts'
import { acquireServer } from '../src/serverQueue.ts'
import { CONFIG, createCatalog, startBackends } from './fakeBackends.ts'
import { createOpener } from './openGateway.ts'

const backends = await startBackends(1)
const openGateway = createOpener(21_740, backends.listed)
const { ctx } = await openGateway(createCatalog(CONFIG, backends.listed))
const SERVICE = backends.listed[0]!.service
const NEVER = new AbortController().signal

/** No server has room, and places come free `gapMs` apart. */
function fill(gapMs: number): Pressure {
	ctx.fleet.table.maxInFlight.fill(0)
	const pressure = pressureOf(ctx.pressures, SERVICE)
	pressure.flow.intervalMs = gapMs
	pressure.flow.lastAt = readNow()
	return pressure
}

function ask(waitMs: number, inTurn = true, luck = 0) {
	return acquireServer(ctx, {
		service: SERVICE,
		team: 't',
		priority: 1,
		admissionDraw: luck,
		tried: new Set(),
		waitMs,
		slotsFreeOneByOne: inTurn,
		signal: NEVER,
	})
}

const ASKED = [
	{ name: 'that no place comes for', gapMs: 900, waitMs: 400, inTurn: true },
	{ name: 'without time to wait', gapMs: 10, waitMs: -1, inTurn: true },
	{ name: 'while no group forms', gapMs: 10, waitMs: 0, inTurn: false },
]

for (const { name, gapMs, waitMs, inTurn } of ASKED)
	test(`full service: a request ${name} does not wait`, async () => {
		fill(gapMs)
		const grant = ask(waitMs, inTurn)
		assert.is(ctx.fleet.queues.get(SERVICE)!.waiting.length, 0)
		assert.is((await grant).kind, 'full')
	})

test('full service: a request waits for a place that comes in time', async () => {
	fill(5)
	const grant = ask(2_000)
	assert.is(ctx.fleet.queues.get(SERVICE)!.waiting.length, 1)
	ctx.fleet.table.maxInFlight.fill(1)
	assert.is((await grant).kind, 'server')
	ctx.fleet.inFlight.clear()
	ctx.fleet.table.sentSinceReport.fill(0)
})

test('full service: each that waits makes the next wait longer', async () => {
	fill(300)
	const [first, second] = [ask(500), ask(500)]
	assert.is(ctx.fleet.queues.get(SERVICE)!.waiting.length, 1)
	assert.is((await second).kind, 'full')
	ctx.fleet.table.maxInFlight.fill(1)
	assert.is((await first).kind, 'server')
	ctx.fleet.inFlight.clear()
	ctx.fleet.table.sentSinceReport.fill(0)
})

test('full service: callers are told to return one after the other', () => {
	const pressure = fill(200)
	pressure.full.since = readNow()
	pressure.full.typicalMs = 1_000
	const told = [0, 1, 2].map(() => chooseRetryAfterMs(ctx, SERVICE, 8_000))
	assert.ok(told[0]! >= 1_000, `${told}`)
	assert.ok(told[2]! > told[0]!, `${told}`)
	assert.ok(told[2]! <= 8_000 / 3, 'within what callers heed')
})

const SPARES = [
	{ firstMs: 0, elapsedMs: 0, spare: 500 },
	{ firstMs: 200, elapsedMs: 0, spare: 250 },
	{ firstMs: 200, elapsedMs: 400, spare: -150 },
]

for (const { firstMs, elapsedMs, spare } of SPARES)
	test(`time to wait: answers begin after ${firstMs} ms, ${elapsedMs} ms gone`, () => {
		const pressure = { ...pressureOf(ctx.pressures, SERVICE), firstMs }
		assert.is(waitBudgetMs(pressure, 500, elapsedMs), spare)
	})

test('nearly full group: a part is taken, and that does not end the full spell', async () => {
	const { fleet } = ctx
	fleet.groups.push(`${SERVICE}/g`)
	fleet.table.group.fill(0)
	fleet.table.maxInFlight.fill(2.5)
	const meter = meterOf(fleet, SERVICE)
	// 2.5 places within 50 ms, in which 5 requests come: half of them.
	meter.intake = { perSecond: 100, endedPerSecond: 0, horizonMs: 50 }
	const { full } = pressureOf(ctx.pressures, SERVICE)
	full.since = undefined
	assert.is((await ask(-1, true, 0.9)).kind, 'full')
	assert.ok(full.since !== undefined)
	assert.is((await ask(-1, true, 0.2)).kind, 'server')
	assert.ok(full.since !== undefined, 'others are still turned away')
	meter.minAdmittedFraction = 1
	meter.intake = { perSecond: 1, endedPerSecond: 0, horizonMs: 50 }
	assert.is((await ask(-1, true, 0.9)).kind, 'server')
	assert.is(full.since, undefined)
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
