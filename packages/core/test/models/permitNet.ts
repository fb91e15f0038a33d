/**
 * Entries that share the permits of one server with a limit, in virtual time: demand that
 * leans to some of them, entries that start again, stand still, or are cut off from the
 * others while they still reach the server.
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
const LOOK_MS = 50
const HEARTBEAT_MS = 500
/** For a message to get there, ms. */
const LEAST_WAY_MS = 1
const MOST_WAY_MS = 8
/** A home that has not answered by then is asked again later, ms. */
const ASK_MS = 300
const ASK_AGAIN_MS = 100
/** For a process to be there again, and for its links to come up, ms. */
const RESTART_MS = 1_000
const LINK_MS = 150
const LEAST_WORK_MS = 20
const MOST_WORK_MS = 400

/** A time in which something is so for some entries, ms. */
export interface Trouble {
	readonly kind: 'cut' | 'still' | 'restart'
	readonly entries: readonly number[]
	readonly from: number
	readonly to: number
}

/** What happens in a run of the model. */
export interface PermitStory {
	readonly entries: number
	readonly perSecond: number
	/** From when to when the server names its limit, ms. */
	readonly namedFrom: number
	readonly namedTo: number
	/** Requests a second that would go to the server. */
	readonly demand: number
	/** Part of the requests that come to the first entry; the others share the rest. */
	readonly leaning: number
	readonly troubles: readonly Trouble[]
	readonly endsAt: number
	readonly seed: number
}

/** A request at the server. */
export interface PermitSend {
	readonly at: number
	readonly entry: number
	/** Since when its entry had known of the limit, ms; undefined if it did not. */
	readonly knownSince: number | undefined
}

interface Entry {
	readonly number: number
	readonly address: string
	life: number
	roster: EntryMembership
	pool: PermitPool | undefined
	limits: RateLimits
	held: HeldPermits
}

interface Net {
	readonly story: PermitStory
	readonly random: Random
	readonly entries: Entry[]
	readonly sends: PermitSend[]
	/** What is to happen, soonest last. */
	readonly agenda: { at: number; act(): void }[]
	now: number
}

/** Plays a story to its end; gives what came to the server. */
export function playPermits(story: PermitStory): readonly PermitSend[] {
	const net: Net = {
		story,
		random: createRandom(story.seed),
		entries: [],
		sends: [],
		agenda: [],
		now: 0,
	}
	for (let number = 0; number < story.entries; number++)
		net.entries.push(createEntry(number))
	for (const entry of net.entries) startEntry(net, entry)
	for (const trouble of story.troubles)
		if (trouble.kind === 'restart')
			plan(net, trouble.from, () => restart(net, trouble))
	planArrival(net)
	for (let next = net.agenda.pop(); next; next = net.agenda.pop()) {
		if (next.at > story.endsAt) break
		net.now = next.at
		next.act()
	}
	return net.sends
}

function createEntry(number: number): Entry {
	const address = `10.0.0.${number}:1`
	return {
		number,
		address,
		life: 0,
		roster: createEntryMembership(address),
		pool: undefined,
		limits: createRateLimits(),
		held: createHeldPermits(),
	}
}

/** Begins an entry's looks and heartbeats; they end with its life. */
function startEntry(net: Net, entry: Entry): void {
	const { life } = entry
	const others = net.entries.filter(other => other !== entry)
	for (const other of others.slice(0, 3))
		recordEntryDiscovered(entry.roster, other.address, net.now)
	const every = (periodMs: number, act: () => void) => {
		const again = () => {
			if (entry.life !== life) return
			if (!isIn(net, 'still', entry)) act()
			plan(net, net.now + periodMs, again)
		}
		plan(net, net.now + net.random() * periodMs, again)
	}
	every(LOOK_MS, () => look(net, entry))
	every(HEARTBEAT_MS, () => tellOthers(net, entry))
	plan(net, net.now + LINK_MS, () => {
		for (const other of others) {
			tell(net, other, entry)
			tell(net, entry, other)
		}
	})
}

function restart(net: Net, { entries, to }: Trouble): void {
	for (const number of entries) {
		const entry = net.entries[number]!
		entry.life++
		const { life } = entry
		plan(net, Math.max(to, net.now + RESTART_MS), () => {
			if (entry.life !== life) return
			Object.assign(entry, { ...createEntry(number), life: life + 1 })
			startEntry(net, entry)
		})
	}
}

function plan({ agenda }: Net, at: number, act: () => void): void {
	const before = agenda.findLastIndex(one => one.at > at)
	agenda.splice(before + 1, 0, { at, act })
}

function isIn({ story, now }: Net, kind: Trouble['kind'], entry: Entry) {
	return story.troubles.some(
		one =>
			one.kind === kind &&
			one.from <= now &&
			now < one.to &&
			one.entries.includes(entry.number),
	)
}

/** Entries that are cut off hear each other when they are cut together. */
function areApart({ story, now }: Net, a: Entry, b: Entry): boolean {
	return story.troubles.some(
		({ kind, from, to, entries }) =>
			kind === 'cut' &&
			from <= now &&
			now < to &&
			entries.includes(a.number) !== entries.includes(b.number),
	)
}

function endOfStill({ story, now }: Net, entry: Entry): number {
	const ends = story.troubles
		.filter(
			one =>
				one.kind === 'still' &&
				one.from <= now &&
				now < one.to &&
				one.entries.includes(entry.number),
		)
		.map(({ to }) => to)
	return Math.max(now, ...ends)
}

