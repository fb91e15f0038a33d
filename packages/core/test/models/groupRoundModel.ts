/**
 * Rounds of a lock-step group under an adversary: orders may be lost, doubled
 * or carried out at any later time; coordinators may die at any moment and act
 * beside each other; the group may form anew. Engines follow the platform's
 * published rules, in the weaker reading where those leave a choice: a fence is
 * remembered only from an order that was accepted.
 */

import type {
	EngineOrder,
	GroupRound,
	OrderAnswer,
	PendingOrder,
	RankReport,
} from '../../src/index.ts'
import {
	ANCHOR_RANK,
	abandonProbing,
	applyAnchorReport,
	applyOrderAnswer,
	createRound,
	isRoundOver,
	listPendingOrders,
	REFUSED_TO_ARM,
} from '../../src/index.ts'
import type { Model } from './explore.ts'
import type {
	RoundBounds,
	RoundEvent,
	RoundMutant,
	RoundState,
} from './groupRoundModelState.ts'

const FIRST_EPOCH = 1

/** Makes the model. */
export function createRoundModel(
	bounds: RoundBounds,
	mutant: RoundMutant = 'none',
): Model<RoundState, RoundEvent> {
	return {
		initial: createInitial(bounds),
		list: state => listEvents(state, bounds),
		apply: (state, event) => applyEvent(state, event, bounds, mutant),
		findFault: state => state.fault || undefined,
		keyOf: state =>
			JSON.stringify(state, (_, value) =>
				value instanceof Set ? [...value].sort() : value,
			),
	}
}

function createInitial(bounds: RoundBounds): RoundState {
	const engine = { map: 0, prepared: 0, highest: 0, armed: null, fence: 0 }
	return {
		engines: Array.from({ length: bounds.ranks }, () => ({ ...engine })),
		held: 0,
		step: 0,
		epoch: FIRST_EPOCH,
		rounds: Array.from({ length: bounds.coordinators }, () => null),
		undo: Array.from({ length: bounds.coordinators }, () => false),
		pending: [],
		begun: 0,
		late: 0,
		crashes: 0,
		reforms: 0,
		fault: '',
	}
}

function listEvents(state: RoundState, bounds: RoundBounds): RoundEvent[] {
	if (state.fault) return []
	const events: RoundEvent[] = []
	for (const [by, round] of state.rounds.entries()) {
		if (!round || isRoundOver(round)) {
			if (state.begun < bounds.rounds) events.push({ type: 'begin', by })
			continue
		}
		events.push({ type: 'report', by })
		if (round.phase === 'probing') events.push({ type: 'giveUp', by })
		if (state.crashes < bounds.crashes) events.push({ type: 'die', by })
		for (const at of listPendingOrders(round).keys()) {
			events.push({ type: 'order', by, at })
			if (state.late < bounds.late) events.push({ type: 'lose', by, at })
		}
	}
	for (const at of state.pending.keys()) events.push({ type: 'carryOut', at })
	if (state.step < bounds.steps && state.held !== state.step + 1)
		events.push({ type: 'pass' })
	if (state.reforms < bounds.reforms) events.push({ type: 'reform' })
	return events
}

function applyEvent(
	before: RoundState,
	event: RoundEvent,
	bounds: RoundBounds,
	mutant: RoundMutant,
): RoundState {
	const state = structuredClone(before)
	switch (event.type) {
		case 'begin':
			begin(state, event.by, bounds)
			break
		case 'report':
			applyAnchorReport(state.rounds[event.by]!, reportOf(state), 0)
			break
		case 'die':
			state.crashes++
			state.rounds[event.by] = null
			state.undo[event.by] = false
			break
		case 'giveUp':
			abandonProbing(state.rounds[event.by]!)
			break
		case 'order': {
			const round = state.rounds[event.by]!
			const wanted = listPendingOrders(round)[event.at]!
			const answer = carryOut(state, wanted, mutant)
			applyOrderAnswer(round, wanted, answer)
			if (answer === 'done') skipGuards(round, wanted, mutant)
			break
		}
		case 'lose':
			state.late++
			state.pending.push(listPendingOrders(state.rounds[event.by]!)[event.at]!)
			break
		case 'carryOut':
			carryOut(state, state.pending[event.at]!, mutant)
			state.pending.splice(event.at, 1)
			break
		case 'pass':
			beginPass(state)
			break
		case 'reform':
			reform(state)
			break
		default:
			event satisfies never
	}
	return state
}

