/** Gossip of published values: convergence, no reversal, bounded calls. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	applyPatch,
	compareWithRandomMembers,
	createGossipNode,
	createRandom,
	handleGossipMessage,
	makePatch,
	randomIndex,
	setMembers,
	tickGossip,
} from '../src/index.ts'
import type { GossipNet } from './models/gossipNet.ts'
import {
	createNet,
	killNode,
	measurePropagation,
	pickLive,
	publishChange,
	restartNode,
	runNet,
} from './models/gossipNet.ts'

const DOCUMENT = 'line = 1\n'.repeat(200)
const TICK_MS = 100
/** Transfer time of a full document at 20 KB/s. */
const TRANSFER_MS = 30_000

test('gossip: fetches of a slowly transferred document back off', () => {
	const node = createGossipNode('self', 'north', 0)
	const members = ['a', 'b', 'c', 'self'].map(name => ({
		name,
		region: 'north',
	}))
	setMembers(node, members, 0)
	const random = createRandom(1)
	let fetches = 0
	for (let now = 0; now < TRANSFER_MS; now += TICK_MS) {
		const notice = { type: 'notice', topic: 'config', revision: 2 } as const
		const effects = [
			...handleGossipMessage(node, 'b', notice, now),
			...tickGossip(node, now, random),
		]
		for (const effect of effects)
			if (effect.do === 'send' && effect.message.type === 'fetch') fetches++
	}
	assert.ok(fetches <= 6, `${fetches} fetches`)
	const text = DOCUMENT
	const value = { type: 'value', topic: 'config', revision: 2, text } as const
	const effects = handleGossipMessage(node, 'b', value, TRANSFER_MS)
	assert.ok(effects.some(effect => effect.do === 'adopt'))
	assert.is(node.topics.config.fetching, undefined)
})

/** Numbers that the choice of a few members may draw, far above what it needs. */
const MAX_DRAWS = 1_000

const LISTS: { name: string; listed: readonly string[]; compared: number }[] = [
	{ name: 'each VM is listed once', listed: ['a', 'b', 'self'], compared: 2 },
	{
		name: 'a replaced VM is listed twice',
		listed: ['a', 'a', 'self'],
		compared: 1,
	},
	{ name: 'only this VM is listed', listed: ['self', 'self'], compared: 0 },
]

// Guards against a process that never leaves the choice of members at its start.
for (const { name, listed, compared } of LISTS)
	test(`gossip: a start ends if ${name}`, () => {
		const node = createGossipNode('self', 'north', 0)
		const members = listed.map(one => ({ name: one, region: 'north' }))
		setMembers(node, members, 0)
		const random = createRandom(1)
		let draws = 0
		const bounded = () => {
			assert.ok(++draws <= MAX_DRAWS, `${draws} draws`)
			return random()
		}
		const effects = compareWithRandomMembers(node, 3, bounded)
		assert.is(effects.length, compared)
	})

const BASE = { size: 60, regions: 3, seed: 7, loss: 0, document: DOCUMENT }
/** Time within which a revision must be active at all nodes without failures. */
const ACTIVE_MS = 5_000

const CASES: {
	name: string
	loss: number
	fail(net: GossipNet): void
	/** Time within which the revision must be active at all live nodes, ms. */
	withinMs: number
}[] = [
	{ name: 'nothing fails', loss: 0, fail: () => {}, withinMs: ACTIVE_MS },
	{
		name: '10% of messages are lost',
		loss: 0.1,
		fail: () => {},
		withinMs: 4 * ACTIVE_MS,
	},
	{
		name: 'every reader stops',
		loss: 0,
		fail(net) {
			for (const node of [...net.nodes])
				for (const reader of node.readers.slice(0, 2))
					if (net.up[net.indexOf.get(reader)!])
						killNode(net, net.indexOf.get(reader)!)
			// Standbys detect the failure of the readers only after a while.
			runNet(net, 20_000)
		},
		withinMs: 4 * ACTIVE_MS,
	},
	{
		name: 'a third of the nodes restart',
		loss: 0,
		fail(net) {
			for (let n = 0; n < 20; n++) restartNode(net, pickLive(net))
		},
		withinMs: ACTIVE_MS,
	},
]

