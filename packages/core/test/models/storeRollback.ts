/**
 * Model of entries that follow a published server list while its store is rolled back to
 * older copies, in virtual time: writes, lost answers, partitions, restarts, and server
 * updates exchanged between entries.
 */

import type {
	ListedServer,
	Random,
	ServerList,
	ServerRecord,
	TermRevision,
} from '../../src/index.ts'
import {
	applyPeerRecord,
	applyRecord,
	applyRestoredRecord,
	confirmRemovals,
	confirmReturns,
	createRandom,
	createServerList,
	createSharedState,
	deferRemoval,
	findMissing,
	isLater,
	listServerUpdates,
	listServing,
	mergeServerUpdates,
	recordRead,
} from '../../src/index.ts'

const STEP_MS = 50
/** Mean interval between calls of an entry to the store, ms. */
const CALL_INTERVAL_MS = 250
/** Interval at which entries send each other updates, ms. */
const UPDATE_INTERVAL_MS = 500
/** Removals seen after a rollback stay pending for this long, ms. */
const PENDING_MS = 1_900
/** Engines rewrite their records within this time after a rollback, ms. */
const REWRITE_MS = 1_800
/** The record of a crashed engine expires after this time, ms. */
const EXPIRY_MS = 3_600
/** Maximum number of departed incarnations per message, the latest ones. */
const MAX_DEPARTED_SENT = 512
/** Time without failures at the end, for the entries to converge, ms. */
const SETTLE_MS = 12_000
const SECOND_MS = 1_000

/** Parameters of a run. */
export interface RollbackScenario {
	readonly seed: number
	readonly entries: number
	readonly servers: number
	/** Time during which failures occur, ms; a time without failures follows. */
	readonly forMs: number
	/** Share of answers that are lost. */
	readonly lossRate: number
	/** Rate of each event, per second. */
	readonly perSecond: {
		readonly rollbacks: number
		readonly partitions: number
		readonly restarts: number
		readonly changes: number
	}
}

/** Result of a run. */
export interface RollbackOutcome {
	readonly rollbacks: number
	/** Longest time for which an entry in contact used a departed server, ms. */
	readonly longestUseMs: number
	/** Servers in use at the end, by entry. */
	readonly used: readonly (readonly string[])[]
	readonly published: readonly string[]
}

interface Engine {
	readonly id: string
	state: 'ready' | 'leaving' | 'removed' | 'crashed'
	/** When it next writes its state, ms. */
	writesAt: number
	/** When its departure became readable in the current store, ms. */
	readableAt: number | undefined
}

interface Item {
	readonly leaving: boolean
	readonly revision: number
}
type Items = ReadonlyMap<string, Item>

interface Store {
	items: Items
	/** The items after each revision; the first copy is the empty store. */
	copies: Items[]
	term: number
	downUntil: number
}

interface Entry {
	list: ServerList
	position: TermRevision | undefined
	term: number | undefined
	pendingUntil: number
	partitionedUntil: number
	/** Start of the current period in contact with the store, ms. */
	inContactSince: number
	callAt: number
	updateAt: number
}

interface Net {
	readonly scenario: RollbackScenario
	readonly random: Random
	readonly store: Store
	readonly engines: Engine[]
	readonly entries: Entry[]
	now: number
	rollbacks: number
	longestUseMs: number
}

/** Runs a scenario to its end. */
export function simulateRollbacks(scenario: RollbackScenario): RollbackOutcome {
	const net: Net = {
		scenario,
		random: createRandom(scenario.seed),
		store: { items: new Map(), copies: [new Map()], term: 1, downUntil: 0 },
		engines: [],
		entries: Array.from({ length: scenario.entries }, () => createEntry(0)),
		now: 0,
		rollbacks: 0,
		longestUseMs: 0,
	}
	for (let at = 0; at < scenario.servers; at++) addEngine(net)
	for (; net.now < scenario.forMs + SETTLE_MS; net.now += STEP_MS) {
		if (net.now < scenario.forMs) injectEvents(net)
		for (const engine of net.engines) writeIfDue(net, engine)
		for (const entry of net.entries) stepEntry(net, entry)
		measureUse(net)
	}
	return {
		rollbacks: net.rollbacks,
		longestUseMs: net.longestUseMs,
		used: net.entries.map(entry => idsOf(entry)),
		published: [...net.store.items]
			.filter(([, { leaving }]) => !leaving)
			.map(([id]) => id)
			.sort(),
	}
}

