/**
 * Entries that exchange reports allocate room by urgency and team: what is served is the
 * sum of their decisions. No network; each report is what would be sent.
 */

import type { Random } from '@juniperhook/core'
import { createRandom, createServerTable, urgencyOf } from '@juniperhook/core'
import { createEventLog } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import * as v from 'valibot'
import type { GatewayContext } from '../src/context.ts'
import { countArrival, reportFlows, updateDemand } from '../src/entryDemand.ts'
import type { Fleet } from '../src/fleet.ts'
import { createFleet, meterOf } from '../src/fleet.ts'
import { decideAdmission } from '../src/groupAdmission.ts'
import { createGatewayMetrics } from '../src/metrics.ts'
import { PeerStateSchema } from '../src/peerMessages.ts'
import type { AdmissionCandidate } from '../src/waiter.ts'

const SERVICE = 'writer'
const INTERVAL_MS = 200
const ROUNDS = 100
const URGENT = urgencyOf(undefined, 2)
const LATER = urgencyOf(undefined, 8)
const SIZE = {
	promptTokens: undefined,
	maxAnswerTokens: undefined,
	answerHintTokens: undefined,
}

const SERVER = {
	id: 's0',
	name: 's0',
	service: SERVICE,
	address: '127.0.0.1:1',
	dataCentre: 'north',
	slots: 400,
	leaving: false,
	coldMs: 0,
}

/** Requests of one kind that arrive at an entry, per second. */
interface Kind {
	readonly urgency: number
	readonly team: string
	/** Rate at an entry by its number, and by the round. */
	perSecond(entry: number, round: number): number
}

interface Entry {
	readonly name: string
	readonly ctx: GatewayContext
	readonly events: string[]
}

function createEntry(at: number, isByUrgency = true): Entry {
	const fleet = createFleet()
	fleet.groups.push(`${SERVICE}/g`)
	fleet.table = createServerTable(['s0'])
	fleet.servers = [SERVER]
	fleet.rowsByService.set(SERVICE, [0])
	const events: string[] = []
	const features = { urgency: isByUrgency, returns: false, work: false }
	const log = {
		...createEventLog('test'),
		write: (event: string) => events.push(event),
	}
	const ctx = {
		fleet,
		log,
		settings: { name: `e${at}`, dataCentre: 'north' },
		features: new Map([[SERVICE, features]]),
		metrics: createGatewayMetrics(),
	} as unknown as GatewayContext
	updateDemand(ctx, INTERVAL_MS, 0, 0)
	return { name: `e${at}`, ctx, events }
}

function candidateOf(
	{ urgency, team }: Pick<Kind, 'urgency' | 'team'>,
	draw = 0,
): AdmissionCandidate {
	return { draw, urgency, team, size: SIZE, isReturn: false }
}

/** Number of arrivals of a rate in one interval: whole ones, and one more by chance. */
function drawCount(perSecond: number, random: Random): number {
	const mean = (perSecond * INTERVAL_MS) / 1_000
	return Math.floor(mean) + (random() < mean % 1 ? 1 : 0)
}

const FlowsSchema = PeerStateSchema.entries.flows

/** Plays arrivals and reports of entries that see each other. */
function exchange(
	entries: readonly Entry[],
	kinds: readonly Kind[],
	roomPerSecond: number,
	unlinked = 0,
	strip = (flows: ReturnType<typeof reportFlows>) => flows,
): void {
	const random = createRandom(4)
	const decide = roomPerSecond / (entries.length + unlinked)
	for (let round = 0; round < ROUNDS; round++) {
		for (const { ctx } of entries) {
			const entry = entries.findIndex(one => one.ctx === ctx)
			for (const kind of kinds) {
				const count = drawCount(kind.perSecond(entry, round), random)
				for (let at = 0; at < count; at++)
					countArrival(ctx.fleet, SERVICE, candidateOf(kind))
			}
			meterOf(ctx.fleet, SERVICE).finished += drawCount(decide, random)
			for (const kind of kinds)
				decideAdmission(ctx.fleet, 0, 0, candidateOf(kind))
			updateDemand(ctx, INTERVAL_MS, unlinked, round * INTERVAL_MS)
		}
		for (const from of entries) {
			const text = JSON.stringify(strip(reportFlows(from.ctx.fleet)))
			const flows = v.parse(FlowsSchema, JSON.parse(text)) ?? {}
			for (const to of entries)
				if (to !== from)
					to.ctx.fleet.peerDemand.set(from.name, { dataCentre: 'north', flows })
		}
	}
}

