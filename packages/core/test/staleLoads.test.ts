/**
 * Entries select ranks by stale loads, as under normal traffic with several entries, in
 * virtual time and without a network. Guards against requests queued behind a rank's
 * slots: such a request waits for a stream to end, longer than the 0.4 s within which it
 * has to begin. Rates, ranks and stream durations (mean 1.3 to 1.6 s, up to 2.5 times the
 * mean) are those of services of three sizes; entries exchange loads every 150 ms, with
 * 36 entries every 216 ms.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EntryDemand, Random, ServerTable } from '../src/index.ts'
import {
	assignServers,
	chooseRow,
	countInFlight,
	createRandom,
	createServerTable,
} from '../src/index.ts'

const DURATION_MS = 14_000
/** Measurement starts after the service has filled, ms. */
const WARM_UP_MS = 3_000
const DATA_CENTRES = 3
/** Standard deviation of the logarithm of a stream's duration. */
const SIGMA = 0.75
/** Maximum duration of a stream relative to the mean. */
const MAX_FACTOR = 2.5

interface Scenario {
	readonly name: string
	readonly entries: number
	readonly ranks: number
	readonly slots: number
	readonly perSecond: number
	readonly streamMs: number
	readonly exchangeMs: number
	/** Maximum requests queued behind slots, in percent. */
	readonly maxQueued: number
	/** Minimum that are queued if all entries compare all ranks, in percent. */
	readonly minQueuedLeastLoaded: number
}

const SCENARIOS: Scenario[] = [
	{
		name: 'half of the slots of 64 ranks, 16 entries',
		entries: 16,
		ranks: 64,
		slots: 7,
		perSecond: 157,
		streamMs: 1_350,
		exchangeMs: 150,
		maxQueued: 0.1,
		minQueuedLeastLoaded: 1.5,
	},
	{
		name: 'two thirds of the slots of 64 ranks, 16 entries',
		entries: 16,
		ranks: 64,
		slots: 7,
		perSecond: 220,
		streamMs: 1_350,
		exchangeMs: 150,
		maxQueued: 0.3,
		minQueuedLeastLoaded: 4,
	},
	{
		name: 'two thirds of the slots of 16 ranks, 4 entries',
		entries: 4,
		ranks: 16,
		slots: 8,
		perSecond: 52,
		streamMs: 1_600,
		exchangeMs: 150,
		maxQueued: 0.2,
		minQueuedLeastLoaded: 0,
	},
	{
		name: 'three fifths of the slots of 192 ranks, 36 entries',
		entries: 36,
		ranks: 192,
		slots: 4,
		perSecond: 326,
		streamMs: 1_400,
		exchangeMs: 216,
		maxQueued: 0.5,
		minQueuedLeastLoaded: 15,
	},
]

/** Selects a rank for a request of an entry. */
type Select = (
	table: ServerTable,
	unreportedSends: number,
	random: Random,
) => number

function sampled(
	table: ServerTable,
	unreportedSends: number,
	random: Random,
): number {
	const query = {
		rows: [...table.slots.keys()],
		tried: new Set<number>(),
		// No rank counts as full: requests beyond the slots are measured.
		queueCapacity: 20,
		permitted: new Set<number>(),
		withheld: new Set<number>(),
		closedGroups: new Set<number>(),
		localRows: new Set(table.slots.keys()),
		unreportedSends,
	}
	const choice = chooseRow(table, query, 0, random)
	return choice.kind === 'row' ? choice.row : 0
}

/** Selects the least loaded rank; those assigned to other entries count 0.75 more. */
function leastLoaded(table: ServerTable, _: number, random: Random): number {
	const size = table.slots.length
	const from = Math.floor(random() * size)
	let best = 0
	let minLoad = Number.POSITIVE_INFINITY
	for (let at = 0; at < size; at++) {
		const row = (from + at) % size
		const load =
			countInFlight(table, row) + 0.75 * table.assignedElsewhere[row]!
		if (load >= minLoad) continue
		minLoad = load
		best = row
	}
	return best
}

