/**
 * Simulates entries that share the permits of one rate-limited server, in virtual time:
 * uneven demand, and entries that restart, stall, or are partitioned from the others
 * while they still reach the server.
 */

import type {
	EntryMembership,
	HeldPermits,
	PermitGrant,
	PermitPool,
	PermitRequest,
	Random,
	RateLimits,
} from '../../src/index.ts'
import {
	addGrantedPermits,
	applyRateNotice,
	consumePermit,
	createEntryMembership,
	createHeldPermits,
	createPermitPool,
	createRandom,
	createRateLimits,
	findPermitHome,
	grantPermits,
	hasPermit,
	permitScheduleFor,
	rateLimitOf,
	recordEntryContact,
	recordEntryDiscovered,
	shouldRequestPermits,
	updateEntryMembership,
} from '../../src/index.ts'

const SERVER = 'server'
const MEMBERSHIP_CHECK_MS = 50
const HEARTBEAT_MS = 500
/** Latency of a message between entries, ms. */
const MIN_LATENCY_MS = 1
const MAX_LATENCY_MS = 8
/** Time-out of a permit request, and delay before the next one, ms. */
const REQUEST_TIMEOUT_MS = 300
const REQUEST_RETRY_MS = 100
/** Time until a restarted process runs again, and until its links are up, ms. */
const RESTART_MS = 1_000
const LINK_UP_MS = 150
const MIN_SERVICE_MS = 20
const MAX_SERVICE_MS = 400

/** Fault that affects some entries from `from` to `to`, ms. */
export interface Fault {
	readonly kind: 'partition' | 'stall' | 'restart'
	readonly entries: readonly number[]
	readonly from: number
	readonly to: number
}

/** Inputs of a simulation. */
export interface PermitScenario {
	readonly entries: number
	readonly perSecond: number
	/** Period in which the server announces its limit, ms. */
	readonly announcedFrom: number
	readonly announcedTo: number
	/** Requests per second for the server. */
	readonly demand: number
	/** Share of requests sent to the first entry; the rest goes to a random entry. */
	readonly firstEntryShare: number
	readonly faults: readonly Fault[]
	readonly endsAt: number
	readonly seed: number
}

/** Request sent to the server. */
export interface PermitSend {
	readonly at: number
	readonly entry: number
	/** Since when its entry had known the limit, ms; undefined if it did not. */
	readonly knownSince: number | undefined
}

interface Entry {
	readonly number: number
	readonly address: string
	incarnation: number
	membership: EntryMembership
	pool: PermitPool | undefined
	limits: RateLimits
	held: HeldPermits
}

interface Simulation {
	readonly scenario: PermitScenario
	readonly random: Random
	readonly entries: Entry[]
	readonly sends: PermitSend[]
	/** Scheduled events, soonest last. */
	readonly events: { at: number; act(): void }[]
	now: number
}

/** Simulates a scenario to its end; returns the requests sent to the server. */
export function simulatePermits(
	scenario: PermitScenario,
): readonly PermitSend[] {
	const sim: Simulation = {
		scenario,
		random: createRandom(scenario.seed),
		entries: [],
		sends: [],
		events: [],
		now: 0,
	}
	for (let number = 0; number < scenario.entries; number++)
		sim.entries.push(createEntry(number))
	for (const entry of sim.entries) startEntry(sim, entry)
	for (const fault of scenario.faults)
		if (fault.kind === 'restart')
			schedule(sim, fault.from, () => restart(sim, fault))
	scheduleArrival(sim)
	for (let next = sim.events.pop(); next; next = sim.events.pop()) {
		if (next.at > scenario.endsAt) break
		sim.now = next.at
		next.act()
	}
	return sim.sends
}

function createEntry(number: number): Entry {
	const address = `10.0.0.${number}:1`
	return {
		number,
		address,
		incarnation: 0,
		membership: createEntryMembership(address),
		pool: undefined,
		limits: createRateLimits(),
		held: createHeldPermits(),
	}
}

