/**
 * The map protocol under an adversary: every request may be delivered at any
 * time, more than once, in any order, or never; two coordinators act at once
 * (one of them may be a paused one that woke); ranks may restart. A reply comes
 * with its call or is lost, as the RPC layer has it; the randomised runs let
 * replies be late as well.
 */

import type {
	AddressedRequest,
	MapCoordinatorState,
	RankReply,
} from '../../src/index.ts'
import {
	beginStep,
	createMapCoordinator,
	createRank,
	createRestartedRank,
	handleRankReply,
	handleRankRequest,
	handleRoundTimeout,
	mayBeginStep,
	nextFence,
	startMapRound,
} from '../../src/index.ts'
import type { Model } from './explore.ts'
import type {
	CoordinatorJson,
	LateReply,
	MapBounds,
	MapModelEvent,
	MapModelState,
	Message,
	Mutant,
} from './mapModelState.ts'

const FIRST_MAP = 'm0'

/** The model for given bounds. */
export function createMapModel(
	bounds: MapBounds,
	mutant: Mutant = 'none',
): Model<MapModelState, MapModelEvent> {
	return {
		initial: createInitial(bounds),
		list: state => listEvents(state, bounds, mutant),
		apply: (state, event) => applyEvent(state, event, bounds, mutant),
		findFault: state => {
			if (state.fault !== null) return state.fault
			return recovers(state, bounds) ? undefined : 'a gate stays shut'
		},
	}
}

function createInitial(bounds: MapBounds): MapModelState {
	const repeat = <T>(count: number, make: (at: number) => T) =>
		Array.from({ length: count }, (_, at) => make(at))
	return {
		ranks: repeat(bounds.ranks, () => createRank(FIRST_MAP)),
		coordinators: repeat(bounds.coordinators, () =>
			toJson(createMapCoordinator(bounds.ranks, FIRST_MAP)),
		),
		messages: [],
		duplicates: 0,
		losses: 0,
		late: 0,
		lateReplies: [],
		rounds: repeat(bounds.coordinators, () => 0),
		restarts: 0,
		timeouts: 0,
		used: {},
		history: [FIRST_MAP],
		fault: null,
	}
}

function listEvents(
	state: MapModelState,
	bounds: MapBounds,
	mutant: Mutant,
): MapModelEvent[] {
	if (state.fault !== null) return []
	const events: MapModelEvent[] = []
	for (const [coordinator, { phase }] of state.coordinators.entries()) {
		const startable = phase === 'idle' || phase === 'learning'
		if (startable && state.rounds[coordinator]! < bounds.rounds)
			events.push({ do: 'start', coordinator })
		if (phase !== 'idle' && state.timeouts < bounds.timeouts)
			events.push({ do: 'timeout', coordinator })
	}
	for (const message of state.messages)
		for (const replyFate of ['prompt', 'lost', 'late'] as const)
			for (const again of [false, true]) {
				if (replyFate === 'lost' && state.losses >= bounds.losses) continue
				if (replyFate === 'late' && state.late >= bounds.late) continue
				if (again && state.duplicates >= bounds.duplicates) continue
				events.push({ do: 'deliver', message, replyFate, again })
			}
	for (const index of state.lateReplies.keys())
		events.push({ do: 'lateReply', index })
	for (const [rank, held] of state.ranks.entries()) {
		if (held.step < bounds.steps && canBegin(state, rank, mutant))
			events.push({ do: 'begin', rank })
		if (state.restarts < bounds.restarts) events.push({ do: 'restart', rank })
	}
	return events
}

/** In lock-step no rank is more than one step ahead of another. */
function canBegin(state: MapModelState, rank: number, mutant: Mutant): boolean {
	const own = state.ranks[rank]!
	const gateOpen = mutant === 'gate' ? own.joined : mayBeginStep(own)
	if (!gateOpen) return false
	return state.ranks.every(
		other =>
			other.joined &&
			other.generation === own.generation &&
			other.step >= own.step,
	)
}

function applyEvent(
	state: MapModelState,
	event: MapModelEvent,
	bounds: MapBounds,
	mutant: Mutant,
): MapModelState {
	switch (event.do) {
		case 'start':
			return start(state, event.coordinator, bounds)
		case 'timeout': {
			const next = { ...state, timeouts: state.timeouts + 1 }
			return act(next, event.coordinator, handleRoundTimeout)
		}
		case 'deliver':
			return deliver(state, event, mutant)
		case 'lateReply': {
			const { rank, at, reply } = state.lateReplies[event.index]!
			const lateReplies = state.lateReplies.filter(
				(_, index) => index !== event.index,
			)
			return act({ ...state, lateReplies }, at, held =>
				takeReply(held, rank, reply, mutant),
			)
		}
		case 'begin':
			return begin(state, event.rank)
		case 'restart': {
			const ranks = [...state.ranks]
			const { incarnation } = ranks[event.rank]!
			ranks[event.rank] = createRestartedRank(incarnation + 1)
			return { ...state, ranks, restarts: state.restarts + 1 }
		}
		default:
			return event satisfies never
	}
}

