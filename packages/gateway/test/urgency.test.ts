/** A gateway before fake engines with too little room: who is let in, refused, or waits. */

import type { TrafficConfig } from '@juniperhook/core'
import { urgencyOf } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { countArrival, updateDemand } from '../src/entryDemand.ts'
import { pressureOf } from '../src/pressure.ts'
import { acquireServer, serveQueues } from '../src/serverQueue.ts'
import type { AdmissionCandidate, Grant } from '../src/waiter.ts'
import {
	CONFIG,
	callGateway,
	createCatalog,
	ENGINE,
	startBackends,
	WIRE,
} from './fakeBackends.ts'
import { createOpener, until } from './openGateway.ts'

const SERVICE = 'plain'
const URGENT = urgencyOf(undefined, 1)
const LATER = urgencyOf(undefined, 8)
const REPORT_MS = 200
const NEVER_ABORTED = new AbortController().signal

const stream = CONFIG.routes.find(({ name }) => name === 'stream')!
const base = { ...stream, timeoutMs: 8_000, targetMs: 6_000 }
const BY_URGENCY: TrafficConfig = {
	...CONFIG,
	routes: [
		{ ...base, name: 'urgent', pathPrefix: '/u/', priority: 1 },
		{ ...base, name: 'later', pathPrefix: '/l/', priority: 8 },
	],
	services: [{ ...CONFIG.services[0]!, engine: ENGINE }],
	teams: [{ ...CONFIG.teams[0]!, priority: undefined }],
}

const backends = await startBackends(2)
const openGateway = createOpener(24_300, backends.listed)
const { ctx, callers } = await openGateway(
	createCatalog(BY_URGENCY, backends.listed),
)
await until(() => ctx.fleet.servers.length === 2)
const { fleet } = ctx

/** Sets what the other entries report: demand per second by urgency, and completions. */
function reportPeers(urgent: number, later: number): void {
	const byUrgency = { [URGENT]: urgent, [LATER]: later }
	const flow = { come: urgent + later, end: 40, byUrgency }
	const flows = { [SERVICE]: flow }
	fleet.peerDemand.set('other', { dataCentre: 'north', flows })
	// Often enough for the rates of this entry to settle.
	for (let at = 0; at < 20; at++) {
		countArrival(fleet, SERVICE, createCandidate(LATER, 0))
		updateDemand(ctx, REPORT_MS, 0, readNow())
	}
}

/** Limits the requests in flight, with slots expected to become free 10 ms apart. */
function limit(perServer: number): void {
	fleet.table.maxInFlight.fill(perServer)
	const { dispatchRate } = pressureOf(ctx.pressures, SERVICE)
	dispatchRate.intervalMs = 10
	dispatchRate.lastAt = readNow()
}

function createCandidate(urgency: number, draw: number): AdmissionCandidate {
	const size = {
		promptTokens: undefined,
		maxAnswerTokens: undefined,
		answerHintTokens: undefined,
	}
	return { draw, urgency, team: 't', size, isReturn: false }
}

function acquire(urgency: number, draw: number): Promise<Grant> {
	return acquireServer(ctx, {
		service: SERVICE,
		team: 't',
		priority: 5,
		candidate: createCandidate(urgency, draw),
		tried: new Set(),
		waitMs: 1_500,
		slotsFreeOneByOne: true,
		signal: NEVER_ABORTED,
	})
}

function headersOf(id: string): Record<string, string> {
	return { [WIRE.requestId]: id, [WIRE.deadlineMs]: '8000' }
}

function countWaiting(): number {
	return fleet.queues.get(SERVICE)?.waiting.length ?? 0
}

function releaseAll(): void {
	fleet.inFlight.clear()
	fleet.table.sentSinceReport.fill(0)
}

