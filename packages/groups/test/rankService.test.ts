/** Agents that pass maps on, and one that lacks what changes are changes of. */

import type { EngineOrder, GroupMap, RankReport } from '@juniperhook/core'
import { call, connectRpc, serveRpc } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EnginePort, RankAnswer, RelayRequest } from '../src/index.ts'
import { createRankMethods, toOrderMessage } from '../src/index.ts'

const AGENTS = ['127.0.0.71:22651', '127.0.0.72:22651', '127.0.0.73:22651']
const EPOCH = 3
const FIRST: GroupMap = [[[0, 1], [2], [0]]]
const SECOND: GroupMap = [[[0], [1, 2], [0]]]

/** An engine that takes each map at once, but for its first `silent` orders. */
function createEngine(silent = 0) {
	const taken: EngineOrder[] = []
	let left = silent
	let prepared = 0
	const port: Pick<EnginePort, 'order' | 'report'> = {
		async order(_address, order) {
			if (left-- > 0) return 'silent'
			taken.push(order)
			if (order.type === 'prepare') prepared = order.version
			return 'done'
		},
		report: async () => ({ epoch: EPOCH, prepared }) as RankReport,
	}
	return { taken, port: port as EnginePort }
}

const engines = [createEngine(), createEngine(), createEngine(1)]

function prepare(version: number, map: GroupMap): EngineOrder {
	return { type: 'prepare', version, fence: version, epoch: EPOCH, map }
}

test('agents: one that lacks a map gets it from whom its changes came', async () => {
	for (const [at, { port }] of engines.entries())
		await serveRpc(
			AGENTS[at]!,
			createRankMethods(
				port,
				'',
				() => ({ rank: at, active: false }),
				() => undefined,
			),
		)
	const link = await connectRpc(AGENTS[0]!, {})
	const relay = (order: RelayRequest['order'], to: readonly string[]) => {
		const req: RelayRequest = { order, to, fanOut: 1, workMs: 900, hopMs: 900 }
		return call<RankAnswer[]>(link, 'relay', req, 5_000)
	}
	// The last agent is not told of the first map: it was started anew since.
	const first = toOrderMessage(prepare(2, FIRST))
	assert.equal(await relay(first, AGENTS.slice(1, 2)), ['done', 'done'])
	const base = { epoch: EPOCH, version: 2, map: FIRST, experts: 3 }
	const second = toOrderMessage(prepare(4, SECOND), base)
	assert.equal(await relay(second, AGENTS.slice(1)), ['done', 'done', 'done'])
	assert.equal(engines[2]!.taken, [prepare(4, SECOND)])
	link.socket.destroy()
})

test('agents: changes of a map that nobody knows are not guessed', async () => {
	const link = await connectRpc(AGENTS[0]!, {})
	const base = { epoch: EPOCH, version: 77, map: FIRST, experts: 3 }
	const order = toOrderMessage(prepare(80, SECOND), base)
	assert.is(await call(link, 'order', order, 5_000), 'unknownBase')
	link.socket.destroy()
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
