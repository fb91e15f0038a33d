/**
 * Entries that follow a published list of servers, in virtual time, while its store goes
 * back to older copies: writes, lost answers, cuts, restarts, and what entries tell each
 * other.
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
/** Entries call the store about so often, and tell each other, ms. */
const CALL_MS = 250
const TELL_MS = 500
/** Removals seen after the store's return are doubted for this long, ms. */
const LAPSED_MS = 1_900
/** Engines write their entries again within this time, ms. */
const REWRITE_MS = 1_800
/** The entry of one that has crashed is removed after this time, ms. */
const LAPSE_MS = 3_600
/** Ids of lives that are over, of which another entry is told the last ones. */
const MOST_LEFT_TOLD = 512
const CALM_MS = 12_000
const SECOND_MS = 1_000

/** What happens in a run of the model. */
export interface RewindStory {
	readonly seed: number
	readonly entries: number
	readonly servers: number
	/** For which things happen; calm follows, ms. */
	readonly forMs: number
	/** Part of the answers that are lost. */
	readonly lost: number
	/** How often each happens, a second. */
	readonly perSecond: {
		readonly rewinds: number
		readonly cuts: number
		readonly restarts: number
		readonly changes: number
	}
}

/** What became of it. */
export interface RewindOutcome {
	readonly rewinds: number
	/** Longest time for which an entry in touch used a server that left, ms. */
	readonly longestUseMs: number
	/** By entry, at the end. */
	readonly used: readonly (readonly string[])[]
	readonly published: readonly string[]
}

interface Engine {
	readonly id: string
	state: 'ready' | 'leaving' | 'removed' | 'crashed'
	/** When it is to write its state again, ms. */
	writesAt: number
	/** When its leaving became readable in the store as it is, ms. */
	readableAt: number | undefined
}

interface Item {
	readonly leaving: boolean
	readonly revision: number
}
type Items = ReadonlyMap<string, Item>

interface Store {
	items: Items
	/** The items after each revision, the first one before all. */
	copies: Items[]
	term: number
	awayUntil: number
}

interface Entry {
	list: ServerList
	position: TermRevision | undefined
	term: number | undefined
	doubtUntil: number
	cutUntil: number
	/** Since when it has been in touch, ms. */
	inTouchSince: number
	callAt: number
	tellAt: number
}

interface Net {
	readonly story: RewindStory
	readonly random: Random
	readonly store: Store
	readonly engines: Engine[]
	readonly entries: Entry[]
	now: number
	rewinds: number
	longestUseMs: number
}

/** Plays a story to its end. */
export function playRewinds(story: RewindStory): RewindOutcome {
	const net: Net = {
		story,
		random: createRandom(story.seed),
		store: { items: new Map(), copies: [new Map()], term: 1, awayUntil: 0 },
		engines: [],
		entries: Array.from({ length: story.entries }, () => createEntry(0)),
		now: 0,
		rewinds: 0,
		longestUseMs: 0,
	}
	for (let at = 0; at < story.servers; at++) addEngine(net)
	for (; net.now < story.forMs + CALM_MS; net.now += STEP_MS) {
		if (net.now < story.forMs) happen(net)
		for (const engine of net.engines) live(net, engine)
		for (const entry of net.entries) follow(net, entry)
		judge(net)
	}
	return {
		rewinds: net.rewinds,
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
		doubtUntil: 0,
		cutUntil: 0,
		inTouchSince: now,
		callAt: now,
		tellAt: now,
	}
}

function idsOf({ list }: Entry): string[] {
	return listServing(list, () => true)
		.map(({ id }) => id)
		.sort()
}

function isDrawn({ random }: Net, perSecond: number): boolean {
	return random() < (perSecond * STEP_MS) / SECOND_MS
}

function drawOf<T>({ random }: Net, some: readonly T[]): T {
	return some[Math.floor(random() * some.length)]!
}

function happen(net: Net): void {
	const { rewinds, cuts, restarts, changes } = net.story.perSecond
	if (isDrawn(net, rewinds)) rewind(net)
	if (isDrawn(net, cuts))
		drawOf(net, net.entries).cutUntil = net.now + net.random() * 4_000
	if (isDrawn(net, restarts))
		Object.assign(drawOf(net, net.entries), createEntry(net.now))
	if (isDrawn(net, changes)) change(net)
}

