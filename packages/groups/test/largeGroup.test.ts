/** Agents of a group with more ranks than those whose counts are read. */

import { createEventLog, serveRpc } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createOrderRelay, relayOrder, startAgent } from '../src/index.ts'
import { addressOf, startFakeGroup } from './fakeGroup.ts'

const AGENT_PORT = 22_641
const ENTRY = '127.0.0.19:22642'
const RANKS = 30
/** A rank that is not among the first ones. */
const SLOW_RANK = 22
const PACE = 3
const SEED = 20261202
/** Far beyond what it takes, also on a busy machine, ms. */
const LONG_MS = 20_000

const log = { ...createEventLog('test'), write: () => {}, flush: () => {} }
const group = startFakeGroup(SEED, RANKS)
const told: Record<string, number>[] = []

async function startAll(): Promise<void> {
	const paces = (news: { slow: Record<string, number> }) => {
		told.push(news.slow)
		return []
	}
	await serveRpc(ENTRY, { paces })
	for (let rank = 0; rank < RANKS; rank++) {
		const engine = addressOf(rank)
		const [ip = ''] = engine.split(':')
		const settings = {
			name: `side-${rank}`,
			ip,
			agentPort: AGENT_PORT,
			engine,
			service: 's',
			linkMbps: 6,
			entries: [ENTRY],
		}
		const source = { read: async () => group.group }
		void startAgent(settings, group.port, source, log)
	}
}

test('large group: a slow rank beyond those that are counted is told', async () => {
	await startAll()
	group.paces[SLOW_RANK] = PACE
	const end = performance.now() + LONG_MS
	const isTold = () => told.some(paces => paces[addressOf(SLOW_RANK)] === PACE)
	while (!isTold() && performance.now() < end)
		await new Promise(resolve => setTimeout(resolve, 20))
	assert.ok(isTold(), JSON.stringify(told.at(-1)))
	assert.is(Object.keys(told.at(-1)!).length, 1)
	assert.equal(group.mixed, [])
})

test('large group: a map that agents relay is used by all at once', async () => {
	await awaitMaps()
})

test('large group: the same with orders lost and late, and a rank cut off', async () => {
	group.lossRate = 0.2
	group.cutOff.add(addressOf(SLOW_RANK))
	group.reform()
	await new Promise(resolve => setTimeout(resolve, 500))
	group.cutOff.clear()
	await awaitMaps()
})

/** Two changes of map, without a pass that begins with two of them. */
async function awaitMaps(): Promise<void> {
	const seen = new Set<number>()
	const end = performance.now() + LONG_MS
	while (seen.size < 2 && performance.now() < end) {
		seen.add(group.engines[RANKS - 1]!.map)
		await new Promise(resolve => setTimeout(resolve, 20))
	}
	assert.ok(seen.size >= 2, JSON.stringify([...seen]))
	assert.equal(group.mixed, [])
}

const ADDRESSES = ['127.0.0.60:22643', '127.0.0.61:22643', '127.0.0.62:22643']

test('large group: an agent passes an order on and says who took it', async () => {
	await serveRpc(ADDRESSES[0]!, { relay: () => ['done'] })
	await serveRpc(ADDRESSES[1]!, { relay: () => new Promise(() => {}) })
	const order = { type: 'probe', epoch: 1 } as const
	const relay = createOrderRelay()
	const req = { order, to: ADDRESSES, fanOut: 3, workMs: 60, hopMs: 40 }
	assert.equal(await relayOrder(relay, req), ['done', null, null])
})

test.after(() => {
	group.stop()
	setImmediate(() => process.exit())
})
test.run()
