/** Spreading of published values: convergence, no reversal, bounded calls. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	applyPatch,
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
	measureSpread,
	pickLive,
	publishChange,
	restartNode,
	runNet,
} from './models/gossipNet.ts'

const DOCUMENT = 'line = 1\n'.repeat(200)
const TICK_MS = 100
/** A whole document at 20 KB/s. */
const TRANSFER_MS = 30_000

test('spread: a document that takes long is not asked for every second', () => {
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

const BASE = { size: 60, regions: 3, seed: 7, loss: 0, document: DOCUMENT }
const IN_FORCE_MS = 5_000

const CASES: {
	name: string
	loss: number
	fail(net: GossipNet): void
	/** Time within which all live nodes must have the revision, ms. */
	withinMs: number
}[] = [
	{ name: 'nothing fails', loss: 0, fail: () => {}, withinMs: IN_FORCE_MS },
	{
		name: 'a tenth of all messages is lost',
		loss: 0.1,
		fail: () => {},
		withinMs: 4 * IN_FORCE_MS,
	},
	{
		name: 'every reader dies',
		loss: 0,
		fail(net) {
			for (const node of [...net.nodes])
				for (const reader of node.readers.slice(0, 2))
					if (net.up[net.indexOf.get(reader)!])
						killNode(net, net.indexOf.get(reader)!)
			// Standbys need a while to miss them.
			runNet(net, 20_000)
		},
		withinMs: 4 * IN_FORCE_MS,
	},
	{
		name: 'a third of the nodes restarts',
		loss: 0,
		fail(net) {
			for (let n = 0; n < 20; n++) restartNode(net, pickLive(net))
		},
		withinMs: IN_FORCE_MS,
	},
]

for (const { name, loss, fail, withinMs } of CASES)
	test(`spread: a revision reaches everyone when ${name}`, () => {
		const net = createNet({ ...BASE, loss })
		measureSpread(net, 1, 30_000)
		fail(net)
		publishChange(net, 2)
		const took = measureSpread(net, 2, withinMs)
		assert.ok(took.every(ms => ms >= 0))
		assert.is(net.reversals, 0)
	})

test('spread: a service that goes back takes nobody back', () => {
	const net = createNet(BASE)
	publishChange(net, 5)
	measureSpread(net, 5, 30_000)
	publishChange(net, 3)
	runNet(net, 5_000)
	for (let n = 0; n < 10; n++) restartNode(net, pickLive(net))
	runNet(net, 20_000)
	assert.ok(net.inForce.every(revision => revision === 5))
	assert.is(net.reversals, 0)
})

test('spread: without the guard a stale service takes the fleet back', () => {
	const net = createNet(BASE, true)
	publishChange(net, 5)
	runNet(net, 10_000)
	publishChange(net, 3)
	runNet(net, 40_000)
	assert.ok(net.reversals > 0)
})

test('spread: the service goes down right after one reader saw it', () => {
	const net = createNet(BASE)
	measureSpread(net, 1, 30_000)
	publishChange(net, 2)
	while (!net.inForce.includes(2)) runNet(net, 5)
	net.published = undefined
	const took = measureSpread(net, 2, IN_FORCE_MS)
	assert.ok(took.every(ms => ms >= 0))
})

test('spread: two halves with two revisions heal to the higher', () => {
	const net = createNet(BASE)
	measureSpread(net, 1, 30_000)
	for (const at of net.part.keys()) net.part[at] = at % 2
	publishChange(net, 2)
	runNet(net, 3_000)
	net.published = undefined
	const before = net.messages
	for (const at of net.part.keys()) net.part[at] = 0
	restartNode(net, 0)
	const took = measureSpread(net, 2, 40_000)
	assert.ok(took.every(ms => ms >= 0))
	assert.ok(net.messages - before < 60 * net.nodes.length, 'no storm')
	assert.is(net.reversals, 0)
})

test('spread: calls to the service do not grow with the fleet', () => {
	const calls = [30, 120].map(size => {
		const net = createNet({ ...BASE, size })
		runNet(net, 10_000)
		const before = net.calls
		runNet(net, 60_000)
		return net.calls - before
	})
	assert.is(calls[0], calls[1])
})

test('spread, random failures: never back, always together in the end', () => {
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		const net = createNet({ ...BASE, seed, loss: 0.05 })
		let revision = 1
		for (let round = 0; round < 20; round++) {
			const what = randomIndex(net.random, 5)
			if (what === 0) publishChange(net, ++revision)
			if (what === 1) restartNode(net, pickLive(net))
			if (what === 2) for (const at of net.part.keys()) net.part[at] = at % 2
			if (what === 3) net.part.fill(0)
			if (what === 4 && revision > 2) publishChange(net, revision - 1)
			runNet(net, 1_000)
		}
		net.part.fill(0)
		publishChange(net, ++revision)
		const took = measureSpread(net, revision, 60_000)
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
		// On another base: the right text or none, never a wrong one.
		for (const base of [`${from}x`, `x${from}`, 'q'])
			assert.ok([to, undefined].includes(applyPatch(base, patch)))
	})

test.run()
