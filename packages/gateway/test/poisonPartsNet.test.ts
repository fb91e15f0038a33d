/**
 * Requests that share a poison part at 1, 3, 12 and 36 entries in virtual time: updates
 * that are late or lost, entries that restart.
 */

import type { Random } from '@juniperhook/core'
import { createRandom, createSharedState } from '@juniperhook/core'
import { clocks } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { GatewayContext } from '../src/context.ts'
import { createCrashDetector } from '../src/crashDetectorState.ts'
import { recordPartsServed, recordServerCrash } from '../src/crashEvidence.ts'
import { isSendable, judgeParts } from '../src/partGate.ts'
import { createQuarantineGate } from '../src/quarantineState.ts'
import {
	createSentRequests,
	trackRequest,
	untrackRequest,
} from '../src/sentRequests.ts'
import {
	drainUpdates,
	listAllUpdates,
	receiveUpdates,
} from '../src/updateExchange.ts'

const POISON = 'dead'
const SOUND = ['s0', 's1', 's2', 's3']
const SEEDS = 5
const DURATION_MS = 40_000
/** Time for the sound parts to be answered before the first poison request, ms. */
const WARM_UP_MS = 2_000
const SOUND_EVERY_MS = 200
/** Time from the start of a poison request until its server crashes, ms. */
const MIN_RUN_MS = 40
const MAX_RUN_MS = 300
/** Time until the crash is noticed, interval of updates, and latency of messages, ms. */
const NOTICE_MS = 10
const UPDATE_INTERVAL_MS = 50
const LATENCY_MS = 5
/** Time until a link that lost a message reconnects and exchanges all state, ms. */
const RECONNECT_MS = 2_000
const CONTACT_MS = 3_000
const MAX_CRASHES = 5
const MAX_LATE_SENDS = 3

interface NetCase {
	readonly name: string
	/** Interval of poison requests, ms. */
	readonly everyMs: number
	readonly lossRate: number
	/** Interval of restarts of a random entry, ms; 0 for none. */
	readonly restartEveryMs: number
}

const NET_CASES: readonly NetCase[] = [
	{ name: 'one a second', everyMs: 1_000, lossRate: 0, restartEveryMs: 0 },
	{ name: 'three a second', everyMs: 333, lossRate: 0, restartEveryMs: 0 },
	{
		name: 'three a second, a tenth of the updates are lost',
		everyMs: 333,
		lossRate: 0.1,
		restartEveryMs: 0,
	},
	{
		name: 'one a second, an entry restarts every 7 s',
		everyMs: 1_000,
		lossRate: 0.1,
		restartEveryMs: 7_000,
	},
]

interface Net {
	readonly random: Random
	readonly contexts: GatewayContext[]
	readonly events: { at: number; act(): void }[]
	readonly crashes: number[]
	readonly sends: number[]
	refusedSound: number
}

let virtualNow = 0
let nextRequest = 1

function createContext(index: number, entries: number): GatewayContext {
	const sharedState = createSharedState()
	const control = `10.0.0.${index}:1`
	const reachable = Array.from({ length: entries }, (_, at) => `10.0.0.${at}:1`)
	const gauge = { set: () => {}, inc: () => {} }
	return {
		sharedState,
		outbox: new Map(),
		quarantineGate: createQuarantineGate(sharedState.quarantine),
		sentRequests: createSentRequests(),
		crashDetector: createCrashDetector(),
		cancelByRequest: new Map(),
		permitHomes: { membership: { reachable } },
		settings: { control },
		metrics: new Proxy({}, { get: () => gauge }),
		log: { write: () => {} },
		fleet: { table: { rowOf: new Map() } },
		list: { departed: new Set() },
	} as never
}

function schedule({ events }: Net, at: number, act: () => void): void {
	const before = events.findLastIndex(one => one.at > at)
	events.splice(before + 1, 0, { at, act })
}

/** Sends the updates of an entry to all others, some of them only by a new link. */
function exchange(net: Net, from: GatewayContext, lossRate: number): void {
	const items = drainUpdates(from)
	if (items.length === 0) return
	for (const to of net.contexts) {
		if (to === from) continue
		if (net.random() >= lossRate) {
			schedule(net, virtualNow + LATENCY_MS, () =>
				receiveUpdates(to, items, 'peer'),
			)
			continue
		}
		schedule(net, virtualNow + RECONNECT_MS, () =>
			receiveUpdates(to, listAllUpdates(from), 'peer'),
		)
	}
}