function fractionOf({ ctx }: Entry, kind: Kind): number {
	const { fraction } = decideAdmission(ctx.fleet, 0, 0, candidateOf(kind))
	return Math.min(1, Math.max(0, fraction!))
}

/** Returns the fraction of a kind that all entries together serve. */
function servedOf(entries: readonly Entry[], kind: Kind): number {
	let served = 0
	let asked = 0
	for (const [at, entry] of entries.entries()) {
		served += fractionOf(entry, kind) * kind.perSecond(at, ROUNDS)
		asked += kind.perSecond(at, ROUNDS)
	}
	return served / asked
}

function createEntries(count: number): Entry[] {
	return Array.from({ length: count }, (_, at) => createEntry(at))
}

function kindOf(urgency: number, team: string, perSecond: number): Kind {
	return { urgency, team, perSecond: () => perSecond }
}

/** Asserts that a value is within 15% of the expected one, given random arrivals. */
function assertNear(actual: number, expected: number, what: string): void {
	const isNear = Math.abs(actual - expected) <= 0.15 * expected
	assert.ok(isNear, `${what}: ${actual}, expected ${expected}`)
}

const LOADS = [
	{
		name: 'a burst of less urgent requests, times 3',
		urgent: 3,
		later: 12,
		room: 7,
		served: { urgent: 1, later: 4 / 12 },
	},
	{
		name: 'an urgent burst',
		urgent: 12,
		later: 3,
		room: 5,
		served: { urgent: (5 - 1 / 3) / 12, later: 1 / 9 },
	},
	{
		name: 'both levels at 1.5 of the room',
		urgent: 6,
		later: 6,
		room: 8,
		served: { urgent: 1, later: 2 / 6 },
	},
]

for (const { name, urgent, later, room, served } of LOADS)
	test(`entries by urgency: ${name}`, () => {
		const entries = createEntries(22)
		const kinds = [kindOf(URGENT, 'a', urgent), kindOf(LATER, 'b', later)]
		exchange(entries, kinds, room * 22)
		assertNear(servedOf(entries, kinds[0]!), served.urgent, 'urgent')
		assertNear(servedOf(entries, kinds[1]!), served.later, 'later')
	})

for (const isEverywhere of [true, false])
	test(`entries by urgency: a team at ten times the others, everywhere: ${isEverywhere}`, () => {
		const entries = createEntries(22)
		const others = Array.from({ length: 9 }, (_, at) =>
			kindOf(URGENT, `t${at}`, 0.5),
		)
		const hot: Kind = {
			urgency: URGENT,
			team: 'hot',
			perSecond: entry => {
				if (isEverywhere) return 5
				return entry === 2 ? 110 : 0
			},
		}
		// Room for all others and for four tenths of the one.
		exchange(entries, [hot, ...others], 22 * (4.5 + 2))
		for (const kind of others)
			assert.ok(servedOf(entries, kind) > 0.9, kind.team)
		const ofHot = servedOf(entries, hot)
		assert.ok(ofHot > 0.28 && ofHot < 0.5, `${ofHot}`)
	})

test('entries by urgency: peers without levels count as distributed alike', () => {
	const entries = createEntries(4)
	const kinds = [kindOf(URGENT, 'a', 10), kindOf(LATER, 'b', 20)]
	exchange(entries, kinds, 80, 0, flows => {
		const { come, end } = flows[SERVICE] ?? { come: 0, end: 0 }
		return { [SERVICE]: { come, end } }
	})
	assertNear(servedOf(entries, kinds[0]!), 1, 'urgent')
	assertNear(servedOf(entries, kinds[1]!), 0.5, 'later')
})

