/**
 * The map protocol, explored exhaustively within the stated bounds, then at
 * random far beyond them. `npm run bench -- model` explores larger bounds.
 */

import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { explore } from './models/explore.ts'
import { createMapModel } from './models/mapModel.ts'
import type { MapBounds, Mutant } from './models/mapModelState.ts'

const SMALL: MapBounds = {
	ranks: 2,
	coordinators: 2,
	rounds: 1,
	steps: 2,
	restarts: 0,
	timeouts: 0,
	duplicates: 0,
	losses: 0,
	late: 0,
}
const SEED = 20261202

const EXHAUSTIVE: { name: string; bounds: MapBounds }[] = [
	{ name: 'two coordinators, two changes', bounds: SMALL },
	{
		name: 'one coordinator, a late reply, a doubled request, a time-out',
		bounds: {
			...SMALL,
			coordinators: 1,
			timeouts: 1,
			duplicates: 1,
			late: 1,
		},
	},
	{
		name: 'one coordinator, two rounds, a rank that restarts',
		bounds: { ...SMALL, coordinators: 1, rounds: 2, restarts: 1 },
	},
]

for (const { name, bounds } of EXHAUSTIVE)
	test(`map protocol, every order: ${name}`, () => {
		const found = explore(createMapModel(bounds))
		assert.is(found.fault, undefined, JSON.stringify(found.path))
		assert.ok(found.complete)
		assert.ok(found.states > 1_000, `only ${found.states} states`)
	})

const MUTANTS: { mutant: Mutant; fault: string }[] = [
	{ mutant: 'gate', fault: 'two maps in step 1/1' },
	{ mutant: 'nOfN', fault: 'two maps in step 1/1' },
	{ mutant: 'fence', fault: 'two maps in step 1/1' },
]

for (const { mutant, fault } of MUTANTS)
	test(`map protocol: without the guard "${mutant}" a fault is found`, () => {
		const found = explore(createMapModel(SMALL, mutant))
		assert.is(found.fault, fault)
	})

const LARGE: MapBounds = {
	ranks: 4,
	coordinators: 3,
	rounds: 3,
	steps: 12,
	restarts: 2,
	timeouts: 6,
	duplicates: 6,
	losses: 6,
	late: 6,
}

test('map protocol, random orders: 4 ranks, 3 coordinators, all faults', () => {
	const model = createMapModel(LARGE)
	const walk = fc.array(fc.nat(), { minLength: 60, maxLength: 160 })
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
		{ seed: SEED, numRuns: 300 },
	)
})

test.run()
