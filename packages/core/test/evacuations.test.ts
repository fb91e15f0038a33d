/**
 * Evacuations of data centres: drawn histories of writes, losses, relays, restarts and
 * restored sources, after which all entries agree with the source.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Evacuation, Evacuations, Random } from '../src/index.ts'
import {
	applyEvacuation,
	applyFullRead,
	applyPeerEvacuation,
	applyReadChanges,
	confirmEvacuations,
	createEvacuations,
	createRandom,
	isEvacuated,
	randomIndex,
} from '../src/index.ts'

const SEEDS = 300
const STEPS = 80
const ENTRIES = 4
const ZONES = ['a', 'b']
/** Exceeds every grace period, ms. */
const LONG_MS = 60_000
/** Minimum time for which a restored source does not undo what is known, ms. */
const HELD_MS = 2_000

/** Merge of a peer's statement; mutants replace it. */
type Merge = typeof applyPeerEvacuation

interface Source {
	term: number
	revision: number
	changes: Omit<Evacuation, 'revision'>[]
}

interface Entry {
	state: Evacuations
	/** Term and revision of its last read; undefined before the first. */
	read: { term: number; revision: number } | undefined
	/** Statements received and not yet merged, in any order. */
	inbox: Evacuation[]
}

const createEntry = (): Entry => ({
	state: createEvacuations(),
	read: undefined,
	inbox: [],
})

function listChanges(source: Source, after: number): Evacuation[] {
	const { term, changes } = source
	return changes
		.map((one, at) => ({ ...one, revision: { term, revision: at + 1 } }))
		.slice(after)
}

function listPresent(source: Source): Evacuation[] {
	const last = new Map(listChanges(source, 0).map(one => [one.dataCentre, one]))
	return [...last.values()].filter(one => one.isEvacuated)
}

function readSource(entry: Entry, source: Source, now: number): Evacuation[] {
	const { term, changes } = source
	const revision = { term, revision: changes.length }
	const { read, state } = entry
	entry.read = revision
	if (read?.term !== term)
		return applyFullRead(state, listPresent(source), revision, now)
	return applyReadChanges(state, listChanges(source, read.revision), revision)
}

/** Plays one history; returns whether all entries agree with the source at its end. */
function agrees(random: Random, merge: Merge): boolean {
	const source: Source = { term: 1, revision: 0, changes: [] }
	const entries = Array.from({ length: ENTRIES }, createEntry)
	const pick = () => entries[randomIndex(random, ENTRIES)]!
	const send = (statements: readonly Evacuation[]) => {
		for (const entry of entries)
			if (random() < 0.6) entry.inbox.push(...statements)
	}
	const mergeInbox = (entry: Entry, now: number) => {
		const merged: Evacuation[] = []
		while (entry.inbox.length > 0) {
			const at = randomIndex(random, entry.inbox.length)
			const [one] = entry.inbox.splice(at, 1)
			if (merge(entry.state, one!, now)) merged.push(one!)
		}
		send(merged)
	}
	let now = 0
	for (let step = 0; step < STEPS; step++) {
		now += randomIndex(random, 1_500)
		const draw = random()
		if (draw < 0.3)
			source.changes.push({
				dataCentre: ZONES[randomIndex(random, ZONES.length)]!,
				isEvacuated: random() < 0.5,
			})
		else if (draw < 0.6) send(readSource(pick(), source, now))
		else if (draw < 0.85) mergeInbox(pick(), now)
		else if (draw < 0.92) entries[randomIndex(random, ENTRIES)] = createEntry()
		else if (draw < 0.95) {
			source.term++
			const kept = randomIndex(random, source.changes.length + 1)
			source.changes = source.changes.slice(0, kept)
		} else send(confirmEvacuations(pick().state, now))
	}
	// One entry stays cut off from the source and depends on the others.
	const [cut, ...linked] = entries
	for (const entry of linked) readSource(entry, source, now)
	now += LONG_MS
	for (const entry of entries) confirmEvacuations(entry.state, now)
	for (let round = 0; round < 2; round++)
		for (const from of linked)
			for (const to of entries)
				for (const one of from.state.byDataCentre.values())
					merge(to.state, one, now)
	const expected = new Set(listPresent(source).map(one => one.dataCentre))
	const reading = linked.every(({ state }) =>
		ZONES.every(zone => isEvacuated(state, zone) === expected.has(zone)),
	)
	// It holds no evacuation less than the others; one of an earlier term is kept.
	return (
		reading && ZONES.every(z => isEvacuated(cut!.state, z) || !expected.has(z))
	)
}

