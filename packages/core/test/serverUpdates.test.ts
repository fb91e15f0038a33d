/**
 * Convergence of server updates: with updates reordered, duplicated, delayed, or
 * lost until a link reconnects, and with entries that restart, all entries end up in the
 * state of a reference that received every update in order.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Random, ServerUpdate, SharedState } from '../src/index.ts'
import {
	createRandom,
	createSharedState,
	listQuarantined,
	listServerUpdates,
	mergeServerUpdates,
	randomIndex,
	rateLimitOf,
	updateKeyOf,
} from '../src/index.ts'

const SEEDS = 300
const ENTRIES = 4
const STEPS = 120
const SERVERS = ['a', 'b', 'c']
const REQUESTS = ['x', 'y']
const MAX_DEPARTED = 512
/** Messages after which updates that are still forwarded count as not converging. */
const MAX_MESSAGES = 2_000

/** Merge function of the entries; mutants replace it. */
type Merge = (
	state: SharedState,
	updates: readonly ServerUpdate[],
	now: number,
) => ServerUpdate[]

interface Message {
	readonly to: number
	readonly updates: readonly ServerUpdate[]
}

interface Simulation {
	readonly replicas: SharedState[]
	/** Received every update, in the order in which they occurred. */
	readonly reference: SharedState
	/** Updates that each entry has still to send, the last one of each key. */
	readonly outboxes: Map<string, ServerUpdate>[]
	/** Messages in transit; any of them may arrive next. */
	inTransit: Message[]
	readonly merge: Merge
	readonly random: Random
}

function randomUpdate(random: Random, at: number): ServerUpdate {
	const server = SERVERS[randomIndex(random, SERVERS.length)]!
	const fingerprint = REQUESTS[randomIndex(random, REQUESTS.length)]!
	switch (randomIndex(random, 5)) {
		case 0: {
			const perSecond = [undefined, 1, 2][randomIndex(random, 3)]
			return { kind: 'limit', server, perSecond, at }
		}
		case 1:
			return { kind: 'left', server: `${server}@${at}` }
		case 2: {
			const ran = new Map([[fingerprint, 40]])
			// Several entries report the same crash, each with its own request in flight.
			const endedAt = at - (at % 10_000)
			return { kind: 'end', server: `${server}@${endedAt}`, at: endedAt, ran }
		}
		case 3:
			return { kind: 'served', subject: fingerprint, at }
		default: {
			const entry = String(randomIndex(random, ENTRIES))
			const endsAt = at + 100_000 + randomIndex(random, 50_000)
			return { kind: 'rest', server, entry, endsAt }
		}
	}
}

/** Merges updates at an entry and queues the new ones for the others. */
function receive(
	sim: Simulation,
	entry: number,
	updates: readonly ServerUpdate[],
	at: number,
) {
	const changes = sim.merge(sim.replicas[entry]!, updates, at)
	for (const one of changes) sim.outboxes[entry]!.set(updateKeyOf(one), one)
}

function flushOutbox(sim: Simulation, entry: number): void {
	const outbox = sim.outboxes[entry]!
	if (outbox.size === 0) return
	const updates = [...outbox.values()]
	outbox.clear()
	for (let to = 0; to < ENTRIES; to++)
		if (to !== entry) sim.inTransit.push({ to, updates })
}

function deliver(sim: Simulation, at: number): void {
	const which = randomIndex(sim.random, sim.inTransit.length)
	const message = sim.inTransit[which]
	if (!message) return
	const isDuplicated = sim.random() < 0.1
	if (!isDuplicated) sim.inTransit.splice(which, 1)
	receive(sim, message.to, message.updates, at)
}

/** Reconnects two entries: both send their whole state. */
function reconnect(sim: Simulation, at: number): void {
	const [one, other] = [0, 0].map(() => randomIndex(sim.random, ENTRIES))
	receive(sim, one!, listServerUpdates(sim.replicas[other!]!, MAX_DEPARTED), at)
	receive(sim, other!, listServerUpdates(sim.replicas[one!]!, MAX_DEPARTED), at)
}

/**
 * Whether an entry would report the update: the end of a limit only if it knows of the
 * limit, an answer only if the request is suspected.
 */
function isObservable(state: SharedState, update: ServerUpdate): boolean {
	switch (update.kind) {
		case 'limit':
			return (
				update.perSecond !== undefined ||
				rateLimitOf(state.rateLimits, update.server) !== undefined
			)
		case 'served':
			return state.quarantine.suspects.has(update.subject)
		default:
			return true
	}
}

function step(sim: Simulation, at: number): void {
	const draw = sim.random()
	const entry = randomIndex(sim.random, ENTRIES)
	if (draw < 0.3) {
		const update = randomUpdate(sim.random, at)
		if (!isObservable(sim.replicas[entry]!, update)) return
		mergeServerUpdates(sim.reference, [update], at)
		receive(sim, entry, [update], at)
	} else if (draw < 0.5) flushOutbox(sim, entry)
	else if (draw < 0.85) deliver(sim, at)
	else if (draw < 0.9) {
		// A lost link: messages to the entry are lost until a link reconnects.
		sim.inTransit = sim.inTransit.filter(({ to }) => to !== entry)
	} else if (draw < 0.95) reconnect(sim, at)
	else restart(sim, entry, at)
}

/** Restarts an entry once another one has its whole state. */
function restart(sim: Simulation, entry: number, at: number): void {
	const other = (entry + 1) % ENTRIES
	receive(sim, other, listServerUpdates(sim.replicas[entry]!, MAX_DEPARTED), at)
	sim.replicas[entry] = createSharedState()
	sim.outboxes[entry]!.clear()
	receive(sim, entry, listServerUpdates(sim.replicas[other]!, MAX_DEPARTED), at)
}

