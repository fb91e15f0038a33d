/**
 * Groups reopen while requests wait at all entries, as in the second after a blockage of
 * the whole service. Each entry dispatches its waiting requests at once, without knowing
 * what the others send until the next load exchange. Guards against requests that pile up
 * on the same ranks: a request queued behind a rank's slots waits for a stream to end, at
 * least 1.4 s, and callers abandon requests after 2 s. The numbers (64 ranks of 7 slots in
 * two groups, 16 entries, about 420 requests) are those of a service that was blocked for
 * 2.3 s at 157 requests per second, with callers who retry. No network is involved.
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

interface Scenario {
	readonly name: string
	readonly entries: number
	/** Returns the requests that wait at an entry. */
	waitingAt(entry: number): number
	/** Groups known to be open when an entry dispatches. */
	readonly openGroups: readonly number[]
	/** Maximum requests queued behind slots, over all seeds together. */
	readonly maxQueued: number
}

const ALL_GROUPS = [0, 1]
const FIRST_GROUP = [0]

const SCENARIOS: Scenario[] = [
	{
		name: 'both groups are known to be open',
		entries: 16,
		waitingAt: () => 26,
		openGroups: ALL_GROUPS,
		maxQueued: 0,
	},
	{
		name: 'one group is known to be open before the other',
		entries: 16,
		waitingAt: () => 26,
		openGroups: FIRST_GROUP,
		maxQueued: 30,
	},
	{
		name: 'one group, uneven numbers of callers per entry',
		entries: 16,
		waitingAt: entry => 14 + ((entry * 7) % 25),
		openGroups: FIRST_GROUP,
		maxQueued: 0,
	},
	{
		name: 'four entries',
		entries: 4,
		waitingAt: () => 104,
		openGroups: FIRST_GROUP,
		maxQueued: 0,
	},
]

/**
 * Returns the requests queued behind the slots of ranks, and those still waiting at
 * entries. An entry that does not estimate the unreported load of the others assumes that
 * their servers are as empty as last reported.
 */
function simulate(scenario: Scenario, isEstimating: boolean, seed: number) {
	const { entries, waitingAt, openGroups } = scenario
	const random = createRandom(seed)
	const servers = Array.from({ length: RANKS }, (_, at) => ({
		id: `s${String((at * 37) % RANKS).padStart(2, '0')}`,
		dataCentre: `z${at % DATA_CENTRES}`,
	}))
	const demand: EntryDemand[] = Array.from({ length: entries }, (_, at) => ({
		name: `e${at}`,
		dataCentre: `z${at % DATA_CENTRES}`,
		perSecond: waitingAt(at) / 2,
	}))
	const sentTo = new Array<number>(RANKS).fill(0)
	let stillWaiting = 0
	for (const [at, own] of demand.entries()) {
		const others = demand.filter(one => one !== own)
		const assigned = new Set(assignServers(own, others, servers))
		const table = createServerTable(servers.map(server => server.id))
		const rows = [...servers.keys()]
		for (const row of rows) {
			table.slots[row] = SLOTS
			table.open[row] = 1
			table.group[row] = row % GROUPS
			table.assignedElsewhere[row] = assigned.has(row) ? 0 : 1
		}
		const isLocal = (row: number) => servers[row]!.dataCentre === own.dataCentre
		const query = {
			rows,
			tried: new Set<number>(),
			queueCapacity: 0,
			permitted: new Set<number>(),
			withheld: new Set<number>(),
			closedGroups: new Set(
				ALL_GROUPS.filter(group => !openGroups.includes(group)),
			),
			localRows: new Set(rows.filter(isLocal)),
		}
		for (let sent = 0; sent < waitingAt(at); sent++) {
			const unreportedSends = isEstimating ? sent : 0
			const choice = chooseRow(table, { ...query, unreportedSends }, 0, random)
			if (choice.kind !== 'row') {
				stillWaiting += waitingAt(at) - sent
				break
			}
			table.sentSinceReport[choice.row]!++
			sentTo[choice.row]!++
		}
	}
	const queued = sentTo.reduce((sum, one) => sum + Math.max(0, one - SLOTS), 0)
	return { queued, stillWaiting }
}

for (const scenario of SCENARIOS)
	test(`requests waiting when groups reopen: ${scenario.name}`, () => {
		const sum = (isEstimating: boolean) =>
			SEEDS.reduce(
				(total, seed) => total + simulate(scenario, isEstimating, seed).queued,
				0,
			)
		const queued = sum(true)
		assert.ok(queued <= scenario.maxQueued, `${queued} queued behind slots`)
		assert.ok(sum(false) > 50, 'without the estimate many are queued')
	})

test.run()
