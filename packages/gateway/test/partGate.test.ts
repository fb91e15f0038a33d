/** Tests how entries refuse, try and clear suspected prompt parts. */

import { subjectKeyOf } from '@juniperhook/core'
import { clocks } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { handleGroupBroken } from '../src/closedGroups.ts'
import { recordPartsServed } from '../src/crashEvidence.ts'
import { groupOf } from '../src/fleet.ts'
import { drainUpdates, receiveUpdates } from '../src/updateExchange.ts'
import { SLOW } from './crashingServers.ts'
import { ENGINE, WIRE } from './fakeBackends.ts'
import type { OpenGateway } from './openGateway.ts'
import { until } from './openGateway.ts'
import type { World } from './poisonWorld.ts'
import { createWorlds, openEntry, pause, send } from './poisonWorld.ts'

const openWorld = createWorlds(24_700)
/** Longer than an entry waits for the evidence of the others, ms. */
const EVIDENCE_MS = 200
/** Time after which a suspected part may be tried, ms. */
const TRIAL_MS = 600
/** Quarantine of a part that crashed two servers, ms. */
const QUARANTINE_MS = 600_000

/** An evidence of crashes under a part that another entry reports, `agesMs` ago. */
function reportCrashes(
	{ ctx }: OpenGateway,
	part: string,
	agesMs: readonly number[],
): void {
	const key = subjectKeyOf({ kind: 'part', id: part })
	const crashes = agesMs.map(agoMs => ({
		kind: 'end' as const,
		server: `gone-${part}-${agoMs}`,
		agoMs,
		ran: { [key]: 40, [`1.${part}-${agoMs}`]: 40 },
	}))
	receiveUpdates(ctx, crashes, 'peer')
}

function sendWith(entry: OpenGateway, part: string, body: string) {
	const headers = { [WIRE.promptParts]: `${part},own-${body}` }
	return send(entry, '/o/x', body, headers)
}

async function openEntries(count: number): Promise<[World, OpenGateway[]]> {
	const world = await openWorld(count)
	for (const { ctx } of world.entries)
		await until(() => ctx.permitHomes.membership.reachable.length === count)
	return [world, world.entries]
}

test('part gate: a quarantined part is refused as not run, with the time left', async () => {
	const [world, [entry]] = await openEntries(1)
	reportCrashes(entry!, 'bad', [9_000, 5_000])
	const got = await sendWith(entry!, 'bad', 'x')
	assert.is(got.status, 503)
	assert.match(got.body, '"quarantined"')
	const seconds = Number(got.headers['retry-after'])
	assert.ok(seconds > 590 && seconds <= 600, String(seconds))
	assert.is((await sendWith(entry!, 'sound', 'y')).status, 200)
	assert.is(world.servers.runs.length, 1)
	world.servers.close()
})

test('part gate: a suspected part is sent by the entry whose turn it is', async () => {
	const [world, entries] = await openEntries(3)
	for (const entry of entries) reportCrashes(entry, 'x', [TRIAL_MS])
	const responses = entries.map(entry => sendWith(entry, 'x', 'once'))
	const got = await Promise.all(responses)
	const statuses = got.map(({ status }) => status).sort()
	// Turns begin at the crash, whose age the entries estimate alike.
	assert.ok(statuses.filter(status => status === 200).length <= 1)
	for (const one of got.filter(({ status }) => status === 503)) {
		assert.match(one.body, '"suspected"')
		const seconds = Number(one.headers['retry-after'])
		assert.ok(seconds > 0 && seconds <= 3, String(seconds))
	}
	world.servers.close()
})

test('part gate: after the quarantine the entries try the part in turns', async () => {
	const [world, entries] = await openEntries(3)
	for (const entry of entries) reportCrashes(entry, 'dead', [9_000, 5_000])
	const { now } = clocks
	clocks.now = () => now() + QUARANTINE_MS
	// Turns begin at the end of the quarantine.
	await pause(TRIAL_MS)
	const responses = entries.map(entry => sendWith(entry, 'dead', 'again'))
	const got = await Promise.all(responses)
	clocks.now = now
	assert.ok(world.servers.crashes.length <= 1)
	assert.ok(got.filter(({ status }) => status === 503).length >= 2)
	world.servers.close()
})

test('part gate: an answer clears a suspected part at all entries', async () => {
	const [world, entries] = await openEntries(2)
	for (const entry of entries) reportCrashes(entry, 'x', [TRIAL_MS])
	for (let at = 0; at < 20; at++) {
		for (const entry of entries) await sendWith(entry, 'x', `try ${at}`)
		if (world.servers.runs.length > 0) break
		await pause(200)
	}
	for (const { ctx } of entries)
		await until(() => ctx.quarantineGate.suspectedParts.size === 0)
	for (const entry of entries)
		assert.is((await sendWith(entry, 'x', 'later')).status, 200)
	world.servers.close()
})