/** Starts an entry's membership checks and heartbeats, until its incarnation ends. */
function startEntry(sim: Simulation, entry: Entry): void {
	const { incarnation } = entry
	const others = sim.entries.filter(other => other !== entry)
	for (const other of others.slice(0, 3))
		recordEntryDiscovered(entry.membership, other.address, sim.now)
	const every = (periodMs: number, act: () => void) => {
		const again = () => {
			if (entry.incarnation !== incarnation) return
			if (!isAffected(sim, 'stall', entry)) act()
			schedule(sim, sim.now + periodMs, again)
		}
		schedule(sim, sim.now + sim.random() * periodMs, again)
	}
	every(MEMBERSHIP_CHECK_MS, () => checkMembership(sim, entry))
	every(HEARTBEAT_MS, () => broadcastState(sim, entry))
	schedule(sim, sim.now + LINK_UP_MS, () => {
		for (const other of others) {
			sendState(sim, other, entry)
			sendState(sim, entry, other)
		}
	})
}

function restart(sim: Simulation, { entries, to }: Fault): void {
	for (const number of entries) {
		const entry = sim.entries[number]!
		entry.incarnation++
		const { incarnation } = entry
		schedule(sim, Math.max(to, sim.now + RESTART_MS), () => {
			if (entry.incarnation !== incarnation) return
			Object.assign(entry, {
				...createEntry(number),
				incarnation: incarnation + 1,
			})
			startEntry(sim, entry)
		})
	}
}

function schedule({ events }: Simulation, at: number, act: () => void): void {
	const before = events.findLastIndex(one => one.at > at)
	events.splice(before + 1, 0, { at, act })
}

function isAffected(
	{ scenario, now }: Simulation,
	kind: Fault['kind'],
	entry: Entry,
) {
	return scenario.faults.some(
		one =>
			one.kind === kind &&
			one.from <= now &&
			now < one.to &&
			one.entries.includes(entry.number),
	)
}

/** Whether a partition separates two entries; those on the same side stay connected. */
function arePartitioned(
	{ scenario, now }: Simulation,
	a: Entry,
	b: Entry,
): boolean {
	return scenario.faults.some(
		({ kind, from, to, entries }) =>
			kind === 'partition' &&
			from <= now &&
			now < to &&
			entries.includes(a.number) !== entries.includes(b.number),
	)
}

function endOfStall({ scenario, now }: Simulation, entry: Entry): number {
	const ends = scenario.faults
		.filter(
			one =>
				one.kind === 'stall' &&
				one.from <= now &&
				now < one.to &&
				one.entries.includes(entry.number),
		)
		.map(({ to }) => to)
	return Math.max(now, ...ends)
}

/**
 * Delivers a message unless a partition separates the entries or the receiver restarts;
 * a stalled receiver handles it when it resumes.
 */
function deliver(
	sim: Simulation,
	from: Entry,
	to: Entry,
	act: () => void,
): void {
	if (arePartitioned(sim, from, to)) return
	const { incarnation } = to
	const latencyMs =
		MIN_LATENCY_MS + sim.random() * (MAX_LATENCY_MS - MIN_LATENCY_MS)
	schedule(sim, sim.now + latencyMs, () => {
		const resumedAt = endOfStall(sim, to)
		if (resumedAt > sim.now)
			schedule(sim, resumedAt, () => deliverNow(to, incarnation, act))
		else deliverNow(to, incarnation, act)
	})
}

function deliverNow(to: Entry, incarnation: number, act: () => void): void {
	if (to.incarnation === incarnation) act()
}

function isUp(sim: Simulation, { number, incarnation }: Entry): boolean {
	const before = sim.scenario.faults.filter(
		one => one.kind === 'restart' && one.entries.includes(number),
	)
	const begun = before.filter(one => one.from <= sim.now).length
	return incarnation === 2 * begun
}

function broadcastState(sim: Simulation, entry: Entry): void {
	for (const other of sim.entries)
		if (other !== entry) sendState(sim, entry, other)
}

function sendState(sim: Simulation, from: Entry, to: Entry): void {
	if (!isUp(sim, from) || !isUp(sim, to)) return
	const notices = [...from.limits].map(([server, { perSecond, at }]) => ({
		server,
		perSecond,
		agoMs: sim.now - at,
	}))
	const known = [...from.membership.others.keys()]
	deliver(sim, from, to, () => {
		for (const address of known)
			if (address !== to.address)
				recordEntryDiscovered(to.membership, address, sim.now)
		recordEntryContact(to.membership, from.address, sim.now)
		for (const { server, perSecond, agoMs } of notices)
			applyNotice(sim, to, server, perSecond, sim.now - agoMs)
	})
}

function applyNotice(
	sim: Simulation,
	entry: Entry,
	server: string,
	perSecond: number | undefined,
	at: number,
): void {
	if (!applyRateNotice(entry.limits, server, { perSecond, at })) return
	entry.held = createHeldPermits()
	if (perSecond === undefined) entry.pool = undefined
	broadcastState(sim, entry)
}

