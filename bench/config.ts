/**
 * Measures the gossip protocol over an in-memory network at three sizes: time until a
 * revision is in force everywhere, calls to the platform's service, and control
 * traffic. Baseline: every process watches the service itself.
 */

import type { GossipNet } from '../packages/core/test/models/gossipNet.ts'
import {
	createNet,
	killNode,
	measurePropagation,
	pickLive,
	publishChange,
	restartNode,
	runNet,
} from '../packages/core/test/models/gossipNet.ts'
import { isQuick, print, printTable } from './output.ts'

const SIZES = [50, 500, 4_230]
const REGIONS = 5
const SETTLE_MS = 12_000
const QUIET_MS = 60_000
const LIMIT_MS = 60_000
const TARGET_MS = 5_000
/** Baseline: calls of one process that watches the service. */
const WATCHES_PER_MINUTE = 2
/** Rate of changes at 2,500 a day. */
const CHANGES_PER_SECOND = 2_500 / 86_400
/** Size of one server's part of the document. */
const SERVER_BYTES = 150

const FAILURES: { name: string; loss: number; fail(net: GossipNet): void }[] = [
	{ name: 'none', loss: 0, fail: () => {} },
	{ name: '2% of messages lost', loss: 0.02, fail: () => {} },
	{
		name: 'all readers killed 1 s before',
		loss: 0,
		fail(net) {
			for (const node of [...net.nodes])
				for (const reader of node.readers.slice(0, 2)) {
					const at = net.indexOf.get(reader)!
					if (net.up[at]) killNode(net, at)
				}
			runNet(net, 1_000)
		},
	},
	{
		name: 'a tenth restarting',
		loss: 0,
		fail(net) {
			for (let n = 0; n < net.nodes.length / 10; n++)
				restartNode(net, pickLive(net))
		},
	},
]

/** Runs the benchmark. */
export async function run(): Promise<void> {
	const sizes = isQuick() ? SIZES.slice(0, 2) : SIZES
	const rows: string[][] = []
	const quietRows: string[][] = []
	for (const size of sizes) {
		const document = 'key = value of a server\n'.repeat(
			Math.ceil((size * SERVER_BYTES) / 24),
		)
		let template: GossipNet | undefined
		for (const { name, loss, fail } of FAILURES) {
			const options = { size, regions: REGIONS, seed: 1, loss, document }
			const net = createNet(options, false, template)
			template ??= createNet(options, false, net)
			runNet(net, SETTLE_MS)
			fail(net)
			publishChange(net, 2)
			const delaysMs = measurePropagation(net, 2, LIMIT_MS).sort(
				(a, b) => a - b,
			)
			const quantile = (fraction: number) =>
				delaysMs[
					Math.min(delaysMs.length - 1, Math.floor(delaysMs.length * fraction))
				] ?? 0
			print(`  measured ${size} nodes, failure: ${name}`)
			const missing = delaysMs.filter(ms => ms < 0).length
			rows.push([
				`${size} / ${name}`,
				String(quantile(0.5)),
				String(quantile(0.99)),
				String(quantile(1)),
				String(missing),
				quantile(0.99) <= TARGET_MS && missing === 0 ? 'met' : 'MISSED',
			])
			if (name === 'none') quietRows.push(measureQuiet(net))
		}
	}
	print('time until a revision is in force, ms')
	printTable(
		['nodes / failure', 'p50', 'p99', 'worst', 'never', 'aim p99 5 s'],
		rows,
	)
	print('\na minute without changes, and one change, per node')
	printTable(
		[
			'nodes',
			'calls/min',
			'baseline calls/min',
			'messages/s a node',
			'bytes/s a node',
			'bytes a change a node',
			'bytes/s at 2,500 changes a day',
		],
		quietRows,
	)
}

function measureQuiet(net: GossipNet): string[] {
	const size = net.nodes.length
	runNet(net, SETTLE_MS)
	const before = { ...net }
	runNet(net, QUIET_MS)
	const seconds = QUIET_MS / 1_000
	const calls = net.calls - before.calls
	const messages = (net.messages - before.messages) / seconds / size
	const bytes = (net.bytes - before.bytes) / seconds / size
	const beforeChange = net.bytes
	publishChange(net, 3)
	measurePropagation(net, 3, LIMIT_MS)
	runNet(net, 1_000)
	const change = (net.bytes - beforeChange) / size
	return [
		String(size),
		String(calls),
		String(size * WATCHES_PER_MINUTE),
		messages.toFixed(2),
		bytes.toFixed(1),
		change.toFixed(0),
		(bytes + change * CHANGES_PER_SECOND).toFixed(0),
	]
}