function change(net: Net): void {
	const ready = net.engines.filter(one => one.state === 'ready')
	if (ready.length < net.story.servers) addEngine(net)
	else drawOf(net, ready).state = drawOf(net, ['leaving', 'removed', 'crashed'])
	for (const engine of net.engines)
		if (engine.state === 'crashed' && engine.writesAt <= net.now)
			engine.writesAt = net.now + LAPSE_MS
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

/** The store goes back by some revisions and is away for a moment. */
function rewind(net: Net): void {
	const { store } = net
	const back = Math.floor(net.random() * Math.min(12, store.copies.length))
	store.copies = store.copies.slice(0, store.copies.length - back)
	store.items = store.copies.at(-1)!
	store.term += net.random() < 0.1 ? 2 : 1
	store.awayUntil = net.now + net.random() * SECOND_MS
	net.rewinds++
	for (const engine of net.engines) {
		const { state } = engine
		const takesMs = state === 'crashed' ? LAPSE_MS : net.random() * REWRITE_MS
		engine.writesAt = store.awayUntil + takesMs
		if (!isGone(net, engine)) engine.readableAt = undefined
	}
}

function isGone({ store }: Net, { id }: Engine): boolean {
	const item = store.items.get(id)
	return !item || item.leaving
}

function live(net: Net, engine: Engine): void {
	if (engine.writesAt > net.now || net.now < net.store.awayUntil) return
	write(net, engine)
}

/** Writes an engine's state into the store, if it is not there. */
function write(net: Net, engine: Engine): void {
	const { store } = net
	if (net.now < store.awayUntil) return
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

function follow(net: Net, entry: Entry): void {
	const { now, store } = net
	confirmRemovals(entry.list, now)
	confirmReturns(entry.list, now)
	const isCut = now < entry.cutUntil
	if (isCut || now < store.awayUntil) entry.inTouchSince = now
	if (isCut) return
	if (now >= entry.callAt) {
		entry.callAt = now + CALL_MS * (0.5 + net.random())
		const isLost = net.random() < net.story.lost
		if (now >= store.awayUntil && !isLost) callStore(net, entry)
		else if (isLost) entry.inTouchSince = now
	}
	if (now < entry.tellAt) return
	entry.tellAt = now + TELL_MS
	for (const other of net.entries)
		if (other !== entry && now >= other.cutUntil) tell(net, entry, other)
}

function callStore(net: Net, entry: Entry): void {
	const { store, now } = net
	const { position } = entry
	const revision = { term: store.term, revision: store.copies.length - 1 }
	const isWhole =
		!position ||
		position.term !== store.term ||
		position.revision > revision.revision
	if (isWhole) readWhole(net, entry, revision)
	else
		for (const record of changesSince(store, position.revision))
			takeOne(entry, record, now, false)
	recordRead(entry.list, revision)
	entry.position = revision
}

function readWhole(net: Net, entry: Entry, revision: TermRevision): void {
	const { store, now } = net
	const known = [...entry.list.records.values()]
	const isCopy =
		entry.term !== undefined
			? revision.term > entry.term
			: known.some(one => one.server && one.revision.term < revision.term)
	entry.term = revision.term
	if (isCopy) entry.doubtUntil = now + LAPSED_MS
	const listed = [...store.items].map(([id, item]) =>
		toRecord(store, id, item, item.revision),
	)
	const present = new Set(listed.map(({ name }) => name))
	const missing = findMissing(entry.list, present, revision)
	for (const record of [...listed, ...missing])
		takeOne(entry, record, now, isCopy)
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

function takeOne(
	entry: Entry,
	record: ServerRecord,
	now: number,
	isCopy: boolean,
): void {
	const { list, doubtUntil } = entry
	if (!record.server && now < doubtUntil) deferRemoval(list, record, doubtUntil)
	else if (isCopy) applyRestoredRecord(list, record, now)
	else applyRecord(list, record)
}

/** Tells another entry what it lacks, and who has left. */
function tell({ now }: Net, from: Entry, to: Entry): void {
	const after = to.list.revision
	const newer = [...from.list.records.values()].filter(record =>
		isLater(record.revision, after),
	)
	for (const record of newer) applyPeerRecord(to.list, record, now)
	const left = listServerUpdates(
		createSharedState(from.list.departed),
		MOST_LEFT_TOLD,
	)
	mergeServerUpdates(createSharedState(to.list.departed), left, now)
}

function judge(net: Net): void {
	for (const entry of net.entries) {
		const used = new Set(idsOf(entry))
		for (const { id, readableAt } of net.engines) {
			if (readableAt === undefined || !used.has(id)) continue
			const since = Math.max(readableAt, entry.inTouchSince)
			net.longestUseMs = Math.max(net.longestUseMs, net.now - since)
		}
	}
}