function start(
	state: MapModelState,
	coordinator: number,
	bounds: MapBounds,
): MapModelState {
	const rounds = [...state.rounds]
	rounds[coordinator]!++
	const wanted = `m${coordinator + 1}`
	const next = { ...state, rounds }
	return act(next, coordinator, held => {
		const fence = nextFence(held, coordinator, bounds.coordinators)
		return startMapRound(held, fence, wanted, 1)
	})
}

function act(
	state: MapModelState,
	coordinator: number,
	change: (held: MapCoordinatorState) => AddressedRequest[],
): MapModelState {
	const held = fromJson(state.coordinators[coordinator]!)
	const orders = change(held)
	const coordinators = [...state.coordinators]
	coordinators[coordinator] = toJson(held)
	let messages = state.messages
	for (const { rank, req } of orders) {
		const message: Message = { to: rank, from: coordinator, req }
		messages = insert(messages, JSON.stringify(message))
	}
	return { ...state, coordinators, messages }
}

function deliver(
	state: MapModelState,
	event: Extract<MapModelEvent, { do: 'deliver' }>,
	mutant: Mutant,
): MapModelState {
	const message: Message = JSON.parse(event.message)
	const ranks = [...state.ranks]
	const rank = { ...ranks[message.to]! }
	ranks[message.to] = rank
	if (mutant === 'fence') rank.fence = Math.min(rank.fence, message.req.fence)
	const reply = handleRankRequest(rank, message.req)
	const messages = event.again
		? state.messages
		: state.messages.filter(one => one !== event.message)
	const next = {
		...state,
		ranks,
		messages,
		doubles: state.duplicates + (event.again ? 1 : 0),
		losses: state.losses + (event.replyFate === 'lost' ? 1 : 0),
		late: state.late + (event.replyFate === 'late' ? 1 : 0),
	}
	if (event.replyFate === 'lost') return next
	if (event.replyFate === 'late') {
		const held: LateReply = { rank: message.to, at: message.from, reply }
		return { ...next, lateReplies: [...state.lateReplies, held] }
	}
	return act(next, message.from, held =>
		takeReply(held, message.to, reply, mutant),
	)
}

function takeReply(
	held: MapCoordinatorState,
	rank: number,
	reply: RankReply,
	mutant: Mutant,
): AddressedRequest[] {
	const orders = handleRankReply(held, rank, reply)
	const firstPromise = held.phase === 'preparing' && reply.type === 'promised'
	if (mutant !== 'nOfN' || !firstPromise) return orders
	// The mutant takes the first promise for all of them.
	const missing = [...held.open][0]!
	held.open.clear()
	held.open.add(missing)
	return handleRankReply(held, missing, reply)
}

function begin(state: MapModelState, at: number): MapModelState {
	const ranks = [...state.ranks]
	const rank = { ...ranks[at]! }
	ranks[at] = rank
	beginStep(rank)
	const place = `${rank.generation}/${rank.step}`
	const before = state.used[place]
	const used = { ...state.used, [place]: rank.mapId }
	const next = { ...state, ranks, used }
	if (before !== undefined && before !== rank.mapId)
		return { ...next, fault: `two maps in step ${place}` }
	const whole = ranks.every(
		other => other.generation === rank.generation && other.step >= rank.step,
	)
	return whole ? noteHistory(next, rank.mapId) : next
}

/** A map that a whole step used never comes back after another. */
function noteHistory(state: MapModelState, mapId: string): MapModelState {
	if (state.history.at(-1) === mapId) return state
	const history = [...state.history, mapId]
	if (!state.history.includes(mapId)) return { ...state, history }
	return { ...state, history, fault: `map ${mapId} came back` }
}

/**
 * Lets one more coordinator run a round with every message delivered, and tells
 * whether the group then steps again.
 */
export function recovers(state: MapModelState, bounds: MapBounds): boolean {
	const ranks = state.ranks.map(rank => ({ ...rank }))
	const ids = bounds.coordinators + 1
	const coordinator = createMapCoordinator(bounds.ranks, FIRST_MAP)
	coordinator.highest = Math.max(...ranks.map(rank => rank.fence)) + 1
	const fence = nextFence(coordinator, bounds.coordinators, ids)
	const queue = startMapRound(coordinator, fence, undefined, 1)
	for (let order = queue.shift(); order; order = queue.shift()) {
		const reply = handleRankRequest(ranks[order.rank]!, order.req)
		queue.push(...handleRankReply(coordinator, order.rank, reply))
	}
	const [first] = ranks
	return ranks.every(
		rank =>
			rank.joined && !rank.promised && rank.generation === first!.generation,
	)
}

function insert(list: readonly string[], item: string): string[] {
	if (list.includes(item)) return [...list]
	return [...list, item].sort()
}

function toJson(state: MapCoordinatorState): CoordinatorJson {
	return { ...state, learned: [...state.learned], open: [...state.open].sort() }
}

function fromJson(json: CoordinatorJson): MapCoordinatorState {
	// JSON text has null where the state has undefined; nothing tells them apart
	// here, since states never travel as text.
	return { ...json, learned: [...json.learned], open: new Set(json.open) }
}
