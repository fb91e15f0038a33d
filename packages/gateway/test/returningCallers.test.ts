/** Tests refused callers who come back to a gateway, or to another one. */

import type { Random } from '@juniperhook/core'
import { createRandom } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { handleGroupBroken, handleGroupOpened } from '../src/closedGroups.ts'
import { deriveFeatures } from '../src/features.ts'
import type { GatewayContext } from '../src/index.ts'
import type { Job } from '../src/job.ts'
import { pressureOf } from '../src/pressure.ts'
import { chooseRetryAfter, chooseRetryAfterMs } from '../src/retryAfter.ts'
import { updateReturns } from '../src/returnPlaces.ts'
import { callGateway, ENGINE, WIRE } from './fakeBackends.ts'
import type { LimitedWorld } from './limitedServers.ts'
import {
	closeWorld,
	createLimitedWorlds,
	LONG_TIMEOUT_CONFIG,
	pause,
} from './limitedServers.ts'
import type { OpenGateway } from './openGateway.ts'
import { until } from './openGateway.ts'

const openWorld = createLimitedWorlds(24_600)
const SERVICE = 'plain'
const GROUP = `${SERVICE}/`
const SECOND_MS = 1_000
/** Expected outage of the group, ms. */
const OUTAGE_MS = 700
/** Room of the open group in which new callers need a lucky draw. */
const SCARCE = 0.05
const UNLUCKY = 0.99

const GROUPED = {
	...LONG_TIMEOUT_CONFIG,
	services: LONG_TIMEOUT_CONFIG.services.map(service => ({
		...service,
		engine: ENGINE,
	})),
}

function setRandom(ctx: GatewayContext, random: Random): void {
	Object.assign(ctx, { random })
}

/** Switches the feature on, and closes the group at all entries. */
function closeGroup({ entries }: LimitedWorld): void {
	for (const { ctx } of entries) {
		const settings = { ...ctx.settings, underPressure: true }
		ctx.settings = settings
		ctx.features = deriveFeatures(GROUPED, settings)
		ctx.expectedOpenAt.set(GROUP, 0)
		handleGroupBroken(ctx, GROUP, 'coordinator')
		const blockage = ctx.blockages.get(GROUP)!
		blockage.typicalMs = OUTAGE_MS
		blockage.deviationMs = 0
		setRandom(ctx, () => UNLUCKY)
	}
}

function openGroup({ entries }: LimitedWorld, room: number): void {
	for (const { ctx } of entries) {
		handleGroupOpened(ctx, GROUP, 'coordinator')
		ctx.fleet.table.maxInFlight.fill(room)
	}
}

let nextId = 1

function send({ callers }: OpenGateway, body: string) {
	const headers = {
		[WIRE.requestId]: `c${nextId++}`,
		[WIRE.deadlineMs]: '9000',
	}
	return callGateway(callers, '/r/x', headers, 'POST', body)
}

async function countOutcomes({ ctx }: OpenGateway): Promise<string[]> {
	const { values } = await ctx.metrics.returns.get()
	return values.map(({ labels, value }) => `${labels.outcome} ${value}`).sort()
}

const ENTRIES = [
	{ name: 'to a single entry', entries: 1, room: 1, freshStatus: 200 },
	{
		name: 'to another entry and is served before a new one',
		entries: 2,
		room: SCARCE,
		freshStatus: 503,
	},
]

for (const { name, entries, room, freshStatus } of ENTRIES)
	test(`a refused caller returns as told ${name}`, async () => {
		const world = await openWorld(entries, 1, GROUPED)
		const first = world.entries[0]!
		const last = world.entries.at(-1)!
		for (const { ctx } of world.entries)
			await until(() => ctx.fleet.peerDemand.size === entries - 1)
		closeGroup(world)
		const refused = await send(first, 'mine')
		const toldMs = Number(refused.headers['retry-after']) * SECOND_MS
		assert.is(refused.status, 503)
		assert.ok(toldMs >= OUTAGE_MS / 2 && toldMs < 3_000, `${toldMs}`)
		await pause(toldMs - 50)
		openGroup(world, room)
		const fresh = await send(last, 'of another')
		assert.is(fresh.status, freshStatus)
		await pause(100)
		const returned = await send(last, 'mine')
		closeWorld(world)
		assert.is(returned.status, 200)
		const outcomes = await countOutcomes(last)
		assert.ok(outcomes.includes('returned 1'), `${outcomes}`)
		assert.ok(outcomes.includes('served 1'), `${outcomes}`)
	})

test('entries report what they have booked, and keep that room', async () => {
	const world = await openWorld(2, 1, GROUPED)
	const [first, second] = world.entries as [OpenGateway, OpenGateway]
	for (const { ctx } of world.entries)
		await until(() => ctx.fleet.peerDemand.size === 1)
	closeGroup(world)
	const refused = await send(first, 'mine')
	const { name } = first.ctx.settings
	const reported = () =>
		second.ctx.fleet.peerDemand.get(name)?.flows[SERVICE]?.returns ?? []
	await until(() => reported().length > 0)
	closeWorld(world)
	assert.is(refused.status, 503)
	assert.is(
		reported().reduce((sum, count) => sum + count, 0),
		1,
	)
	updateReturns(second.ctx, 3 * SECOND_MS)
	const meter = second.ctx.fleet.meters.get(SERVICE)!
	assert.ok(meter.returnsPerSecond > 0.2, `${meter.returnsPerSecond}`)
})

test('without the feature, the time is chosen as before, draw for draw', async () => {
	const world = await openWorld(1, 1, GROUPED)
	const { ctx } = world.entries[0]!
	const { blockage, retryAfterSchedule } = pressureOf(ctx.pressures, SERVICE)
	blockage.since = readNow()
	const job = { service: SERVICE, candidate: { isReturn: false } } as Job
	const play = (choose: () => number) => {
		retryAfterSchedule.lastDueAt = 0
		const random = createRandom(5)
		setRandom(ctx, random)
		const times = Array.from({ length: 20 }, choose)
		return { times, next: random() }
	}
	const now = play(() => {
		const retryAfter = chooseRetryAfter(ctx, job, 8_000)
		assert.is(retryAfter.kind, 'scheduled')
		return retryAfter.ms
	})
	const before = play(() => chooseRetryAfterMs(ctx, SERVICE, 8_000))
	closeWorld(world)
	assert.is(now.next, before.next)
	// The two series are chosen some time after each other.
	for (const [at, ms] of now.times.entries())
		assert.ok(Math.abs(ms - before.times[at]!) < 200)
	assert.is(ctx.returns.services.size, 0)
	assert.is(ctx.returns.expected.dueAt.size, 0)
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