/** Delivers something unless an end of it is cut off or gone; a still one reads it late. */
function deliver(net: Net, from: Entry, to: Entry, act: () => void): void {
	if (areApart(net, from, to)) return
	const { life } = to
	const wayMs = LEAST_WAY_MS + net.random() * (MOST_WAY_MS - LEAST_WAY_MS)
	plan(net, net.now + wayMs, () => {
		const wokenAt = endOfStill(net, to)
		if (wokenAt > net.now) plan(net, wokenAt, () => deliverNow(to, life, act))
		else deliverNow(to, life, act)
	})
}

function deliverNow(to: Entry, life: number, act: () => void): void {
	if (to.life === life) act()
}

function isUp(net: Net, { number, life }: Entry): boolean {
	const before = net.story.troubles.filter(
		one => one.kind === 'restart' && one.entries.includes(number),
	)
	const begun = before.filter(one => one.from <= net.now).length
	return life === 2 * begun
}

function tellOthers(net: Net, entry: Entry): void {
	for (const other of net.entries) if (other !== entry) tell(net, entry, other)
}

function tell(net: Net, from: Entry, to: Entry): void {
	if (!isUp(net, from) || !isUp(net, to)) return
	const notices = [...from.limits].map(([server, { perSecond, at }]) => ({
		server,
		perSecond,
		agoMs: net.now - at,
	}))
	const named = [...from.roster.others.keys()]
	deliver(net, from, to, () => {
		for (const address of named)
			if (address !== to.address)
				recordEntryDiscovered(to.roster, address, net.now)
		recordEntryContact(to.roster, from.address, net.now)
		for (const { server, perSecond, agoMs } of notices)
			takeNotice(net, to, server, perSecond, net.now - agoMs)
	})
}

function takeNotice(
	net: Net,
	entry: Entry,
	server: string,
	perSecond: number | undefined,
	at: number,
): void {
	if (!applyRateNotice(entry.limits, server, { perSecond, at })) return
	entry.held = createHeldPermits()
	if (perSecond === undefined) entry.pool = undefined
	tellOthers(net, entry)
}

function look(net: Net, entry: Entry): void {
	const { roster, address } = entry
	if (!updateEntryMembership(roster, address, () => true, net.now)) return
	if (homeOf(entry) !== address) entry.pool = undefined
}

function homeOf({ roster }: Entry): string {
	return findPermitHome(SERVER, roster.reachable)!
}

function give(
	net: Net,
	entry: Entry,
	perSecond: number,
	wish: PermitRequest,
): PermitGrant {
	const { roster } = entry
	entry.pool ??= createPermitPool()
	const pace = permitScheduleFor(perSecond, roster.count)
	return grantPermits(entry.pool, pace, wish, net.now)
}

function planArrival(net: Net): void {
	const { demand, leaning, entries } = net.story
	const gapMs = (-Math.log(1 - net.random()) * 1_000) / demand
	plan(net, net.now + gapMs, () => {
		const isFirst = net.random() < leaning
		const at = isFirst ? 0 : Math.floor(net.random() * entries)
		arrive(net, net.entries[at]!)
		planArrival(net)
	})
}

/** A request that would go to the server; without a permit it goes elsewhere. */
function arrive(net: Net, entry: Entry): void {
	if (!isUp(net, entry) || isIn(net, 'still', entry)) return
	const perSecond = rateLimitOf(entry.limits, SERVER)
	if (perSecond !== undefined) {
		ask(net, entry, perSecond)
		if (!hasPermit(entry.held, net.now)) return
		consumePermit(entry.held, net.now)
	}
	send(net, entry)
}

function ask(net: Net, entry: Entry, perSecond: number): void {
	const { held } = entry
	if (!shouldRequestPermits(held, 0, net.now)) return
	const home = homeOf(entry)
	const wish = { count: 1, withinMs: 0 }
	if (home === entry.address) {
		addGrantedPermits(
			held,
			perSecond,
			give(net, entry, perSecond, wish),
			net.now,
		)
		return
	}
	held.isRequestPending = true
	const end = () => {
		held.isRequestPending = false
		held.notBefore = net.now + ASK_AGAIN_MS
	}
	const { life } = entry
	plan(net, net.now + ASK_MS, () => {
		if (held.isRequestPending) end()
	})
	const other = net.entries.find(one => one.address === home)!
	if (!isUp(net, other)) return
	deliver(net, entry, other, () => {
		const isHome = homeOf(other) === other.address
		const named = rateLimitOf(other.limits, SERVER)
		const permits =
			isHome && named !== undefined ? give(net, other, named, wish) : undefined
		deliver(net, other, entry, () => {
			if (!held.isRequestPending || entry.life !== life) return
			end()
			if (permits) addGrantedPermits(held, perSecond, permits, net.now)
		})
	})
}

function send(net: Net, entry: Entry): void {
	const { story, now } = net
	const knownSince = entry.limits.get(SERVER)?.since
	net.sends.push({ at: now, entry: entry.number, knownSince })
	const workMs = LEAST_WORK_MS + net.random() * (MOST_WORK_MS - LEAST_WORK_MS)
	const { life } = entry
	plan(net, now + workMs, () => {
		const at = net.now
		const isNamed = at >= story.namedFrom && at < story.namedTo
		const perSecond = isNamed ? story.perSecond : undefined
		plan(net, endOfStill(net, entry), () => {
			if (entry.life === life) read(net, entry, perSecond, now)
		})
	})
}

/** Reads an answer's head. */
function read(
	net: Net,
	entry: Entry,
	perSecond: number | undefined,
	sentAt: number,
): void {
	const known = entry.limits.get(SERVER)
	const isOld = known?.perSecond !== undefined && sentAt <= known.since
	if (perSecond === undefined && (!known || isOld)) return
	takeNotice(net, entry, SERVER, perSecond, net.now)
}