test('too little room: a less urgent request is refused at once, an urgent one served', async () => {
	const { random } = ctx
	Object.assign(ctx, { random: () => 0.9 })
	limit(4)
	reportPeers(30, 90)
	const startedAt = readNow()
	const later = await callGateway(callers, '/l/x', headersOf('r1'))
	const tookMs = readNow() - startedAt
	backends.script = ['stream']
	const urgent = await callGateway(callers, '/u/x', headersOf('r2'))
	Object.assign(ctx, { random })
	assert.is(urgent.status, 200)
	assert.is(later.status, 503)
	assert.ok(Number(later.headers['retry-after']) >= 0)
	assert.ok(tookMs < 3_000, `${tookMs} ms of 6,000 until its target`)
	assert.is(backends.runs.length, 1)
})

test('without the feature, the same request waits', async () => {
	releaseAll()
	limit(0)
	reportPeers(30, 90)
	assert.is((await acquire(LATER, 0.9)).kind, 'full')
	const { features } = ctx
	ctx.features = new Map()
	const held = acquire(LATER, 0.9)
	assert.is(countWaiting(), 1)
	reportPeers(1, 2)
	limit(1)
	serveQueues(ctx)
	assert.is((await held).kind, 'server')
	ctx.features = features
})

test('a request at the head that is not admitted does not hold up the others', async () => {
	releaseAll()
	limit(0)
	reportPeers(10, 90)
	const grants: string[] = []
	const wait = (name: string, urgency: number, draw: number) =>
		acquire(urgency, draw).then(({ kind }) => grants.push(`${name}: ${kind}`))
	const held = [wait('first', LATER, 0.25), wait('second', LATER, 0.01)]
	assert.is(countWaiting(), 2)
	// Urgent demand leaves the less urgent requests their floor.
	reportPeers(60, 90)
	limit(1)
	serveQueues(ctx)
	await held[1]
	assert.equal(grants, ['second: server'])
	assert.is(countWaiting(), 1)
	const urgent = await acquire(URGENT, 0.5)
	assert.is(urgent.kind, 'server')
	assert.is(countWaiting(), 1)
	releaseAll()
	reportPeers(0, 20)
	serveQueues(ctx)
	await held[0]
	assert.equal(grants, ['second: server', 'first: server'])
})

test('an urgent request that waits starts before a less urgent one', async () => {
	releaseAll()
	limit(0)
	reportPeers(10, 40)
	const grants: string[] = []
	const held = [LATER, URGENT].map(urgency =>
		acquire(urgency, 0.01).then(() => grants.push(`${urgency}`)),
	)
	assert.is(countWaiting(), 2)
	fleet.table.maxInFlight[0] = 1
	serveQueues(ctx)
	await held[1]
	assert.equal(grants, [`${URGENT}`])
	fleet.table.maxInFlight[1] = 1
	serveQueues(ctx)
	await held[0]
})

test('a configuration that no longer calls for it: those who wait are served', async () => {
	releaseAll()
	limit(0)
	reportPeers(10, 40)
	const grant = acquire(LATER, 0.01)
	assert.is(countWaiting(), 1)
	const { features } = ctx
	ctx.features = new Map()
	updateDemand(ctx, REPORT_MS, 0, readNow())
	limit(1)
	serveQueues(ctx)
	assert.is((await grant).kind, 'server')
	ctx.features = features
	updateDemand(ctx, REPORT_MS, 0, readNow())
})

test('a closed group: requests of every urgency wait for it', async () => {
	releaseAll()
	limit(4)
	reportPeers(60, 90)
	const acquired = acquireServer(ctx, {
		service: SERVICE,
		team: 't',
		priority: 5,
		candidate: createCandidate(LATER, 0.95),
		tried: new Set(),
		waitMs: 1_500,
		slotsFreeOneByOne: false,
		signal: NEVER_ABORTED,
	})
	assert.is(countWaiting(), 1)
	reportPeers(1, 2)
	serveQueues(ctx)
	assert.is((await acquired).kind, 'server')
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