/** An entry's requests at each rank, now and as last reported. */
interface Entry {
	readonly table: ServerTable
	readonly lastReported: number[]
	nextExchangeAt: number
	unreportedSends: number
}

function createEntries({
	entries,
	ranks,
	slots,
	perSecond,
	exchangeMs,
}: Scenario) {
	const servers = Array.from({ length: ranks }, (_, at) => ({
		id: `s${String((at * 37) % ranks).padStart(3, '0')}`,
		dataCentre: `z${at % DATA_CENTRES}`,
	}))
	const demand: EntryDemand[] = Array.from({ length: entries }, (_, at) => ({
		name: `e${String(at).padStart(2, '0')}`,
		dataCentre: `z${at % DATA_CENTRES}`,
		perSecond: perSecond / entries,
	}))
	return demand.map((own, at): Entry => {
		const others = demand.filter(one => one !== own)
		const assigned = new Set(assignServers(own, others, servers))
		const table = createServerTable(servers.map(server => server.id))
		table.slots.fill(slots)
		table.open.fill(1)
		for (let row = 0; row < ranks; row++)
			table.assignedElsewhere[row] = assigned.has(row) ? 0 : 1
		return {
			table,
			lastReported: new Array<number>(ranks).fill(0),
			nextExchangeAt: (at / entries) * exchangeMs,
			unreportedSends: 0,
		}
	})
}

/** Returns the share of requests queued behind slots, in percent. */
function simulate(scenario: Scenario, select: Select, seed: number): number {
	const { ranks, slots, perSecond, streamMs, exchangeMs } = scenario
	const random = createRandom(seed)
	const entries = createEntries(scenario)
	const inFlight = new Array<number>(ranks).fill(0)
	let running: { readonly end: number; readonly entry: Entry; row: number }[] =
		[]
	let total = 0
	let queued = 0
	for (let now = 0; now < DURATION_MS; ) {
		now -= (Math.log(1 - random()) * 1_000) / perSecond
		for (const { end, entry, row } of running) {
			if (end > now) continue
			entry.table.sentSinceReport[row]!--
			inFlight[row]!--
		}
		running = running.filter(one => one.end > now)
		for (const entry of entries)
			if (entry.nextExchangeAt <= now) exchange(entry)
		const entry = entries[Math.floor(random() * entries.length)]!
		const row = select(entry.table, entry.unreportedSends, random)
		if (now > WARM_UP_MS) total++
		if (now > WARM_UP_MS && inFlight[row]! >= slots) queued++
		entry.table.sentSinceReport[row]!++
		entry.unreportedSends++
		inFlight[row]!++
		running.push({ end: now + randomStreamMs(streamMs, random), entry, row })
	}
	return (100 * queued) / total

	function exchange(entry: Entry): void {
		for (let row = 0; row < ranks; row++) {
			const change =
				entry.table.sentSinceReport[row]! - entry.lastReported[row]!
			entry.lastReported[row]! += change
			if (change === 0) continue
			for (const other of entries)
				if (other !== entry) other.table.reportedLoad[row]! += change
		}
		entry.nextExchangeAt += exchangeMs
		entry.unreportedSends = 0
	}
}

function randomStreamMs(meanMs: number, random: Random): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random()))
	const normal = radius * Math.cos(2 * Math.PI * random())
	const factor = Math.exp(SIGMA * normal - SIGMA ** 2 / 2)
	return meanMs * Math.min(MAX_FACTOR, factor)
}

for (const scenario of SCENARIOS)
	test(`stale loads: ${scenario.name}, few requests are queued behind slots`, () => {
		for (const seed of [1, 2]) {
			const percent = simulate(scenario, sampled, seed)
			assert.ok(
				percent <= scenario.maxQueued,
				`${percent}% queued behind slots`,
			)
			const byAll = simulate(scenario, leastLoaded, seed)
			assert.ok(
				byAll >= scenario.minQueuedLeastLoaded,
				`${byAll}% if all entries compare all ranks`,
			)
		}
	})

test.run()
