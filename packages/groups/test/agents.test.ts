/**
 * Agents that keep a group's map, over loopback: under orders that are lost or
 * late, VMs that are cut off, and a group that forms anew.
 */

import { createEventLog } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { startAgent } from '../src/index.ts'
import type { FakeGroup } from './fakeGroup.ts'
import { addressOf, RANKS, startFakeGroup } from './fakeGroup.ts'

const AGENT_PORT = 22_640
const SEED = 20261202
/** Far beyond what a change takes, also on a busy machine, ms. */
const LONG_MS = 20_000

const log = { ...createEventLog('test'), write: () => {}, flush: () => {} }
const group = startFakeGroup(SEED)

for (let rank = 0; rank < RANKS; rank++) {
	const engine = addressOf(rank)
	const [ip = ''] = engine.split(':')
	void startAgent(
		{
			name: `side-${rank}`,
			ip,
			agentPort: AGENT_PORT,
			engine,
			service: 's',
			linkMbps: 14,
			entries: [],
		},
		group.port,
		{ read: async () => group.group },
		log,
	)
}

async function until(condition: () => boolean): Promise<void> {
	const end = performance.now() + LONG_MS
	while (!condition() && performance.now() < end)
		await new Promise(resolve => setTimeout(resolve, 20))
	assert.ok(condition(), describe(group))
}

function describe({ engines, held, step, epoch }: FakeGroup): string {
	return JSON.stringify({
		held,
		step,
		epoch,
		engines: engines.map(({ map, armed, fence }) => ({ map, armed, fence })),
	})
}

/** Changes of map, seen at the first rank. */
async function awaitChange(): Promise<void> {
	const { map } = group.engines[0]!
	await until(() => group.engines[0]!.map !== map)
}

test('agents: a skewed demand leads to a new map, in every rank at once', async () => {
	await awaitChange()
	assert.equal(group.mixed, [])
})

test('agents: with a third of the orders lost or late, one map a pass', async () => {
	group.reform()
	group.lossRate = 0.35
	await awaitChange()
	group.reform()
	await awaitChange()
	assert.equal(group.mixed, [])
})

const CUTS = [1, 2, 3]

for (const rank of CUTS)
	test(`agents: rank ${rank} cut off for a while, the group goes on`, async () => {
		group.lossRate = 0
		group.reform()
		group.cutOff.add(addressOf(rank))
		const { step } = group
		await until(() => group.step > step + 60)
		group.cutOff.clear()
		await awaitChange()
		await until(() => group.held === undefined)
		assert.equal(group.mixed, [])
	})

test('agents: a hold that somebody left is let go', async () => {
	group.held = group.step + 3
	const { step } = group
	await until(() => group.step > step + 20)
	assert.equal(group.mixed, [])
})

test.after(() => {
	group.stop()
	setImmediate(() => process.exit())
})
test.run()
