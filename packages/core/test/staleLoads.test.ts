/**
 * Entries choose among ranks by loads that they were told a while ago: pattern of
 * an ordinary day before several entries. Virtual time, no network. Rates, ranks and
 * the time of streams (1.3 to 1.6 s in the mean, a tail of half a magnitude) are those
 * of services of three sizes; between two tellings pass 150 ms, 216 with 36 entries.
 * A request behind a rank's slots waits for a stream to end, for longer than the
 * 0.4 s within which it is to begin.
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

const LENGTH_MS = 14_000
/** The service fills first. */
const FILLED_MS = 3_000
const DATA_CENTRES = 3
/** Of the logarithm of a stream's time. */
const SPREAD = 0.75
const LONGEST_TIMES = 2.5

interface Load {
	readonly name: string
	readonly entries: number
	readonly ranks: number
	readonly slots: number
	readonly perSecond: number
	readonly streamMs: number
	readonly tellMs: number
	/** Most of the requests that may get behind slots, in percent. */
	readonly behind: number
	/** Least that do when all entries compare all ranks, in percent. */
	readonly behindByAll: number
}

const LOADS: Load[] = [
	{
		name: 'half of 64 ranks, 16 entries',
		entries: 16,
		ranks: 64,
		slots: 7,
		perSecond: 157,
		streamMs: 1_350,
		tellMs: 150,
		behind: 0.1,
		behindByAll: 1.5,
	},
	{
		name: 'two thirds of 64 ranks, 16 entries',
		entries: 16,
		ranks: 64,
		slots: 7,
		perSecond: 220,
		streamMs: 1_350,
		tellMs: 150,
		behind: 0.3,
		behindByAll: 4,
	},
	{
		name: 'two thirds of 16 ranks, 4 entries',
		entries: 4,
		ranks: 16,
		slots: 8,
		perSecond: 52,
		streamMs: 1_600,
		tellMs: 150,
		behind: 0.2,
		behindByAll: 0,
	},
	{
		name: 'three fifths of 192 ranks, 36 entries',
		entries: 36,
		ranks: 192,
		slots: 4,
		perSecond: 326,
		streamMs: 1_400,
		tellMs: 216,
		behind: 0.5,
		behindByAll: 15,
	},
]

/** How an entry chooses a rank of its table. */
type Choose = (table: ServerTable, untold: number, random: Random) => number

function drawn(table: ServerTable, untold: number, random: Random): number {
	const query = {
		rows: [...table.slots.keys()],
		tried: new Set<number>(),
		// No rank is full for the choice: what gets behind slots is counted.
		queueRoom: 20,
		permitted: new Set<number>(),
		withheld: new Set<number>(),
		shutGroups: new Set<number>(),
		near: new Set(table.slots.keys()),
		untold,
	}
	const choice = chooseRow(table, query, 0, random)
	return choice.kind === 'row' ? choice.row : 0
}

/** The least held as far as is known, and three quarters more elsewhere. */
function leastOfAll(table: ServerTable, _: number, random: Random): number {
	const size = table.slots.length
	const from = Math.floor(random() * size)
	let best = 0
	let least = Number.POSITIVE_INFINITY
	for (let at = 0; at < size; at++) {
		const row = (from + at) % size
		const held =
			countInFlight(table, row) + 0.75 * table.assignedElsewhere[row]!
		if (held >= least) continue
		least = held
		best = row
	}
	return best
}

/** Requests of an entry at each rank, now and as last told. */
interface Entry {
	readonly table: ServerTable
	readonly told: number[]
	nextTellAt: number
	untold: number
}

function openEntries({ entries, ranks, slots, perSecond, tellMs }: Load) {
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
		const dealt = new Set(assignServers(own, others, servers))
		const table = createServerTable(servers.map(server => server.id))
		table.slots.fill(slots)
		table.open.fill(1)
		for (let row = 0; row < ranks; row++)
			table.assignedElsewhere[row] = dealt.has(row) ? 0 : 1
		return {
			table,
			told: new Array<number>(ranks).fill(0),
			nextTellAt: (at / entries) * tellMs,
			untold: 0,
		}
	})
}

/** Part of the requests that got behind slots, in percent. */
function play(load: Load, choose: Choose, seed: number): number {
	const { ranks, slots, perSecond, streamMs, tellMs } = load
	const random = createRandom(seed)
	const entries = openEntries(load)
	const held = new Array<number>(ranks).fill(0)
	let open: { readonly end: number; readonly entry: Entry; row: number }[] = []
	let asked = 0
	let behind = 0
	for (let now = 0; now < LENGTH_MS; ) {
		now -= (Math.log(1 - random()) * 1_000) / perSecond
		for (const { end, entry, row } of open) {
			if (end > now) continue
			entry.table.sentSinceReport[row]!--
			held[row]!--
		}
		open = open.filter(one => one.end > now)
		for (const entry of entries) if (entry.nextTellAt <= now) tell(entry)
		const entry = entries[Math.floor(random() * entries.length)]!
		const row = choose(entry.table, entry.untold, random)
		if (now > FILLED_MS) asked++
		if (now > FILLED_MS && held[row]! >= slots) behind++
		entry.table.sentSinceReport[row]!++
		entry.untold++
		held[row]!++
		open.push({ end: now + drawStreamMs(streamMs, random), entry, row })
	}
	return (100 * behind) / asked

	function tell(entry: Entry): void {
		for (let row = 0; row < ranks; row++) {
			const change = entry.table.sentSinceReport[row]! - entry.told[row]!
			entry.told[row]! += change
			if (change === 0) continue
			for (const other of entries)
				if (other !== entry) other.table.reportedLoad[row]! += change
		}
		entry.nextTellAt += tellMs
		entry.untold = 0
	}
}

function drawStreamMs(meanMs: number, random: Random): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random()))
	const normal = radius * Math.cos(2 * Math.PI * random())
	const times = Math.exp(SPREAD * normal - SPREAD ** 2 / 2)
	return meanMs * Math.min(LONGEST_TIMES, times)
}

for (const load of LOADS)
	test(`loads told a while ago: ${load.name}, few get behind slots`, () => {
		for (const seed of [1, 2]) {
			const percent = play(load, drawn, seed)
			assert.ok(percent <= load.behind, `${percent}% behind slots`)
			const byAll = play(load, leastOfAll, seed)
			assert.ok(byAll >= load.behindByAll, `${byAll}% where all compare all`)
		}
	})

test.run()
