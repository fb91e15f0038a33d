/**
 * The coordinator's side of the map protocol: learn from every rank, finish or
 * give up what is open, then prepare one change and commit it with n of n
 * promises. It may be paused, doubled or killed at any point.
 */

import type {
	CoordinatorState,
	Learned,
	MapChange,
	RankReply,
	RankRequest,
} from '../internal.ts'
import { listLearned, planChange } from '../internal.ts'

/** A request to one rank. */
export interface RankOrder {
	readonly rank: number
	readonly req: RankRequest
}

/** Makes an idle coordinator. */
export function createCoordinator(
	size: number,
	firstMap: string,
): CoordinatorState {
	return {
		size,
		phase: 'idle',
		fence: 0,
		wanted: undefined,
		lead: 1,
		firstMap,
		learned: new Array(size).fill(undefined),
		open: new Set(),
		change: undefined,
		highest: 0,
		finished: 0,
	}
}

/**
 * The next fence of coordinator `id` out of `ids`, above all it has heard of.
 * No two coordinators share one.
 */
export function nextFence(
	state: CoordinatorState,
	id: number,
	ids: number,
): number {
	const above = Math.max(state.fence, state.highest)
	const round = Math.floor(above / ids) + 1
	return round * ids + id
}

/** Begins a round. */
export function startRound(
	state: CoordinatorState,
	fence: number,
	wanted: string | undefined,
	lead: number,
): RankOrder[] {
	state.phase = 'learning'
	state.fence = fence
	state.wanted = wanted
	state.lead = lead
	state.change = undefined
	state.learned.fill(undefined)
	return askAll(state, { type: 'learn', fence })
}

/** Takes a rank's reply; late, doubled and foreign ones are harmless. */
export function takeRankReply(
	state: CoordinatorState,
	rank: number,
	reply: RankReply,
): RankOrder[] {
	if (reply.type === 'refused')
		state.highest = Math.max(state.highest, reply.highest)
	if (reply.fence !== state.fence) return []
	switch (reply.type) {
		case 'learned':
			return onLearned(state, rank, reply)
		case 'promised':
			return onPromised(state, rank, reply.incarnation)
		case 'decided':
			return onDecided(state, rank, reply.changeFence)
		case 'refused':
			return onRefused(state, reply.request)
		default:
			return reply satisfies never
	}
}

/**
 * Time is up for the open request. What was only prepared is given up; what was
 * decided is told again.
 */
export function repeatRound(state: CoordinatorState): RankOrder[] {
	switch (state.phase) {
		case 'idle':
			return []
		case 'learning':
			return askOpen(state, { type: 'learn', fence: state.fence })
		case 'closing':
			return closeOpenChanges(state)
		case 'preparing':
			return abortChange(state)
		case 'committing':
			return askOpen(state, commitOf(state))
		case 'aborting':
			return askOpen(state, abortOf(state))
		default:
			return state.phase satisfies never
	}
}

function onLearned(
	state: CoordinatorState,
	rank: number,
	reply: Learned,
): RankOrder[] {
	if (state.phase !== 'learning') return []
	state.learned[rank] = reply
	state.open.delete(rank)
	if (state.open.size > 0) return []
	return closeOpenChanges(state)
}

/** A change that any rank saw committed is finished; others are given up. */
function closeOpenChanges(state: CoordinatorState): RankOrder[] {
	const all = listLearned(state)
	state.phase = 'closing'
	state.open.clear()
	const orders: RankOrder[] = []
	for (const [rank, { promised }] of all.entries()) {
		if (!promised) continue
		state.open.add(rank)
		orders.push({ rank, req: closingOf(state, all, promised) })
	}
	return orders.length > 0 ? orders : prepareChange(state)
}

function closingOf(
	state: CoordinatorState,
	all: readonly Learned[],
	promised: MapChange,
): RankRequest {
	const { fence } = state
	const changeFence = promised.fence
	const seen = all.some(other => other.committed?.fence === changeFence)
	if (seen) return { type: 'commit', fence, change: promised }
	return { type: 'abort', fence, changeFence }
}

function prepareChange(state: CoordinatorState): RankOrder[] {
	const change = planChange(state)
	if (!change) return endRound(state)
	state.phase = 'preparing'
	state.change = change
	return askAll(state, { type: 'prepare', fence: state.fence, change })
}

function onPromised(
	state: CoordinatorState,
	rank: number,
	incarnation: number,
): RankOrder[] {
	if (state.phase !== 'preparing') return []
	// It restarted since it was asked: its promise is not the one needed.
	if (state.learned[rank]?.incarnation !== incarnation)
		return abortChange(state)
	state.open.delete(rank)
	if (state.open.size > 0) return []
	state.phase = 'committing'
	return askAll(state, commitOf(state))
}

function onDecided(
	state: CoordinatorState,
	rank: number,
	changeFence: number,
): RankOrder[] {
	switch (state.phase) {
		case 'closing':
			if (state.learned[rank]?.promised?.fence !== changeFence) return []
			return onClosed(state, rank)
		case 'committing':
		case 'aborting':
			if (changeFence !== state.change?.fence) return []
			state.open.delete(rank)
			if (state.open.size > 0) return []
			if (state.phase === 'committing') state.finished++
			return endRound(state)
		case 'idle':
		case 'learning':
		case 'preparing':
			return []
		default:
			return state.phase satisfies never
	}
}

function onClosed(state: CoordinatorState, rank: number): RankOrder[] {
	state.open.delete(rank)
	if (state.open.size > 0) return []
	// What was just finished may not be in force yet: learn again.
	return startRound(state, state.fence, state.wanted, state.lead)
}

function onRefused(
	state: CoordinatorState,
	request: RankRequest['type'],
): RankOrder[] {
	switch (state.phase) {
		case 'preparing':
			return request === 'prepare' ? abortChange(state) : []
		case 'learning':
		case 'closing':
		case 'aborting':
		case 'committing':
			// Another coordinator went on with a higher fence; it will finish.
			return state.highest > state.fence ? endRound(state) : []
		case 'idle':
			return []
		default:
			return state.phase satisfies never
	}
}

function abortChange(state: CoordinatorState): RankOrder[] {
	state.phase = 'aborting'
	return askAll(state, abortOf(state))
}

function endRound(state: CoordinatorState): RankOrder[] {
	state.phase = 'idle'
	state.open.clear()
	return []
}

function commitOf(state: CoordinatorState): RankRequest {
	return { type: 'commit', fence: state.fence, change: state.change! }
}

function abortOf(state: CoordinatorState): RankRequest {
	const changeFence = state.change?.fence ?? state.fence
	return { type: 'abort', fence: state.fence, changeFence }
}

function askAll(state: CoordinatorState, req: RankRequest): RankOrder[] {
	state.open.clear()
	for (let rank = 0; rank < state.size; rank++) state.open.add(rank)
	return askOpen(state, req)
}

function askOpen(state: CoordinatorState, req: RankRequest): RankOrder[] {
	return [...state.open].map(rank => ({ rank, req }))
}
