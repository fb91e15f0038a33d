/** Rounds that are abandoned before their end. */

import type { MapPlan, RankReport } from '@juniperhook/core'
import { createRandom, distributeRoundRobin } from '@juniperhook/core'
import { clocks, createEventLog, readNow } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EnginePort, PublishedGroup } from '../src/index.ts'
import { applyGroup, createCoordinator, runRound } from '../src/index.ts'

const LAYOUT = {
	sets: 1,
	experts: 2,
	places: 2,
	maxNew: 1,
	expertMb: 1,
	expertShare: 0.85,
	reformMs: 10,
}
const REPORT: RankReport = {
	group: 'g',
	rank: 0,
	size: 1,
	epoch: 1,
	open: true,
	step: 5,
	map: 0,
	prepared: undefined,
	armed: undefined,
	held: undefined,
	running: 1,
	waiting: 0,
	pace: 1,
}
const GROUP: PublishedGroup = {
	members: [{ rank: 0, engine: '127.0.0.80:9000' }],
	layout: LAYOUT,
	linkMbps: 100,
	cost: { stepMs: 1, perRequestMs: 1, stepsPerPass: 1 },
	slots: 4,
	maxPauseMs: 100,
}
const PLAN: MapPlan = {
	placements: [distributeRoundRobin(1, LAYOUT)],
	mostNew: 1,
	copies: 1,
	skews: [1],
	before: 2,
	after: 1,
}

const { wall } = clocks

test.after.each(() => {
	clocks.wall = wall
})

/**
 * Runs a round in which no rank finishes preparing; returns the log lines of its end.
 */
async function runOutdated(): Promise<Record<string, unknown>[]> {
	const ended: Record<string, unknown>[] = []
	const log = {
		...createEventLog('test'),
		write: (event: string, fields: object = {}) => {
			if (event === 'round over') ended.push({ ...fields })
		},
	}
	const orders: string[] = []
	const port: Partial<EnginePort> = {
		report: async () => REPORT,
		async order(_address, order) {
			orders.push(order.type)
			// Demand shifts while the map is being prepared.
			if (order.type === 'prepare') co.shiftedAt = readNow()
			return order.type === 'prepare' ? new Promise(() => {}) : 'done'
		},
	}
	const co = createCoordinator(
		port as EnginePort,
		log,
		createRandom(1),
		0,
		22_661,
		500,
	)
	applyGroup(co, GROUP)
	await runRound(co, REPORT, PLAN)
	assert.not(orders.includes('hold'))
	return ended
}

const SUSPENDED: { name: string; forMs: number }[] = [
	{ name: 'a VM that was never suspended', forMs: 0 },
	{ name: 'a VM that was suspended before', forMs: 60_000 },
]

for (const { name, forMs } of SUSPENDED)
	test(`on ${name} a round with an outdated plan is abandoned while ranks copy experts`, async () => {
		clocks.wall = () => wall() + forMs
		const ended = await runOutdated()
		assert.is(ended.length, 1)
		assert.is(ended[0]!.phase, 'preparing')
		assert.is(ended[0]!.reason, 'demand has shifted')
	})

test.run()