function requestWith(parts: readonly string[]) {
	const id = `r${nextRequest++}`
	const body = Buffer.from(id)
	return { id, method: 'POST', path: '/', body, sharedParts: parts } as never
}

function arrivePoison(net: Net): void {
	const at = Math.floor(net.random() * net.contexts.length)
	const ctx = net.contexts[at]!
	const part = SOUND[Math.floor(net.random() * SOUND.length)]!
	const request = requestWith([part, POISON])
	if (!isSendable(judgeParts(ctx, request))) return
	const server = `server-${net.sends.length}`
	net.sends.push(virtualNow)
	const sent = trackRequest(ctx.sentRequests, server, request)
	const runMs = MIN_RUN_MS + net.random() * (MAX_RUN_MS - MIN_RUN_MS)
	schedule(net, virtualNow + runMs + NOTICE_MS, () => {
		net.crashes.push(virtualNow)
		const running = [
			{
				id: sent.request.id,
				fingerprint: `1.${sent.request.id}`,
				sharedParts: sent.request.sharedParts,
				since: sent.since,
			},
		]
		recordServerCrash(ctx, server, virtualNow, running)
		untrackRequest(ctx.sentRequests, server, sent)
	})
}

function arriveSound(net: Net): void {
	const at = Math.floor(net.random() * net.contexts.length)
	const ctx = net.contexts[at]!
	const part = SOUND[Math.floor(net.random() * SOUND.length)]!
	const request = requestWith([part])
	const verdict = judgeParts(ctx, request)
	if (verdict.kind === 'quarantined') net.refusedSound++
	if (isSendable(verdict)) recordPartsServed(ctx, request)
}

function restart(net: Net): void {
	if (net.contexts.length === 1) return
	const at = Math.floor(net.random() * net.contexts.length)
	const fresh = createContext(at, net.contexts.length)
	const peer = net.contexts[(at + 1) % net.contexts.length]!
	receiveUpdates(fresh, listAllUpdates(peer), 'peer')
	net.contexts[at] = fresh
}

function simulate(one: NetCase, entries: number, seed: number): Net {
	const net: Net = {
		random: createRandom(seed),
		contexts: Array.from({ length: entries }, (_, at) =>
			createContext(at, entries),
		),
		events: [],
		crashes: [],
		sends: [],
		refusedSound: 0,
	}
	const startedAt = virtualNow
	const repeat = (everyMs: number, fromMs: number, act: () => void) => {
		for (let at = fromMs; at < DURATION_MS; at += everyMs)
			schedule(net, startedAt + at, act)
	}
	repeat(SOUND_EVERY_MS, 0, () => arriveSound(net))
	repeat(one.everyMs, WARM_UP_MS, () => arrivePoison(net))
	repeat(UPDATE_INTERVAL_MS, 0, () => {
		for (const ctx of net.contexts) exchange(net, ctx, one.lossRate)
	})
	if (one.restartEveryMs > 0)
		repeat(one.restartEveryMs, one.restartEveryMs, () => restart(net))
	for (let next = net.events.pop(); next; next = net.events.pop()) {
		virtualNow = next.at
		next.act()
	}
	virtualNow = startedAt + DURATION_MS
	return net
}

const before = { ...clocks }

test.before(() => {
	virtualNow = before.now()
	clocks.now = () => virtualNow
	clocks.wall = () => virtualNow
})

test.after(() => {
	Object.assign(clocks, before)
})

for (const entries of [1, 3, 12, 36])
	for (const one of NET_CASES)
		test(`poison part at ${entries} entries: ${one.name}`, () => {
			for (let seed = 1; seed <= SEEDS; seed++) {
				const { crashes, sends, refusedSound } = simulate(one, entries, seed)
				const lastAt = crashes[MAX_CRASHES - 1] ?? crashes.at(-1)!
				const late = sends.filter(at => at > lastAt + CONTACT_MS).length
				assert.ok(
					crashes.length <= MAX_CRASHES && late <= MAX_LATE_SENDS,
					`seed ${seed}: ${crashes.length} crashes, ${late} late sends`,
				)
				assert.is(refusedSound, 0, `seed ${seed}: sound requests refused`)
			}
		})

test.run()