function begin(state: RoundState, by: number, bounds: RoundBounds): void {
	const last = state.rounds[by]
	const undo = last?.reason === REFUSED_TO_ARM || state.undo[by]!
	state.begun++
	const fence = state.begun
	state.rounds[by] = createRound(fence, state.epoch, bounds.ranks, [], undo)
}

/** Mutants of the coordinator. */
function skipGuards(
	round: GroupRound,
	{ order }: PendingOrder,
	mutant: RoundMutant,
): void {
	if (mutant === 'allArmed' && order.type === 'arm' && !isRoundOver(round)) {
		round.phase = 'releasing'
		round.confirmed.clear()
	}
	if (mutant === 'probe' && order.type === 'arm' && round.phase === 'arming') {
		round.version = 0
		round.phase = 'releasing'
		round.confirmed.clear()
	}
}

function carryOut(
	state: RoundState,
	{ rank, order }: PendingOrder,
	mutant: RoundMutant,
): OrderAnswer {
	const engine = state.engines[rank]!
	if (order.epoch !== state.epoch && mutant !== 'epoch') return 'conflict'
	if (order.type === 'probe') return 'done'
	if (order.fence < engine.fence && mutant !== 'fence') return 'fenced'
	const answer = takeOrder(state, rank, order, mutant)
	if (answer === 'done') engine.fence = Math.max(engine.fence, order.fence)
	return answer
}

function takeOrder(
	state: RoundState,
	rank: number,
	order: Exclude<EngineOrder, { type: 'probe' }>,
	mutant: RoundMutant,
): OrderAnswer {
	const engine = state.engines[rank]!
	switch (order.type) {
		case 'prepare':
			if (engine.prepared === order.version) return 'done'
			if (engine.armed || order.version <= engine.highest) return 'conflict'
			engine.prepared = order.version
			engine.highest = order.version
			return 'done'
		case 'arm': {
			const { armed } = engine
			if (armed?.version === order.version && armed.step === order.step)
				return 'done'
			const fits = engine.prepared === order.version && !armed
			if (!fits || order.step <= state.step) return 'conflict'
			engine.armed = { version: order.version, step: order.step }
			return 'done'
		}
		case 'disarm':
			if (engine.map === order.version) return 'conflict'
			if (engine.armed?.version === order.version) engine.armed = null
			return 'done'
		case 'hold':
			if (state.held === order.step) return 'done'
			if (state.held > 0 || order.step <= state.step) return 'conflict'
			if (mutant !== 'hold') state.held = order.step
			return 'done'
		case 'go':
			if (state.held === order.step) state.held = 0
			return 'done'
		default:
			return order satisfies never
	}
}

function beginPass(state: RoundState): void {
	state.step++
	for (const engine of state.engines) {
		if (engine.armed?.step !== state.step) continue
		engine.map = engine.armed.version
		engine.armed = null
	}
	const maps = new Set(state.engines.map(engine => engine.map))
	if (maps.size > 1) state.fault = `two maps in pass ${state.step}`
}

function reform(state: RoundState): void {
	state.reforms++
	state.epoch++
	state.held = 0
	for (const engine of state.engines) {
		engine.map = 0
		engine.prepared = 0
		engine.armed = null
		// The rank that started anew has forgotten; the others remember.
		engine.highest = 0
		engine.fence = 0
	}
}

function reportOf(state: RoundState): RankReport {
	const anchor = state.engines[ANCHOR_RANK]!
	return {
		group: 'g',
		rank: ANCHOR_RANK,
		size: state.engines.length,
		epoch: state.epoch,
		open: true,
		step: state.step,
		map: anchor.map,
		prepared: anchor.prepared || undefined,
		armed: anchor.armed ?? undefined,
		held: state.held || undefined,
		running: 0,
		waiting: 0,
		pace: 1,
	}
}
