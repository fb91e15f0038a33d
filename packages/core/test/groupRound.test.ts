/**
 * Rounds of a lock-step group, explored in every order within stated bounds,
 * then at random far beyond them. Each guard is taken out once.
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
	{ name: 'two coordinators, an order late, a death', bounds: SMALL },
	{
		name: 'one coordinator, three rounds, two orders late',
		bounds: { ...SMALL, coordinators: 1, rounds: 3, late: 2, crashes: 0 },
	},
	{
		name: 'one coordinator, a new forming, an order late',
		bounds: { ...SMALL, coordinators: 1, reforms: 1 },
	},
	{
		name: 'three ranks, one coordinator that dies',
		bounds: { ...SMALL, ranks: 3, coordinators: 1 },
	},
]

for (const { name, bounds } of EXHAUSTIVE)
	test(`group round, every order: ${name}`, () => {
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
	test(`group round: without the guard "${mutant}" a fault is found`, () => {
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
	first: string | undefined
}[] = [
	{
		name: 'nothing left behind',
		report: {},
		undo: false,
		phase: 'preparing',
		first: 'prepare',
	},
	{
		name: 'held and prepared: the change is finished',
		report: { held: 9, prepared: 5 },
		undo: false,
		phase: 'arming',
		first: 'arm',
	},
	{
		name: 'held after a refusal: the change is taken back',
		report: { held: 9, prepared: 5 },
		undo: true,
		phase: 'disarming',
		first: 'disarm',
	},
	{
		name: 'held and nothing prepared',
		report: { held: 9 },
		undo: false,
		phase: 'releasing',
		first: 'go',
	},
	{
		name: 'armed and let go: decided, waited for',
		report: { prepared: 5, armed: { version: 5, step: 9 } },
		undo: false,
		phase: 'waiting',
		first: undefined,
	},
	{
		name: 'a new epoch',
		report: { epoch: 2 },
		undo: false,
		phase: 'failed',
		first: undefined,
	},
]

for (const { name, report, undo, phase, first } of INSPECTIONS)
	test(`group round, inspection: ${name}`, () => {
		const round = createRound(8, 1, 2, [], undo)
		round.phase = 'inspecting'
		applyAnchorReport(round, { ...REPORT, ...report }, 1)
		assert.is(round.phase, phase)
		assert.is(listPendingOrders(round)[0]?.order.type, first)
	})

/** A round of version 16 for pass 9 that has let the group go. */
const SETTLINGS: { name: string; report: object; phase: string }[] = [
	{ name: 'in use', report: { map: 16 }, phase: 'done' },
	{
		name: 'not begun yet',
		report: { armed: { version: 16, step: 9 } },
		phase: 'settling',
	},
	{
		name: 'held once more by a late double of the hold',
		report: { armed: { version: 16, step: 9 }, held: 9 },
		phase: 'releasing',
	},
	{ name: 'taken back by another round', report: { step: 9 }, phase: 'failed' },
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
