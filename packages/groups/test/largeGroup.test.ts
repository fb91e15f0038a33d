/** Agents of a group with more ranks than those whose counts are read. */

import { createEventLog, serveRpc } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { startAgent } from '../src/index.ts'
import { addressOf, startGroup } from './standInGroup.ts'

const AGENT_PORT = 22_641
const ENTRY = '127.0.0.19:22642'
const RANKS = 24
/** A rank that is not among the first ones. */
const SLOW_RANK = 22
const PACE = 3
const SEED = 20261202
/** Far beyond what it takes, also on a busy machine, ms. */
const LONG_MS = 20_000

const log = { ...createEventLog('test'), write: () => {}, flush: () => {} }
const group = startGroup(SEED, RANKS)
const told: Record<string, number>[] = []

async function startAll(): Promise<void> {
	const paces = (news: { paces: Record<string, number> }) =>
		void told.push(news.paces)
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

test.after(() => {
	group.stop()
	setImmediate(() => process.exit())
})
test.run()
