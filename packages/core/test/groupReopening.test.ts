/**
 * Groups open to requests that wait at all entries: pattern of the second after a
 * stop of everything. Entries know of each other, and of nothing that the others
 * send until they tell of it; each grants at once what waits at it. Without a
 * network. 64 ranks of 7 slots in two groups, 16 entries and some 420 requests are
 * those of a service that stood still for 2.3 s before 157 requests a second, with
 * callers who return. One that waits behind a rank's slots waits for a stream to end,
 * 1.4 s and more, and callers leave after 2 s.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EntryDemand } from '../src/index.ts'
import {
	assignServers,
	chooseRow,
	createRandom,
	createServerTable,
} from '../src/index.ts'

const RANKS = 64
const GROUPS = 2
const SLOTS = 7
const DATA_CENTRES = 3
const SEEDS = [1, 2, 3, 4, 5]

interface Rush {
	readonly name: string
	readonly entries: number
	/** Requests that wait at an entry. */
	waiting(entry: number): number
	/** Groups that an entry knows to be open when it grants. */
	readonly open: readonly number[]
	/** Most of the requests, in all seeds together, that get behind slots. */
	readonly behind: number
}

const ALL = [0, 1]
const FIRST = [0]

const RUSHES: Rush[] = [
	{
		name: 'both groups are known to be open',
		entries: 16,
		waiting: () => 26,
		open: ALL,
		behind: 0,
	},
	{
		name: 'one group is known to be open before the other',
		entries: 16,
		waiting: () => 26,
		open: FIRST,
		behind: 30,
	},
	{
		name: 'one group, callers hashed to entries unevenly',
		entries: 16,
		waiting: entry => 14 + ((entry * 7) % 25),
		open: FIRST,
		behind: 0,
	},
	{
		name: 'four entries',
		entries: 4,
		waiting: () => 104,
		open: FIRST,
		behind: 0,
	},
]

/**
 * Requests that wait behind the slots of ranks, and those kept at entries. An entry
 * that is not aware of the others takes their servers for as empty as they told.
 */
function play(rush: Rush, isAware: boolean, seed: number) {
	const { entries, waiting, open } = rush
	const random = createRandom(seed)
	const servers = Array.from({ length: RANKS }, (_, at) => ({
		id: `s${String((at * 37) % RANKS).padStart(2, '0')}`,
		dataCentre: `z${at % DATA_CENTRES}`,
	}))
	const demand: EntryDemand[] = Array.from({ length: entries }, (_, at) => ({
		name: `e${at}`,
		dataCentre: `z${at % DATA_CENTRES}`,
		perSecond: waiting(at) / 2,
	}))
	const given = new Array<number>(RANKS).fill(0)
	let kept = 0
	for (const [at, own] of demand.entries()) {
		const others = demand.filter(one => one !== own)
		const dealt = new Set(assignServers(own, others, servers))
		const table = createServerTable(servers.map(server => server.id))
		const rows = [...servers.keys()]
		for (const row of rows) {
			table.slots[row] = SLOTS
			table.open[row] = 1
			table.group[row] = row % GROUPS
			table.assignedElsewhere[row] = dealt.has(row) ? 0 : 1
		}
		const isNear = (row: number) => servers[row]!.dataCentre === own.dataCentre
		const query = {
			rows,
			tried: new Set<number>(),
			queueRoom: 0,
			permitted: new Set<number>(),
			withheld: new Set<number>(),
			shutGroups: new Set(ALL.filter(group => !open.includes(group))),
			near: new Set(rows.filter(isNear)),
		}
		for (let sent = 0; sent < waiting(at); sent++) {
			const untold = isAware ? sent : 0
			const choice = chooseRow(
				table,
				{ ...query, unreportedSends: untold },
				0,
				random,
			)
			if (choice.kind !== 'row') {
				kept += waiting(at) - sent
				break
			}
			table.sentSinceReport[choice.row]!++
			given[choice.row]!++
		}
	}
	const behind = given.reduce((sum, one) => sum + Math.max(0, one - SLOTS), 0)
	return { behind, kept }
}

for (const rush of RUSHES)
	test(`a rush on groups that open: ${rush.name}`, () => {
		const sum = (isAware: boolean) =>
			SEEDS.reduce((so, seed) => so + play(rush, isAware, seed).behind, 0)
		const aware = sum(true)
		assert.ok(aware <= rush.behind, `${aware} behind slots`)
		assert.ok(sum(false) > 50, 'without it many are')
	})

test.run()