function createEntry(now: number): Entry {
	return {
		list: createServerList(),
		position: undefined,
		term: undefined,
		pendingUntil: 0,
		partitionedUntil: 0,
		inContactSince: now,
		callAt: now,
		updateAt: now,
	}
}

function idsOf({ list }: Entry): string[] {
	return listServing(list, () => true)
		.map(({ id }) => id)
		.sort()
}

function occursNow({ random }: Net, perSecond: number): boolean {
	return random() < (perSecond * STEP_MS) / SECOND_MS
}

function pickOne<T>({ random }: Net, some: readonly T[]): T {
	return some[Math.floor(random() * some.length)]!
}

function injectEvents(net: Net): void {
	const { rollbacks, partitions, restarts, changes } = net.scenario.perSecond
	if (occursNow(net, rollbacks)) rollBack(net)
	if (occursNow(net, partitions))
		pickOne(net, net.entries).partitionedUntil = net.now + net.random() * 4_000
	if (occursNow(net, restarts))
		Object.assign(pickOne(net, net.entries), createEntry(net.now))
	if (occursNow(net, changes)) changeEngine(net)
}

function changeEngine(net: Net): void {
	const ready = net.engines.filter(one => one.state === 'ready')
	if (ready.length < net.scenario.servers) addEngine(net)
	else
		pickOne(net, ready).state = pickOne(net, ['leaving', 'removed', 'crashed'])
	for (const engine of net.engines)
		if (engine.state === 'crashed' && engine.writesAt <= net.now)
			engine.writesAt = net.now + EXPIRY_MS
		else if (engine.writesAt <= net.now) write(net, engine)
}

function addEngine(net: Net): void {
	const id = `s${net.engines.length}`
	const engine: Engine = {
		id,
		state: 'ready',
		writesAt: net.now,
		readableAt: undefined,
	}
	net.engines.push(engine)
	write(net, engine)
}

/** Rolls the store back by some revisions, with a short downtime. */
function rollBack(net: Net): void {
	const { store } = net
	const count = Math.floor(net.random() * Math.min(12, store.copies.length))
	store.copies = store.copies.slice(0, store.copies.length - count)
	store.items = store.copies.at(-1)!
	store.term += net.random() < 0.1 ? 2 : 1
	store.downUntil = net.now + net.random() * SECOND_MS
	net.rollbacks++
	for (const engine of net.engines) {
		const { state } = engine
		const delayMs = state === 'crashed' ? EXPIRY_MS : net.random() * REWRITE_MS
		engine.writesAt = store.downUntil + delayMs
		if (!isGone(net, engine)) engine.readableAt = undefined
	}
}

function isGone({ store }: Net, { id }: Engine): boolean {
	const item = store.items.get(id)
	return !item || item.leaving
}

function writeIfDue(net: Net, engine: Engine): void {
	if (engine.writesAt > net.now || net.now < net.store.downUntil) return
	write(net, engine)
}

/** Writes an engine's state to the store, unless it is already there. */
function write(net: Net, engine: Engine): void {
	const { store } = net
	if (net.now < store.downUntil) return
	const { id, state } = engine
	const item = store.items.get(id)
	const isListed = state === 'ready' || state === 'leaving'
	const leaving = state === 'leaving'
	if (!isListed && !item) return
	if (isListed && item?.leaving === leaving) return
	const items = new Map(store.items)
	const revision = store.copies.length
	if (isListed) items.set(id, { leaving, revision })
	else items.delete(id)
	store.items = items
	store.copies.push(items)
	if (state !== 'ready') engine.readableAt ??= net.now
}

