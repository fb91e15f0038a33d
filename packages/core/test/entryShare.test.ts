/**
 * Entries of a large fleet share the slots of one full group without coordination,
 * while they learn of each other's requests about 0.2 s late. Virtual time, no network.
 * The group has 192 ranks with 2.25 requests each; streams last 1.4 s on average.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EntryDemand } from '../src/index.ts'
import { admittedFraction, assignServers, createRandom } from '../src/index.ts'

const LIMIT = 432
const STREAM_MS = 1_400
/** Interval at which entries report to each other, ms; that of 36 links. */
const REPORT_INTERVAL_MS = 216
const HORIZON_MS = 432
const STEP_MS = 2
const DURATION_MS = 14_000
/** Time for the group to fill up; not measured. */
const WARM_UP_MS = 4_000

interface Measured {
	/** Maximum of requests in flight, relative to the limit, after the warm-up. */
	readonly max: number
	/** Mean of requests in flight, relative to the limit. */
	readonly mean: number
	/** Fraction of its requests that each entry refused. */
	readonly refused: readonly number[]
}

/** Requests per second that arrive at an entry at a given time. */
type Load = (entry: number, now: number) => number

function simulate(
	{ entries, visible, load }: Fleet,
	isShared: boolean,
): Measured {
	const random = createRandom(7)
	const ends: number[][] = Array.from({ length: entries }, () => [])
	const reported = new Array<number>(entries).fill(0)
	const arriving = new Array<number>(entries).fill(0)
	const ended = new Array<number>(entries).fill(0)
	const offered = new Array<number>(entries).fill(0)
	const refused = new Array<number>(entries).fill(0)
	let max = 0
	let sum = 0
	let samples = 0
	for (let now = 0; now < DURATION_MS; now += STEP_MS) {
		const arrivalsPerSecond = sumOf(arriving)
		const completionsPerSecond = sumOf(ended)
		const traffic = {
			arrivalsPerSecond,
			completionsPerSecond,
			horizonMs: HORIZON_MS,
		}
		for (let entry = 0; entry < entries; entry++) {
			const runningBefore = ends[entry]!.length
			ends[entry] = ends[entry]!.filter(end => end > now)
			const completed = runningBefore - ends[entry]!.length
			ended[entry]! += completed - ended[entry]! * (STEP_MS / 1_000)
			// Each entry reports at its own offset.
			const offset = Math.floor((entry / entries) * REPORT_INTERVAL_MS)
			if ((now - offset) % REPORT_INTERVAL_MS < STEP_MS)
				reported[entry] = ends[entry]!.length
			const rate = load(entry, now)
			arriving[entry]! += (rate - arriving[entry]!) * (STEP_MS / 1_000)
			if (random() >= (rate * STEP_MS) / 1_000) continue
			const unreported = ends[entry]!.length - reported[entry]!
			const known = Array.from({ length: visible }, (_, at) => {
				return reported[(entry + at + 1) % entries]!
			})
			const times = isShared ? (entries - 1) / visible : 1
			const freeSlots =
				LIMIT - times * sumOf(known) - reported[entry]! - unreported
			const fraction = isShared
				? admittedFraction(freeSlots, traffic)
				: freeSlots >= 1
					? 1
					: 0
			const isAdmitted = random() < fraction
			if (now >= WARM_UP_MS) offered[entry]!++
			if (isAdmitted)
				ends[entry]!.push(now - Math.log(1 - random()) * STREAM_MS)
			else if (now >= WARM_UP_MS) refused[entry]!++
		}
		if (now < WARM_UP_MS) continue
		const inFlight = sumOf(ends.map(one => one.length))
		max = Math.max(max, inFlight / LIMIT)
		sum += inFlight / LIMIT
		samples++
	}
	return {
		max,
		mean: sum / samples,
		refused: refused.map(
			(count, entry) => count / Math.max(1, offered[entry]!),
		),
	}
}

function sumOf(numbers: readonly number[]): number {
	return numbers.reduce((sum, one) => sum + one, 0)
}

function entryOf(at: number, perSecond = 10): EntryDemand {
	return { name: `e${at}`, dataCentre: `z${at % 5}`, perSecond }
}

/** Arrivals per second over all entries: 20% more than the group can serve. */
const PER_SECOND = (1.2 * LIMIT * 1_000) / STREAM_MS

interface Fleet {
	readonly entries: number
	/** Number of other entries whose reports each entry receives. */
	readonly visible: number
	readonly load: Load
}

const FLEETS: (Fleet & { name: string })[] = [
	{
		name: '36 entries, even demand',
		entries: 36,
		visible: 35,
		load: () => PER_SECOND / 36,
	},
	{
		name: '36 entries, half of the demand of one data centre moves to another',
		entries: 36,
		visible: 35,
		load: (entry, now) => {
			const isMoved = now > 6_000 && now < 10_000
			const factor = entry % 5 === 0 ? 0.5 : entry % 5 === 1 ? 1.5 : 1
			return (PER_SECOND / 36) * (isMoved ? factor : 1)
		},
	},
	{
		name: '330 entries, each receiving the reports of 40 others',
		entries: 330,
		visible: 40,
		load: () => PER_SECOND / 330,
	},
]

for (const fleet of FLEETS) {
	test(`entry shares: ${fleet.name}: the limit is used and respected`, () => {
		const { max, mean } = simulate(fleet, true)
		assert.ok(max < 1.12, `maximum ${max} of the limit`)
		assert.ok(mean > 0.95 && mean < 1.03, `mean ${mean} of the limit`)
	})

	test(`entry shares: ${fleet.name}: entries refuse the same fraction`, () => {
		const { refused } = simulate(fleet, true)
		const mean = sumOf(refused) / fleet.entries
		const zones = Array.from({ length: 5 }, (_, zone) =>
			refused.filter((_, entry) => entry % 5 === zone),
		)
		for (const zone of zones) {
			const zoneMean = sumOf(zone) / zone.length
			assert.ok(
				zoneMean > mean / 2 && zoneMean < 2 * mean,
				`${zoneMean}, mean ${mean}`,
			)
		}
	})
}

test('entry shares: without extrapolation, 330 entries exceed the limit', () => {
	assert.ok(simulate(FLEETS[2]!, false).mean > 1.15)
})

const SERVERS = Array.from({ length: 192 }, (_, at) => ({
	id: `s${at}`,
	dataCentre: `z${at % 5}`,
}))

const SIZES = [1, 3, 36, 330]

for (const size of SIZES)
	test(`assigned servers: each to exactly one of ${size} entries`, () => {
		const entries = Array.from({ length: size }, (_, at) => entryOf(at, at % 7))
		const assigned = entries.flatMap(own =>
			assignServers(
				own,
				entries.filter(one => one !== own),
				SERVERS,
			),
		)
		assert.equal(
			[...assigned].sort((a, b) => a - b),
			[...SERVERS.keys()],
		)
	})

test('assigned servers: in proportion to demand, mostly in the same data centre', () => {
	const entries = Array.from({ length: 36 }, (_, at) => entryOf(at))
	const [own, ...others] = entries
	const assigned = assignServers(own!, others, SERVERS)
	assert.ok(
		assigned.length >= 5 && assigned.length <= 6,
		`${assigned.length} servers`,
	)
	const local = assigned.filter(
		index => SERVERS[index]!.dataCentre === own!.dataCentre,
	)
	assert.ok(local.length >= assigned.length / 2)
})

test.run()
