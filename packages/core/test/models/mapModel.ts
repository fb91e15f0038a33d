/**
 * Model of the map protocol under faults: every request may be delivered at any time,
 * more than once, in any order, or never; two coordinators are active at once (one of
 * them may have resumed after a pause); ranks may restart. A reply arrives with its call
 * or is lost, as in the RPC layer; the randomised runs also deliver late replies.
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
	MapMutant,
	Message,
} from './mapModelState.ts'

const FIRST_MAP = 'm0'

/** Creates a model with the given bounds, optionally without one of the guards. */
export function createMapModel(
	bounds: MapBounds,
	mutant: MapMutant = 'none',
): Model<MapModelState, MapModelEvent> {
	return {
		initial: createInitial(bounds),
		list: state => listEvents(state, bounds, mutant),
		apply: (state, event) => applyEvent(state, event, bounds, mutant),
		findFault: state => {
			if (state.fault !== null) return state.fault
			return recovers(state, bounds)
				? undefined
				: 'a rank stays blocked after recovery'
		},
	}
}

function createInitial(bounds: MapBounds): MapModelState {
	const createList = <T>(count: number, make: (at: number) => T) =>
		Array.from({ length: count }, (_, at) => make(at))
	return {
		ranks: createList(bounds.ranks, () => createRank(FIRST_MAP)),
		coordinators: createList(bounds.coordinators, () =>
			toJson(createMapCoordinator(bounds.ranks, FIRST_MAP)),
		),
		messages: [],
		duplicates: 0,
		losses: 0,
		late: 0,
		lateReplies: [],
		rounds: createList(bounds.coordinators, () => 0),
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
	mutant: MapMutant,
): MapModelEvent[] {
	if (state.fault !== null) return []
	const events: MapModelEvent[] = []
	for (const [coordinator, { phase }] of state.coordinators.entries()) {
		const canStart = phase === 'idle' || phase === 'learning'
		if (canStart && state.rounds[coordinator]! < bounds.rounds)
			events.push({ do: 'start', coordinator })
		if (phase !== 'idle' && state.timeouts < bounds.timeouts)
			events.push({ do: 'timeout', coordinator })
	}
	for (const message of state.messages)
		for (const replyDelivery of ['prompt', 'lost', 'late'] as const)
			for (const again of [false, true]) {
				if (replyDelivery === 'lost' && state.losses >= bounds.losses) continue
				if (replyDelivery === 'late' && state.late >= bounds.late) continue
				if (again && state.duplicates >= bounds.duplicates) continue
				events.push({ do: 'deliver', message, replyDelivery, again })
			}
	for (const index of state.lateReplies.keys())
		events.push({ do: 'lateReply', index })
	for (const [rank, rankState] of state.ranks.entries()) {
		if (rankState.step < bounds.steps && canBegin(state, rank, mutant))
			events.push({ do: 'begin', rank })
		if (state.restarts < bounds.restarts) events.push({ do: 'restart', rank })
	}
	return events
}

/** Whether a rank can begin its next step; no rank is more than one step ahead. */
function canBegin(
	state: MapModelState,
	rank: number,
	mutant: MapMutant,
): boolean {
	const own = state.ranks[rank]!
	const isAllowed = mutant === 'gate' ? own.joined : mayBeginStep(own)
	if (!isAllowed) return false
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
	mutant: MapMutant,
): MapModelState {
	switch (event.do) {
		case 'start':
			return start(state, event.coordinator, bounds)
		case 'timeout': {
			const next = { ...state, timeouts: state.timeouts + 1 }
			return runCoordinator(next, event.coordinator, handleRoundTimeout)
		}
		case 'deliver':
			return deliver(state, event, mutant)
		case 'lateReply': {
			const { rank, at, reply } = state.lateReplies[event.index]!
			const lateReplies = state.lateReplies.filter(
				(_, index) => index !== event.index,
			)
			return runCoordinator({ ...state, lateReplies }, at, coordinatorState =>
				applyReply(coordinatorState, rank, reply, mutant),
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
	const targetMapId = `m${coordinator + 1}`
	const next = { ...state, rounds }
	return runCoordinator(next, coordinator, coordinatorState => {
		const fence = nextFence(coordinatorState, coordinator, bounds.coordinators)
		return startMapRound(coordinatorState, fence, targetMapId, 1)
	})
}

function runCoordinator(
	state: MapModelState,
	coordinator: number,
	change: (coordinatorState: MapCoordinatorState) => AddressedRequest[],
): MapModelState {
	const coordinatorState = fromJson(state.coordinators[coordinator]!)
	const requests = change(coordinatorState)
	const coordinators = [...state.coordinators]
	coordinators[coordinator] = toJson(coordinatorState)
	let messages = state.messages
	for (const { rank, req } of requests) {
		const message: Message = { to: rank, from: coordinator, req }
		messages = insertSorted(messages, JSON.stringify(message))
	}
	return { ...state, coordinators, messages }
}

function deliver(
	state: MapModelState,
	event: Extract<MapModelEvent, { do: 'deliver' }>,
	mutant: MapMutant,
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
		duplicates: state.duplicates + (event.again ? 1 : 0),
		losses: state.losses + (event.replyDelivery === 'lost' ? 1 : 0),
		late: state.late + (event.replyDelivery === 'late' ? 1 : 0),
	}
	if (event.replyDelivery === 'lost') return next
	if (event.replyDelivery === 'late') {
		const lateReply: LateReply = { rank: message.to, at: message.from, reply }
		return { ...next, lateReplies: [...state.lateReplies, lateReply] }
	}
	return runCoordinator(next, message.from, coordinatorState =>
		applyReply(coordinatorState, message.to, reply, mutant),
	)
}

function applyReply(
	coordinatorState: MapCoordinatorState,
	rank: number,
	reply: RankReply,
	mutant: MapMutant,
): AddressedRequest[] {
	const requests = handleRankReply(coordinatorState, rank, reply)
	const firstPromise =
		coordinatorState.phase === 'preparing' && reply.type === 'promised'
	if (mutant !== 'nOfN' || !firstPromise) return requests
	// The mutant counts the first promise as the promises of all ranks.
	const missing = [...coordinatorState.pendingRanks][0]!
	coordinatorState.pendingRanks.clear()
	coordinatorState.pendingRanks.add(missing)
	return handleRankReply(coordinatorState, missing, reply)
}

function begin(state: MapModelState, at: number): MapModelState {
	const ranks = [...state.ranks]
	const rank = { ...ranks[at]! }
	ranks[at] = rank
	beginStep(rank)
	const stepKey = `${rank.generation}/${rank.step}`
	const previousMapId = state.used[stepKey]
	const used = { ...state.used, [stepKey]: rank.mapId }
	const next = { ...state, ranks, used }
	if (previousMapId !== undefined && previousMapId !== rank.mapId)
		return { ...next, fault: `two maps in step ${stepKey}` }
	const isComplete = ranks.every(
		other => other.generation === rank.generation && other.step >= rank.step,
	)
	return isComplete ? recordHistory(next, rank.mapId) : next
}

/** Records the map of a complete step; a map that was replaced must not be used again. */
function recordHistory(state: MapModelState, mapId: string): MapModelState {
	if (state.history.at(-1) === mapId) return state
	const history = [...state.history, mapId]
	if (!state.history.includes(mapId)) return { ...state, history }
	return {
		...state,
		history,
		fault: `map ${mapId} is used again after another map`,
	}
}

/**
 * Runs a round of one more coordinator with every message delivered, and returns whether
 * the group can step again.
 */
export function recovers(state: MapModelState, bounds: MapBounds): boolean {
	const ranks = state.ranks.map(rank => ({ ...rank }))
	const ids = bounds.coordinators + 1
	const coordinator = createMapCoordinator(bounds.ranks, FIRST_MAP)
	coordinator.highestRefusedFence =
		Math.max(...ranks.map(rank => rank.fence)) + 1
	const fence = nextFence(coordinator, bounds.coordinators, ids)
	const queue = startMapRound(coordinator, fence, undefined, 1)
	for (let next = queue.shift(); next; next = queue.shift()) {
		const reply = handleRankRequest(ranks[next.rank]!, next.req)
		queue.push(...handleRankReply(coordinator, next.rank, reply))
	}
	const [first] = ranks
	return ranks.every(
		rank =>
			rank.joined && !rank.promised && rank.generation === first!.generation,
	)
}

function insertSorted(list: readonly string[], item: string): string[] {
	if (list.includes(item)) return [...list]
	return [...list, item].sort()
}

function toJson(state: MapCoordinatorState): CoordinatorJson {
	return {
		...state,
		learned: [...state.learned],
		pendingRanks: [...state.pendingRanks].sort(),
	}
}

function fromJson(json: CoordinatorJson): MapCoordinatorState {
	// JSON text would turn undefined into null, but the model converts states to text
	// only for their keys and never reads them back.
	return {
		...json,
		learned: [...json.learned],
		pendingRanks: new Set(json.pendingRanks),
	}
}
