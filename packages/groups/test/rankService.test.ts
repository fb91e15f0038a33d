/** Agents that relay maps, one of which does not have the base of a delta. */

import type { EngineOrder, GroupMap, RankReport } from '@juniperhook/core'
import { call, connectRpc, serveRpc } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EnginePort, RankAnswer, RelayRequest } from '../src/index.ts'
import { createRankMethods, encodeOrder } from '../src/index.ts'

const AGENTS = ['127.0.0.71:22651', '127.0.0.72:22651', '127.0.0.73:22651']
const EPOCH = 3
const FIRST: GroupMap = [[[0, 1], [2], [0]]]
const SECOND: GroupMap = [[[0], [1, 2], [0]]]

/** Creates an engine that ignores its first `ignored` orders and executes the others. */
function createEngine(ignored = 0) {
	const executed: EngineOrder[] = []
	let unanswered = ignored
	let prepared = 0
	const port: Pick<EnginePort, 'order' | 'report'> = {
		async order(_address, order) {
			if (unanswered-- > 0) return 'silent'
			executed.push(order)
			if (order.type === 'prepare') prepared = order.version
			return 'done'
		},
		report: async () => ({ epoch: EPOCH, prepared }) as RankReport,
	}
	return { executed, port: port as EnginePort }
}

const engines = [createEngine(), createEngine(), createEngine(1)]

function prepare(version: number, map: GroupMap): EngineOrder {
	return { type: 'prepare', version, fence: version, epoch: EPOCH, map }
}

test('agents: one without the base map requests it from the sender of the delta', async () => {
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
	// The last agent does not receive the first map, as if it had restarted since.
	const first = encodeOrder(prepare(2, FIRST))
	assert.equal(await relay(first, AGENTS.slice(1, 2)), ['done', 'done'])
	const base = { epoch: EPOCH, version: 2, map: FIRST, experts: 3 }
	const second = encodeOrder(prepare(4, SECOND), base)
	assert.equal(await relay(second, AGENTS.slice(1)), ['done', 'done', 'done'])
	assert.equal(engines[2]!.executed, [prepare(4, SECOND)])
	link.socket.destroy()
})

test('agents: a delta against an unknown map is refused', async () => {
	const link = await connectRpc(AGENTS[0]!, {})
	const base = { epoch: EPOCH, version: 77, map: FIRST, experts: 3 }
	const order = encodeOrder(prepare(80, SECOND), base)
	assert.is(await call(link, 'order', order, 5_000), 'unknownBase')
	link.socket.destroy()
})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