for (const { name, loss, fail, withinMs } of CASES)
	test(`gossip: a revision reaches every node when ${name}`, () => {
		const net = createNet({ ...BASE, loss })
		measurePropagation(net, 1, 30_000)
		fail(net)
		publishChange(net, 2)
		const took = measurePropagation(net, 2, withinMs)
		assert.ok(took.every(ms => ms >= 0))
		assert.is(net.reversals, 0)
	})

test('gossip: a platform that goes back to a lower revision does not revert any node', () => {
	const net = createNet(BASE)
	publishChange(net, 5)
	measurePropagation(net, 5, 30_000)
	publishChange(net, 3)
	runNet(net, 5_000)
	for (let n = 0; n < 10; n++) restartNode(net, pickLive(net))
	runNet(net, 20_000)
	assert.ok(net.active.every(revision => revision === 5))
	assert.is(net.reversals, 0)
})

test('gossip: without the guard, a lower revision on the platform reverts nodes', () => {
	const net = createNet(BASE, true)
	publishChange(net, 5)
	runNet(net, 10_000)
	publishChange(net, 3)
	runNet(net, 40_000)
	assert.ok(net.reversals > 0)
})

test('gossip: a revision reaches every node if the platform fails after one reader has read it', () => {
	const net = createNet(BASE)
	measurePropagation(net, 1, 30_000)
	publishChange(net, 2)
	while (!net.active.includes(2)) runNet(net, 5)
	net.published = undefined
	const took = measurePropagation(net, 2, ACTIVE_MS)
	assert.ok(took.every(ms => ms >= 0))
})

test('gossip: two partitions with different revisions converge on the higher', () => {
	const net = createNet(BASE)
	measurePropagation(net, 1, 30_000)
	for (const at of net.partition.keys()) net.partition[at] = at % 2
	publishChange(net, 2)
	runNet(net, 3_000)
	net.published = undefined
	const before = net.messages
	for (const at of net.partition.keys()) net.partition[at] = 0
	restartNode(net, 0)
	const took = measurePropagation(net, 2, 40_000)
	assert.ok(took.every(ms => ms >= 0))
	assert.ok(
		net.messages - before < 60 * net.nodes.length,
		'too many messages after the partition healed',
	)
	assert.is(net.reversals, 0)
})

test('gossip: the number of calls to the platform does not grow with the fleet', () => {
	const calls = [30, 120].map(size => {
		const net = createNet({ ...BASE, size })
		runNet(net, 10_000)
		const before = net.calls
		runNet(net, 60_000)
		return net.calls - before
	})
	assert.is(calls[0], calls[1])
})

test('gossip, random failures: no reversal, and all nodes converge', () => {
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		const net = createNet({ ...BASE, seed, loss: 0.05 })
		let revision = 1
		for (let round = 0; round < 20; round++) {
			const action = randomIndex(net.random, 5)
			if (action === 0) publishChange(net, ++revision)
			if (action === 1) restartNode(net, pickLive(net))
			if (action === 2)
				for (const at of net.partition.keys()) net.partition[at] = at % 2
			if (action === 3) net.partition.fill(0)
			if (action === 4 && revision > 2) publishChange(net, revision - 1)
			runNet(net, 1_000)
		}
		net.partition.fill(0)
		publishChange(net, ++revision)
		const took = measurePropagation(net, revision, 60_000)
		assert.ok(
			took.every(ms => ms >= 0),
			`seed ${seed}`,
		)
		assert.is(net.reversals, 0)
	}
})

const PATCHES: [string, string][] = [
	['', 'a'],
	['a', ''],
	['abc', 'abc'],
	['abcabc', 'abc'],
	['abc', 'abcabc'],
	['one\ntwo\nthree', 'one\n2\nthree'],
]

for (const [from, to] of PATCHES)
	test(`patch: "${from}" to "${to}"`, () => {
		const patch = makePatch(from, to)
		assert.is(applyPatch(from, patch), to)
		// On another base, the result is the right text or undefined.
		for (const base of [`${from}x`, `x${from}`, 'q'])
			assert.ok([to, undefined].includes(applyPatch(base, patch)))
	})

test.run()