test('entries by urgency: each half of a cut fleet takes its part of the room', () => {
	const kinds = [kindOf(URGENT, 'a', 3), kindOf(LATER, 'b', 12)]
	const halves = [createEntries(11), createEntries(11)]
	for (const half of halves) exchange(half, kinds, 7 * 22, 11)
	const [urgent, later] = kinds.map(kind => servedOf(halves.flat(), kind))
	assertNear(urgent!, 1, 'urgent')
	assertNear(later!, 4 / 12, 'later')
})

test('entries by urgency: a wave keeps room free of less urgent requests', () => {
	const later = kindOf(LATER, 'b', 10)
	const served = [0, 0.19].map(slope => {
		const wave: Kind = {
			urgency: URGENT,
			team: 'a',
			// Steeper for 10 s at the end, up to the same rate.
			perSecond: (_entry, round) => 10 - slope * Math.min(50, ROUNDS - round),
		}
		const entries = createEntries(8)
		// Streams of 3 s.
		for (const { ctx } of entries) ctx.fleet.table.reportedLoad.fill(510)
		exchange(entries, [wave, later], 8 * 20.8)
		return servedOf(entries, later)
	})
	assert.is(served[0], 1)
	assert.ok(served[1]! < 0.9, `${served}`)
})

/** The decision before there were levels. */
function wasAdmitted(fleet: Fleet, room: number, draw: number): boolean {
	const { traffic } = meterOf(fleet, SERVICE)
	if (!traffic) return room >= 1
	const { arrivalsPerSecond, completionsPerSecond, horizonMs } = traffic
	const perSecond = completionsPerSecond + (room * 1_000) / horizonMs
	return draw < perSecond / Math.max(arrivalsPerSecond, 0.5)
}

for (const isByUrgency of [false, true])
	test(`one level and even teams, feature ${isByUrgency}: decisions as before, draw for draw`, () => {
		const entries = Array.from({ length: 3 }, (_, at) =>
			createEntry(at, isByUrgency),
		)
		const kinds = ['a', 'b', 'c'].map(team => kindOf(URGENT, team, 20))
		exchange(entries, kinds, 100)
		const random = createRandom(8)
		for (let run = 0; run < 3_000; run++) {
			const { fleet } = entries[run % 3]!.ctx
			const room = (random() - 0.5) * 40
			const draw = random()
			const candidate = candidateOf(kinds[run % 3]!, draw)
			const { isAdmitted } = decideAdmission(fleet, 0, room, candidate)
			assert.is(isAdmitted, wasAdmitted(fleet, room, draw))
		}
	})

test('without the feature, reports are as before', () => {
	const entry = createEntry(0, false)
	exchange([entry, createEntry(1, false)], [kindOf(URGENT, 'a', 9)], 5)
	const flow = reportFlows(entry.ctx.fleet)[SERVICE]!
	assert.equal(Object.keys(flow), ['come', 'end'])
	assert.equal(entry.events, [])
})

test('returning callers: their room is kept, and they are admitted first', () => {
	const entries = createEntries(2)
	const kinds = [kindOf(URGENT, 'a', 20), kindOf(LATER, 'b', 20)]
	exchange(entries, kinds, 60)
	const { fleet } = entries[0]!.ctx
	const before = fractionOf(entries[0]!, kinds[1]!)
	meterOf(fleet, SERVICE).returnsPerSecond = 10
	assert.ok(fractionOf(entries[0]!, kinds[1]!) < before)
	const returned = { ...candidateOf(kinds[1]!, 0.99), isReturn: true }
	assert.ok(decideAdmission(fleet, 0, 0, returned).isAdmitted)
	assert.not.ok(decideAdmission(fleet, 0, -100, returned).isAdmitted)
})

test('rationing: one line when it begins and when it ends', () => {
	const entries = createEntries(2)
	const kinds = [kindOf(URGENT, 'a', 20), kindOf(LATER, 'b', 20)]
	exchange(entries, kinds, 60)
	exchange(entries, kinds, 200)
	const [{ events, ctx }] = entries as [Entry]
	assert.equal(events, ['rationing started', 'rationing ended'])
	ctx.features = new Map()
	updateDemand(ctx, INTERVAL_MS, 0, 0)
	assert.is(meterOf(ctx.fleet, SERVICE).levels, undefined)
})

test.run()