function countDisagreements(merge: Merge): number {
	let count = 0
	for (let seed = 1; seed <= SEEDS; seed++)
		if (!agrees(createRandom(seed), merge)) count++
	return count
}

test('drawn histories: all entries end with what the source says', () => {
	assert.is(countDisagreements(applyPeerEvacuation), 0)
})

const MUTANTS: { name: string; merge: Merge }[] = [
	{
		name: 'the last statement to arrive wins',
		merge: ({ byDataCentre }, one) => {
			byDataCentre.set(one.dataCentre, one)
			return true
		},
	},
	{
		name: 'statements older than the own read are accepted',
		merge: (state, one) => applyEvacuation(state, one),
	},
]
for (const { name, merge } of MUTANTS)
	test(`mutant: ${name}, and entries disagree`, () => {
		assert.ok(countDisagreements(merge) > 0)
	})

const at = (term: number, revision: number) => ({ term, revision })
const evacuated = (revision: ReturnType<typeof at>): Evacuation => ({
	dataCentre: 'a',
	revision,
	isEvacuated: true,
})

test('a restored source does not take an evacuation back at once', () => {
	const state = createEvacuations()
	applyFullRead(state, [evacuated(at(1, 5))], at(1, 9), 0)
	applyFullRead(state, [], at(2, 3), 1_000)
	for (let now = 1_000; now < 1_000 + HELD_MS; now += 100)
		assert.equal(confirmEvacuations(state, now), [])
	assert.ok(isEvacuated(state, 'a'))
	assert.is(confirmEvacuations(state, LONG_MS).length, 1)
	assert.not(isEvacuated(state, 'a'))
})

test('mutant: without the grace period it is taken back at once', () => {
	const state = createEvacuations()
	applyFullRead(state, [evacuated(at(1, 5))], at(1, 9), 0)
	const missing = { ...evacuated(at(2, 3)), isEvacuated: false }
	applyReadChanges(state, [missing], at(2, 3))
	assert.not(isEvacuated(state, 'a'))
})

interface StatementCase {
	readonly name: string
	readonly statements: readonly Evacuation[]
	readonly isEvacuated: boolean
}
const back = (revision: ReturnType<typeof at>): Evacuation => ({
	...evacuated(revision),
	isEvacuated: false,
})
const CASES: readonly StatementCase[] = [
	{ name: 'evacuated', statements: [evacuated(at(1, 2))], isEvacuated: true },
	{
		name: 'named twice',
		statements: [evacuated(at(1, 2)), evacuated(at(1, 2))],
		isEvacuated: true,
	},
	{
		name: 'taken back before it was known',
		statements: [back(at(1, 3)), evacuated(at(1, 2))],
		isEvacuated: false,
	},
	{
		name: 'evacuated again',
		statements: [evacuated(at(1, 4)), back(at(1, 3)), evacuated(at(1, 2))],
		isEvacuated: true,
	},
	{
		name: 'of a later term with a lower number',
		statements: [evacuated(at(1, 9)), back(at(2, 1))],
		isEvacuated: false,
	},
]
for (const { name, statements, isEvacuated: expected } of CASES)
	test(`a data centre ${name}: ${expected ? 'evacuated' : 'open'} in any order`, () => {
		for (const order of [statements, [...statements].reverse()]) {
			const state = createEvacuations()
			for (const one of order) applyPeerEvacuation(state, one, 0)
			assert.is(isEvacuated(state, 'a'), expected)
		}
	})

test.run()