function stepEntry(net: Net, entry: Entry): void {
	const { now, store } = net
	confirmRemovals(entry.list, now)
	confirmReturns(entry.list, now)
	const isPartitioned = now < entry.partitionedUntil
	if (isPartitioned || now < store.downUntil) entry.inContactSince = now
	if (isPartitioned) return
	if (now >= entry.callAt) {
		entry.callAt = now + CALL_INTERVAL_MS * (0.5 + net.random())
		const isLost = net.random() < net.scenario.lossRate
		if (now >= store.downUntil && !isLost) callStore(net, entry)
		else if (isLost) entry.inContactSince = now
	}
	if (now < entry.updateAt) return
	entry.updateAt = now + UPDATE_INTERVAL_MS
	for (const other of net.entries)
		if (other !== entry && now >= other.partitionedUntil)
			sendUpdates(net, entry, other)
}

function callStore(net: Net, entry: Entry): void {
	const { store, now } = net
	const { position } = entry
	const revision = { term: store.term, revision: store.copies.length - 1 }
	const readsFullList =
		!position ||
		position.term !== store.term ||
		position.revision > revision.revision
	if (readsFullList) readFullList(net, entry, revision)
	else
		for (const record of changesSince(store, position.revision))
			receiveRecord(entry, record, now, false)
	recordRead(entry.list, revision)
	entry.position = revision
}

function readFullList(net: Net, entry: Entry, revision: TermRevision): void {
	const { store, now } = net
	const known = [...entry.list.records.values()]
	const isRolledBack =
		entry.term !== undefined
			? revision.term > entry.term
			: known.some(one => one.server && one.revision.term < revision.term)
	entry.term = revision.term
	if (isRolledBack) entry.pendingUntil = now + PENDING_MS
	const listed = [...store.items].map(([id, item]) =>
		toRecord(store, id, item, item.revision),
	)
	const present = new Set(listed.map(({ name }) => name))
	const missing = findMissing(entry.list, present, revision)
	for (const record of [...listed, ...missing])
		receiveRecord(entry, record, now, isRolledBack)
}

function changesSince(store: Store, after: number): ServerRecord[] {
	const records: ServerRecord[] = []
	for (let at = after + 1; at < store.copies.length; at++) {
		const before = store.copies[at - 1]!
		const then = store.copies[at]!
		for (const [id, item] of then)
			if (before.get(id) !== item) records.push(toRecord(store, id, item, at))
		for (const id of before.keys())
			if (!then.has(id)) records.push(toRecord(store, id, undefined, at))
	}
	return records
}

function toRecord(
	{ term }: Store,
	id: string,
	item: Item | undefined,
	revision: number,
): ServerRecord {
	const server: ListedServer | undefined = item && {
		id,
		name: id,
		service: 'plain',
		address: `10.0.0.1:${id}`,
		dataCentre: 'north',
		slots: 4,
		leaving: item.leaving,
		coldMs: 0,
	}
	return { name: id, revision: { term, revision }, server }
}

function receiveRecord(
	entry: Entry,
	record: ServerRecord,
	now: number,
	isRolledBack: boolean,
): void {
	const { list, pendingUntil } = entry
	if (!record.server && now < pendingUntil)
		deferRemoval(list, record, pendingUntil)
	else if (isRolledBack) applyRestoredRecord(list, record, now)
	else applyRecord(list, record)
}

/** Sends another entry the records newer than its list, and the departed incarnations. */
function sendUpdates({ now }: Net, from: Entry, to: Entry): void {
	const after = to.list.revision
	const newer = [...from.list.records.values()].filter(record =>
		isLater(record.revision, after),
	)
	for (const record of newer) applyPeerRecord(to.list, record, now)
	const departed = listServerUpdates(
		createSharedState(from.list.departed),
		MAX_DEPARTED_SENT,
	)
	mergeServerUpdates(createSharedState(to.list.departed), departed, now)
}

function measureUse(net: Net): void {
	for (const entry of net.entries) {
		const used = new Set(idsOf(entry))
		for (const { id, readableAt } of net.engines) {
			if (readableAt === undefined || !used.has(id)) continue
			const since = Math.max(readableAt, entry.inContactSince)
			net.longestUseMs = Math.max(net.longestUseMs, net.now - since)
		}
	}
}
