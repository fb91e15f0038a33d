/** The lifecycle of a request, explored in all event orders within the given bounds. */

import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { explore } from './models/explore.ts'
import { createLifecycleModel } from './models/lifecycleModel.ts'
import type {
	LifecycleBounds,
	LifecycleMutant,
} from './models/lifecycleModelState.ts'

const NO_FAILURES: LifecycleBounds = {
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
		name: 'a booking, a restart, a lost link, a time-out',
		bounds: { ...NO_FAILURES, restarts: 1, losses: 1, silences: 1 },
	},
	{
		name: 'a booking, a lost link, a duplicate message',
		bounds: { ...NO_FAILURES, losses: 1, duplicates: 1 },
	},
	{
		name: "a booking with the entry's key, a pause, a leave, a time-out",
		bounds: {
			...NO_FAILURES,
			freshKey: true,
			pauses: 1,
			leaves: 1,
			silences: 1,
		},
	},
	{
		name: 'a booking requested at two entries, a restart',
		bounds: { ...NO_FAILURES, entries: 2, restarts: 1 },
	},
	{
		name: 'a booking requested at two entries, a pause',
		bounds: { ...NO_FAILURES, entries: 2, pauses: 1 },
	},
	{
		name: 'no key, not repeatable: a pause, a time-out, a duplicate message',
		bounds: {
			...NO_FAILURES,
			keyed: false,
			freshKey: true,
			pauses: 1,
			silences: 1,
			duplicates: 1,
		},
	},
	{
		name: 'a repeatable request, a restart, a time-out',
		bounds: {
			...NO_FAILURES,
			repeatable: true,
			keyed: false,
			freshKey: true,
			restarts: 1,
			silences: 1,
		},
	},
]

for (const { name, bounds } of EXHAUSTIVE)
	test(`request lifecycle, all orders: ${name}`, () => {
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
		bounds: { ...NO_FAILURES, freshKey: true, restarts: 1, losses: 1 },
		fault: 'ran twice',
	},
	{
		mutant: 'ignoreKeyAge',
		bounds: { ...NO_FAILURES, entries: 2, restarts: 1 },
		fault: 'ran twice',
	},
	{
		mutant: 'noTombstone',
		bounds: { ...NO_FAILURES, keyed: false, freshKey: true, silences: 1 },
		fault: 'ran twice',
	},
	{
		mutant: 'noEndMarker',
		bounds: { ...NO_FAILURES },
		fault: 'incomplete answer',
	},
]

for (const { mutant, bounds, fault } of MUTANTS)
	test(`request lifecycle: mutant "${mutant}" is detected`, () => {
		const found = explore(createLifecycleModel(bounds, mutant))
		assert.is(found.fault, fault)
	})

test('request lifecycle, random orders: two entries, all failures', () => {
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