function checkMembership(sim: Simulation, entry: Entry): void {
	const { membership, address } = entry
	if (!updateEntryMembership(membership, address, () => true, sim.now)) return
	if (permitHomeOf(entry) !== address) entry.pool = undefined
}

function permitHomeOf({ membership }: Entry): string {
	return findPermitHome(SERVER, membership.reachable)!
}

function grant(
	sim: Simulation,
	entry: Entry,
	perSecond: number,
	request: PermitRequest,
): PermitGrant {
	const { membership } = entry
	entry.pool ??= createPermitPool()
	const permitSchedule = permitScheduleFor(perSecond, membership.count)
	return grantPermits(entry.pool, permitSchedule, request, sim.now)
}

function scheduleArrival(sim: Simulation): void {
	const { demand, firstEntryShare, entries } = sim.scenario
	const intervalMs = (-Math.log(1 - sim.random()) * 1_000) / demand
	schedule(sim, sim.now + intervalMs, () => {
		const isFirst = sim.random() < firstEntryShare
		const at = isFirst ? 0 : Math.floor(sim.random() * entries)
		arrive(sim, sim.entries[at]!)
		scheduleArrival(sim)
	})
}

/** Handles a request for the server; without a permit it is sent elsewhere. */
function arrive(sim: Simulation, entry: Entry): void {
	if (!isUp(sim, entry) || isAffected(sim, 'stall', entry)) return
	const perSecond = rateLimitOf(entry.limits, SERVER)
	if (perSecond !== undefined) {
		requestPermit(sim, entry, perSecond)
		if (!hasPermit(entry.held, sim.now)) return
		consumePermit(entry.held, sim.now)
	}
	sendRequest(sim, entry)
}

function requestPermit(sim: Simulation, entry: Entry, perSecond: number): void {
	const { held } = entry
	if (!shouldRequestPermits(held, 0, sim.now)) return
	const permitHome = permitHomeOf(entry)
	const request = { count: 1, withinMs: 0 }
	if (permitHome === entry.address) {
		addGrantedPermits(
			held,
			perSecond,
			grant(sim, entry, perSecond, request),
			sim.now,
		)
		return
	}
	held.isRequestPending = true
	const finish = () => {
		held.isRequestPending = false
		held.notBefore = sim.now + REQUEST_RETRY_MS
	}
	const { incarnation } = entry
	schedule(sim, sim.now + REQUEST_TIMEOUT_MS, () => {
		if (held.isRequestPending) finish()
	})
	const other = sim.entries.find(one => one.address === permitHome)!
	if (!isUp(sim, other)) return
	deliver(sim, entry, other, () => {
		const isPermitHome = permitHomeOf(other) === other.address
		const limit = rateLimitOf(other.limits, SERVER)
		const permits =
			isPermitHome && limit !== undefined
				? grant(sim, other, limit, request)
				: undefined
		deliver(sim, other, entry, () => {
			if (!held.isRequestPending || entry.incarnation !== incarnation) return
			finish()
			if (permits) addGrantedPermits(held, perSecond, permits, sim.now)
		})
	})
}

function sendRequest(sim: Simulation, entry: Entry): void {
	const { scenario, now } = sim
	const knownSince = entry.limits.get(SERVER)?.since
	sim.sends.push({ at: now, entry: entry.number, knownSince })
	const serviceMs =
		MIN_SERVICE_MS + sim.random() * (MAX_SERVICE_MS - MIN_SERVICE_MS)
	const { incarnation } = entry
	schedule(sim, now + serviceMs, () => {
		const at = sim.now
		const isAnnounced =
			at >= scenario.announcedFrom && at < scenario.announcedTo
		const perSecond = isAnnounced ? scenario.perSecond : undefined
		schedule(sim, endOfStall(sim, entry), () => {
			if (entry.incarnation === incarnation)
				handleAnswer(sim, entry, perSecond, now)
		})
	})
}

/** Handles the headers of an answer. */
function handleAnswer(
	sim: Simulation,
	entry: Entry,
	perSecond: number | undefined,
	sentAt: number,
): void {
	const known = entry.limits.get(SERVER)
	const isOld = known?.perSecond !== undefined && sentAt <= known.since
	if (perSecond === undefined && (!known || isOld)) return
	applyNotice(sim, entry, SERVER, perSecond, sim.now)
}