/** Returns the state in a comparable form, without backoffs that are over. */
function summarize(state: SharedState, now: number): unknown {
	return {
		limits: SERVERS.map(one => rateLimitOf(state.rateLimits, one) ?? 'none'),
		left: [...state.departed].sort(),
		ends: [...state.quarantine.crashes.values()]
			.map(({ server, ran }) => `${server} ${[...ran.keys()].sort()}`)
			.sort(),
		rests: [...state.backoffs.values()]
			.filter(({ endsAt }) => endsAt > now)
			.map(one => `${one.entry} ${one.server} ${one.endsAt}`)
			.sort(),
	}
}

/** Sends all queued updates; returns the number of messages in transit. */
function flushAll(sim: Simulation): number {
	for (let entry = 0; entry < ENTRIES; entry++) flushOutbox(sim, entry)
	return sim.inTransit.length
}

/** Whether all entries end up in the state of the reference. */
function converges(seed: number, merge: Merge): boolean {
	const sim: Simulation = {
		replicas: Array.from({ length: ENTRIES }, () => createSharedState()),
		reference: createSharedState(),
		outboxes: Array.from({ length: ENTRIES }, () => new Map()),
		inTransit: [],
		merge,
		random: createRandom(seed),
	}
	for (let at = 1; at <= STEPS; at++) step(sim, at * 1_000)
	const end = (STEPS + 1) * 1_000
	for (let round = 0; round < ENTRIES * 2; round++) {
		for (let delivered = 0; flushAll(sim) > 0; delivered++) {
			if (delivered > MAX_MESSAGES) return false
			const { to, updates } = sim.inTransit.shift()!
			receive(sim, to, updates, end)
		}
		for (let one = 0; one < ENTRIES; one++) {
			const next = (one + 1) % ENTRIES
			receive(
				sim,
				next,
				listServerUpdates(sim.replicas[one]!, MAX_DEPARTED),
				end,
			)
		}
	}
	const expected = JSON.stringify(summarize(sim.reference, end))
	const isEqual = sim.replicas.every(
		state => JSON.stringify(summarize(state, end)) === expected,
	)
	// Which answers clear a request depends on when it was suspected, and so on the order
	// of updates: quarantines are compared between entries only, not with the reference.
	const quarantined = sim.replicas.map(state =>
		listQuarantined(state.quarantine).sort(),
	)
	return isEqual && new Set(quarantined.map(String)).size === 1
}

test('server updates: random histories converge at all entries', () => {
	const diverged: number[] = []
	for (let seed = 0; seed < SEEDS; seed++)
		if (!converges(seed, mergeServerUpdates)) diverged.push(seed)
	assert.equal(diverged, [])
})

/** Returns a mutant that merges one kind of update differently. */
function mutate(
	change: (state: SharedState, update: ServerUpdate) => boolean,
): Merge {
	return (state, updates, now) =>
		updates.flatMap(one =>
			change(state, one) ? [one] : mergeServerUpdates(state, [one], now),
		)
}

const MUTANTS: readonly { readonly name: string; readonly merge: Merge }[] = [
	{
		name: 'the limit received last wins, not the newest',
		merge: mutate((state, update) => {
			if (update.kind !== 'limit') return false
			const known = state.rateLimits.get(update.server)
			if (known?.perSecond === update.perSecond && known?.at === update.at)
				return false
			const { perSecond, at } = update
			state.rateLimits.set(update.server, { perSecond, at, since: at })
			return known?.perSecond !== perSecond
		}),
	},
	{
		name: 'the end of a limit is not retained',
		merge: (state, updates, now) => {
			const changes = mergeServerUpdates(state, updates, now)
			for (const [server, { perSecond }] of state.rateLimits)
				if (perSecond === undefined) state.rateLimits.delete(server)
			return changes
		},
	},
	{
		name: 'a departure is reverted',
		merge: mutate((state, update) => {
			if (update.kind === 'limit' && update.perSecond === undefined)
				state.departed.clear()
			return false
		}),
	},
	{
		name: 'the backoff received last wins, not the longest',
		merge: mutate((state, update) => {
			if (update.kind !== 'rest') return false
			const key = `${update.entry} ${update.server}`
			const isSame = state.backoffs.get(key)?.endsAt === update.endsAt
			state.backoffs.set(key, update)
			return !isSame && update.endsAt % 2 === 0
		}),
	},
	{
		name: 'new updates are not forwarded, and crashes are not sent on reconnect',
		merge: (state, updates, now) => {
			mergeServerUpdates(
				state,
				updates.length > 1
					? updates.filter(one => one.kind !== 'end')
					: updates,
				now,
			)
			return []
		},
	},
]
for (const { name, merge } of MUTANTS)
	test(`server updates: histories diverge when ${name}`, () => {
		let diverged = 0
		for (let seed = 0; seed < SEEDS; seed++)
			if (!converges(seed, merge)) diverged++
		assert.ok(diverged > 0, 'all histories converge')
	})

// Entries forwarded only part of the requests in flight at a crash, so that requests next
// to a poison request were quarantined.
test('server updates: a forwarded crash has the requests in flight of all entries', () => {
	const state = createSharedState()
	const crashOf = (fingerprint: string) =>
		({
			kind: 'end',
			server: 'a',
			at: 5,
			ran: new Map([[fingerprint, 40]]),
		}) as const
	mergeServerUpdates(state, [crashOf('x')], 10)
	const [change] = mergeServerUpdates(state, [crashOf('y')], 10)
	assert.equal([...(change?.ran.keys() ?? [])].sort(), ['x', 'y'])
})

test.run()
