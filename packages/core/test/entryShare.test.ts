/**
 * Entries that decide apart share the places of one group: pattern of a large
 * fleet before a full group, whose entries know of each other's requests a fifth
 * of a second late. Virtual time, no network; figures of the group are those of
 * 192 ranks whose passes allow 2.25 requests each, streams last 1.4 s in the mean.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EntryDemand } from '../src/index.ts'
import { admittedFraction, assignServers, createRandom } from '../src/index.ts'

const LIMIT = 432
const STREAM_MS = 1_400
/** Entries tell each other this often, ms; the time of 36 links. */
const TELL_MS = 216
const HORIZON_MS = 432
const STEP_MS = 2
const LENGTH_MS = 14_000
/** The group fills first. */
const FILLED_MS = 4_000

interface Played {
	/** Most requests held, over the limit, once the group is full. */
	readonly most: number
	/** Mean held, over the limit. */
	readonly mean: number
	/** Part of its requests that each entry refused. */
	readonly refused: readonly number[]
}

/** Requests a second that come to each entry at a time. */
type Load = (entry: number, now: number) => number

function play({ entries, hears, load }: Fleet, isShared: boolean): Played {
	const random = createRandom(7)
	const ends: number[][] = Array.from({ length: entries }, () => [])
	const told = new Array<number>(entries).fill(0)
	const wanted = new Array<number>(entries).fill(0)
	const ended = new Array<number>(entries).fill(0)
	const asked = new Array<number>(entries).fill(0)
	const refused = new Array<number>(entries).fill(0)
	let most = 0
	let sum = 0
	let looks = 0
	for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
		const perSecond = sumOf(wanted)
		const endedPerSecond = sumOf(ended)
		const intake = { perSecond, endedPerSecond, horizonMs: HORIZON_MS }
		for (let entry = 0; entry < entries; entry++) {
			const before = ends[entry]!.length
			ends[entry] = ends[entry]!.filter(end => end > now)
			const over = before - ends[entry]!.length
			ended[entry]! += over - ended[entry]! * (STEP_MS / 1_000)
			// Each tells at a time of its own.
			const turn = Math.floor((entry / entries) * TELL_MS)
			if ((now - turn) % TELL_MS < STEP_MS) told[entry] = ends[entry]!.length
			const comes = load(entry, now)
			wanted[entry]! += (comes - wanted[entry]!) * (STEP_MS / 1_000)
			if (random() >= (comes * STEP_MS) / 1_000) continue
			const own = ends[entry]!.length - told[entry]!
			const known = Array.from({ length: hears }, (_, at) => {
				return told[(entry + at + 1) % entries]!
			})
			const times = isShared ? (entries - 1) / hears : 1
			const room = LIMIT - times * sumOf(known) - told[entry]! - own
			const part = isShared ? admittedFraction(room, intake) : room >= 1 ? 1 : 0
			const isTaken = random() < part
			if (now >= FILLED_MS) asked[entry]!++
			if (isTaken) ends[entry]!.push(now - Math.log(1 - random()) * STREAM_MS)
			else if (now >= FILLED_MS) refused[entry]!++
		}
		if (now < FILLED_MS) continue
		const held = sumOf(ends.map(one => one.length))
		most = Math.max(most, held / LIMIT)
		sum += held / LIMIT
		looks++
	}
	return {
		most,
		mean: sum / looks,
		refused: refused.map((count, entry) => count / Math.max(1, asked[entry]!)),
	}
}

function sumOf(numbers: readonly number[]): number {
	return numbers.reduce((sum, one) => sum + one, 0)
}

function entryOf(at: number, perSecond = 10): EntryDemand {
	return { name: `e${at}`, dataCentre: `z${at % 5}`, perSecond }
}

/** What comes to 36 entries together: a fifth more than the group can serve. */
const PER_SECOND = (1.2 * LIMIT * 1_000) / STREAM_MS

interface Fleet {
	readonly entries: number
	/** Others that each entry hears. */
	readonly hears: number
	readonly load: Load
}

const FLEETS: (Fleet & { name: string })[] = [
	{
		name: '36 entries, even demand',
		entries: 36,
		hears: 35,
		load: () => PER_SECOND / 36,
	},
	{
		name: '36 entries, half of the callers of a data centre move to another',
		entries: 36,
		hears: 35,
		load: (entry, now) => {
			const isMoved = now > 6_000 && now < 10_000
			const times = entry % 5 === 0 ? 0.5 : entry % 5 === 1 ? 1.5 : 1
			return (PER_SECOND / 36) * (isMoved ? times : 1)
		},
	},
	{
		name: '330 entries that hear 40 others each',
		entries: 330,
		hears: 40,
		load: () => PER_SECOND / 330,
	},
]

for (const fleet of FLEETS) {
	test(`entries that decide apart: ${fleet.name}: the limit is used and kept`, () => {
		const { most, mean } = play(fleet, true)
		assert.ok(most < 1.12, `held ${most} of the limit`)
		assert.ok(mean > 0.95 && mean < 1.03, `${mean} of the limit used`)
	})

	test(`entries that decide apart: ${fleet.name}: all refuse alike`, () => {
		const { refused } = play(fleet, true)
		const mean = sumOf(refused) / fleet.entries
		const zones = Array.from({ length: 5 }, (_, zone) =>
			refused.filter((_, entry) => entry % 5 === zone),
		)
		for (const zone of zones) {
			const part = sumOf(zone) / zone.length
			assert.ok(part > mean / 2 && part < 2 * mean, `${part}, mean ${mean}`)
		}
	})
}

test('entries that decide apart: by what they see alone, 330 hold far too much', () => {
	assert.ok(play(FLEETS[2]!, false).mean > 1.15)
})

const SERVERS = Array.from({ length: 192 }, (_, at) => ({
	id: `s${at}`,
	dataCentre: `z${at % 5}`,
}))

const SIZES = [1, 3, 36, 330]

for (const size of SIZES)
	test(`servers dealt to ${size} entries: each to one of them`, () => {
		const entries = Array.from({ length: size }, (_, at) => entryOf(at, at % 7))
		const dealt = entries.flatMap(own =>
			assignServers(
				own,
				entries.filter(one => one !== own),
				SERVERS,
			),
		)
		assert.equal(
			[...dealt].sort((a, b) => a - b),
			[...SERVERS.keys()],
		)
	})

test('servers dealt to entries: as many as their part, mostly near', () => {
	const entries = Array.from({ length: 36 }, (_, at) => entryOf(at))
	const [own, ...others] = entries
	const dealt = assignServers(own!, others, SERVERS)
	assert.ok(dealt.length >= 5 && dealt.length <= 6, `${dealt.length}`)
	const near = dealt.filter(
		place => SERVERS[place]!.dataCentre === own!.dataCentre,
	)
	assert.ok(near.length >= dealt.length / 2)
})

test.run()
