/** A request's fate, explored in every order within the stated bounds. */

import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { explore } from './models/explore.ts'
import { createLifecycleModel } from './models/lifecycleModel.ts'
import type {
	LifecycleBounds,
	LifecycleMutant,
} from './models/lifecycleModelState.ts'

const QUIET: LifecycleBounds = {
	entries: 1,
	repeatable: false,
	keyed: true,
	freshKey: false,
	restarts: 0,
	pauses: 0,
	losses: 0,
	duplicates: 0,
	leaves: 0,
	silences: 0,
}
const SEED = 20261202

const EXHAUSTIVE: { name: string; bounds: LifecycleBounds }[] = [
	{
		name: 'a booking, a restart, a lost link, a silence',
		bounds: { ...QUIET, restarts: 1, losses: 1, silences: 1 },
	},
	{
		name: 'a booking, a lost link, a doubled message',
		bounds: { ...QUIET, losses: 1, duplicates: 1 },
	},
	{
		name: 'a booking with an own key, a pause, a leave, a silence',
		bounds: { ...QUIET, freshKey: true, pauses: 1, leaves: 1, silences: 1 },
	},
	{
		name: 'a booking asked at two entries, a restart',
		bounds: { ...QUIET, entries: 2, restarts: 1 },
	},
	{
		name: 'a booking asked at two entries, a pause',
		bounds: { ...QUIET, entries: 2, pauses: 1 },
	},
	{
		name: 'no key, not to be repeated: a pause, a silence, a doubled message',
		bounds: {
			...QUIET,
			keyed: false,
			freshKey: true,
			pauses: 1,
			silences: 1,
			duplicates: 1,
		},
	},
	{
		name: 'a roster, a restart, a silence',
		bounds: {
			...QUIET,
			repeatable: true,
			keyed: false,
			freshKey: true,
			restarts: 1,
			silences: 1,
		},
	},
]

for (const { name, bounds } of EXHAUSTIVE)
	test(`fate, every order: ${name}`, () => {
		const found = explore(createLifecycleModel(bounds))
		assert.is(found.fault, undefined, JSON.stringify(found.path, null, 1))
		assert.ok(found.complete)
		assert.ok(found.states > 200, `only ${found.states} states`)
	})

const MUTANTS: {
	mutant: LifecycleMutant
	bounds: LifecycleBounds
	fault: string
}[] = [
	{
		mutant: 'retryUnknown',
		bounds: { ...QUIET, freshKey: true, restarts: 1, losses: 1 },
		fault: 'it ran twice',
	},
	{
		mutant: 'forgetAge',
		bounds: { ...QUIET, entries: 2, restarts: 1 },
		fault: 'it ran twice',
	},
	{
		mutant: 'noTombstone',
		bounds: { ...QUIET, keyed: false, freshKey: true, silences: 1 },
		fault: 'it ran twice',
	},
	{
		mutant: 'noEndMark',
		bounds: { ...QUIET },
		fault: 'half an answer',
	},
]

for (const { mutant, bounds, fault } of MUTANTS)
	test(`fate: without the guard "${mutant}" a fault is found`, () => {
		const found = explore(createLifecycleModel(bounds, mutant))
		assert.is(found.fault, fault)
	})

test('fate, random orders: two entries, all faults', () => {
	const model = createLifecycleModel({
		entries: 2,
		repeatable: false,
		keyed: true,
		freshKey: false,
		restarts: 3,
		pauses: 3,
		losses: 6,
		duplicates: 6,
		leaves: 1,
		silences: 4,
	})
	const walk = fc.array(fc.nat(), { minLength: 20, maxLength: 60 })
	fc.assert(
		fc.property(walk, choices => {
			let state = model.initial
			for (const choice of choices) {
				const events = model.list(state)
				if (events.length === 0) break
				state = model.apply(state, events[choice % events.length]!)
				assert.is(model.findFault(state), undefined)
			}
		}),
		{ seed: SEED, numRuns: 1_000 },
	)
})

test.run()
