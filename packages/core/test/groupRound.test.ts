/**
 * Explores rounds of a lock-step group exhaustively within given bounds, then at random
 * far beyond them. Mutants without one of the guards must be found faulty.
 */

import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	applyAnchorReport,
	createRound,
	listPendingOrders,
} from '../src/index.ts'
import { explore } from './models/explore.ts'
import { createRoundModel } from './models/groupRoundModel.ts'
import type { RoundBounds, RoundMutant } from './models/groupRoundModelState.ts'

const SEED = 20261202
const SMALL: RoundBounds = {
	ranks: 2,
	coordinators: 2,
	rounds: 2,
	steps: 2,
	late: 1,
	crashes: 1,
	reforms: 0,
}

const EXHAUSTIVE: { name: string; bounds: RoundBounds }[] = [
	{ name: 'two coordinators, a delayed order, a crash', bounds: SMALL },
	{
		name: 'one coordinator, three rounds, two delayed orders',
		bounds: { ...SMALL, coordinators: 1, rounds: 3, late: 2, crashes: 0 },
	},
	{
		name: 'one coordinator, a re-formed group, a delayed order',
		bounds: { ...SMALL, coordinators: 1, reforms: 1 },
	},
	{
		name: 'three ranks, one coordinator that crashes',
		bounds: { ...SMALL, ranks: 3, coordinators: 1 },
	},
]

for (const { name, bounds } of EXHAUSTIVE)
	test(`group round, exhaustive: ${name}`, () => {
		const found = explore(createRoundModel(bounds))
		assert.is(found.fault, undefined, JSON.stringify(found.path))
		assert.ok(found.complete)
		assert.ok(found.states > 1_000, `only ${found.states} states`)
	})

const MUTANTS: { mutant: RoundMutant; bounds: RoundBounds }[] = [
	{ mutant: 'hold', bounds: SMALL },
	{ mutant: 'allArmed', bounds: SMALL },
	{ mutant: 'probe', bounds: SMALL },
	{ mutant: 'fence', bounds: SMALL },
	{
		mutant: 'epoch',
		bounds: { ...SMALL, coordinators: 1, rounds: 2, reforms: 1, late: 2 },
	},
]

for (const { mutant, bounds } of MUTANTS)
	test(`group round: a fault is found without the guard "${mutant}"`, () => {
		const found = explore(createRoundModel(bounds, mutant))
		assert.match(found.fault ?? 'none', /two maps in pass/)
	})

test('group round, random: four ranks, three coordinators', () => {
	const model = createRoundModel({
		ranks: 4,
		coordinators: 3,
		rounds: 12,
		steps: 12,
		late: 8,
		crashes: 5,
		reforms: 2,
	})
	fc.assert(
		fc.property(
			fc.array(fc.nat(), { minLength: 60, maxLength: 260 }),
			choices => {
				let state = model.initial
				for (const choice of choices) {
					const events = model.list(state)
					if (events.length === 0) break
					state = model.apply(state, events[choice % events.length]!)
					const fault = model.findFault(state)
					if (fault) throw new Error(fault)
				}
			},
		),
		{ seed: SEED, numRuns: 1_500 },
	)
})

const REPORT = {
	group: 'g',
	rank: 0,
	size: 2,
	epoch: 1,
	open: true,
	step: 7,
	map: 0,
	prepared: undefined,
	armed: undefined,
	held: undefined,
	running: 0,
	waiting: 0,
	pace: 1,
}

const INSPECTIONS: {
	name: string
	report: object
	undo: boolean
	phase: string
	firstOrder: string | undefined
}[] = [
	{
		name: 'no change of an older round',
		report: {},
		undo: false,
		phase: 'preparing',
		firstOrder: 'prepare',
	},
	{
		name: 'held and prepared: the change is completed',
		report: { held: 9, prepared: 5 },
		undo: false,
		phase: 'arming',
		firstOrder: 'arm',
	},
	{
		name: 'held after a refusal: the change is rolled back',
		report: { held: 9, prepared: 5 },
		undo: true,
		phase: 'disarming',
		firstOrder: 'disarm',
	},
	{
		name: 'held, nothing prepared: the group is released',
		report: { held: 9 },
		undo: false,
		phase: 'releasing',
		firstOrder: 'go',
	},
	{
		name: 'armed and released: waits until the decided change takes effect',
		report: { prepared: 5, armed: { version: 5, step: 9 } },
		undo: false,
		phase: 'waiting',
		firstOrder: undefined,
	},
	{
		name: 'new epoch: the round fails',
		report: { epoch: 2 },
		undo: false,
		phase: 'failed',
		firstOrder: undefined,
	},
]

for (const { name, report, undo, phase, firstOrder } of INSPECTIONS)
	test(`group round, inspection: ${name}`, () => {
		const round = createRound(8, 1, 2, [], undo)
		round.phase = 'inspecting'
		applyAnchorReport(round, { ...REPORT, ...report }, 1)
		assert.is(round.phase, phase)
		assert.is(listPendingOrders(round)[0]?.order.type, firstOrder)
	})

/** Reports to a round with version 16 and pass 9 that has released the group. */
const SETTLINGS: { name: string; report: object; phase: string }[] = [
	{ name: 'the new map is in use', report: { map: 16 }, phase: 'done' },
	{
		name: 'the pass of the change has not begun',
		report: { armed: { version: 16, step: 9 } },
		phase: 'settling',
	},
	{
		name: 'held again by a delayed duplicate of the hold',
		report: { armed: { version: 16, step: 9 }, held: 9 },
		phase: 'releasing',
	},
	{
		name: 'rolled back by another round',
		report: { step: 9 },
		phase: 'failed',
	},
]

for (const { name, report, phase } of SETTLINGS)
	test(`group round, settling: ${name}`, () => {
		const round = createRound(8, 1, 2, [])
		round.phase = 'settling'
		round.step = 9
		applyAnchorReport(round, { ...REPORT, ...report }, 1)
		assert.is(round.phase, phase)
	})

test.run()