test('part gate: an entry that got answers with a part clears it at another entry', async () => {
	const [world, entries] = await openEntries(2)
	const [first, second] = entries as [OpenGateway, OpenGateway]
	assert.is((await sendWith(first, 'x', 'before')).status, 200)
	// The crash is known to an entry that has never seen the part.
	reportCrashes(second, 'x', [0])
	const { quarantineGate } = second.ctx
	assert.is(quarantineGate.suspectedParts.has('x'), true)
	await until(() => quarantineGate.suspectedParts.size === 0)
	assert.is((await sendWith(second, 'x', 'after')).status, 200)
	world.servers.close()
})

test('part gate: an entry that starts learns with which parts others got answers', async () => {
	const [world, [first]] = await openEntries(2)
	assert.is((await sendWith(first!, 'x', 'before')).status, 200)
	const newcomer = await openEntry(world)
	// The first state may come from the entry that got no answer.
	await until(() => newcomer.ctx.quarantineGate.servedParts.has('x'))
	// No other entry hears of the crashes.
	newcomer.ctx.outbox.clear()
	reportCrashes(newcomer, 'x', [9_000, 5_000])
	assert.is(newcomer.ctx.quarantineGate.suspectedParts.has('x'), false)
	assert.is((await sendWith(newcomer, 'x', 'after')).status, 200)
	world.servers.close()
})

test('part gate: evidence that arrives a little later prevents a refusal', async () => {
	const [world, [entry]] = await openEntries(1)
	const { ctx } = entry!
	reportCrashes(entry!, 'x', [9_000, 5_000])
	assert.is(ctx.quarantineGate.quarantined.size, 1)
	const running = sendWith(entry!, 'x', 'waits')
	const served = { kind: 'served', fingerprint: '#x', agoMs: 7_000 } as const
	setTimeout(() => receiveUpdates(ctx, [served], 'peer'), 50)
	assert.is((await running).status, 200)
	world.servers.close()
})

test('part gate: a running request is ended as possibly run when its part is quarantined', async () => {
	const [world, [entry]] = await openEntries(1)
	const response = sendWith(entry!, 'bad', SLOW)
	await until(() => world.servers.runs.length > 0)
	reportCrashes(entry!, 'bad', [9_000, 5_000])
	assert.is((await response).status, 502)
	world.servers.close()
})

test('part gate: a waiting request is refused as not run when its part is quarantined', async () => {
	const world = await openWorld(1, 2, ENGINE)
	const [entry] = world.entries as [OpenGateway]
	const { ctx } = entry
	// Requests wait for a group that re-forms.
	handleGroupBroken(ctx, groupOf(ctx.fleet.servers[0]!), 'end')
	const waiting = sendWith(entry, 'bad', 'waiting')
	await until(() => ctx.cancelByRequest.size > 0)
	reportCrashes(entry, 'bad', [9_000, 5_000])
	const got = await waiting
	assert.is(got.status, 503)
	assert.match(got.body, '"quarantined"')
	assert.is(world.servers.runs.length, 0)
	world.servers.close()
})

test('part gate: nothing is tried beside requests in flight at any entry', async () => {
	const [world, entries] = await openEntries(3)
	const requests = entries.map(entry => sendWith(entry, 'x', SLOW))
	await until(() => world.servers.runs.length === entries.length)
	for (const entry of entries) reportCrashes(entry, 'x', [TRIAL_MS])
	const later = entries.map(entry => sendWith(entry, 'x', 'later'))
	const statuses = (await Promise.all(later)).map(({ status }) => status)
	assert.equal(statuses, [503, 503, 503])
	world.servers.release()
	for (const one of requests) assert.is((await one).status, 200)
	world.servers.close()
})

test('part gate: one request at a time tries a suspected part', async () => {
	const [world, [entry]] = await openEntries(1)
	reportCrashes(entry!, 'x', [TRIAL_MS])
	const trial = sendWith(entry!, 'x', SLOW)
	await until(() => world.servers.runs.length > 0)
	const second = await sendWith(entry!, 'x', 'second')
	assert.is(second.status, 503)
	assert.match(second.body, '"suspected"')
	world.servers.release()
	assert.is((await trial).status, 200)
	assert.is((await sendWith(entry!, 'x', 'third')).status, 200)
	world.servers.close()
})

test('part gate: answers are told to other entries only once per crash', async () => {
	const [world, [entry]] = await openEntries(1)
	const { ctx } = entry!
	reportCrashes(entry!, 'x', [TRIAL_MS])
	drainUpdates(ctx)
	for (let at = 0; at < 5; at++)
		recordPartsServed(ctx, { sharedParts: ['x', 'y'] } as never)
	const served = drainUpdates(ctx).filter(({ kind }) => kind === 'served')
	assert.is(served.length, 1)
	await pause(EVIDENCE_MS)
	world.servers.close()
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
