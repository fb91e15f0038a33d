/**
 * The coordinator's side of the map protocol: learn from every rank, finish or
 * give up what is open, then prepare one change and commit it with n of n
 * promises. It may be paused, doubled or killed at any point.
 */

import type {
	LearnedReply,
	MapChange,
	MapCoordinatorState,
	RankReply,
	RankRequest,
} from '../internal.ts'
import { listLearnedReplies, planMapChange } from '../internal.ts'

/** A request to one rank. */
export interface AddressedRequest {
	readonly rank: number
	readonly req: RankRequest
}

/** Makes an idle coordinator. */
export function createMapCoordinator(
	size: number,
	firstMap: string,
): MapCoordinatorState {
	return {
		size,
		phase: 'idle',
		fence: 0,
		targetMapId: undefined,
		lead: 1,
		initialMapId: firstMap,
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
	state: MapCoordinatorState,
	id: number,
	ids: number,
): number {
	const above = Math.max(state.fence, state.highest)
	const round = Math.floor(above / ids) + 1
	return round * ids + id
}

/** Begins a round. */
export function startMapRound(
	state: MapCoordinatorState,
	fence: number,
	wanted: string | undefined,
	lead: number,
): AddressedRequest[] {
	state.phase = 'learning'
	state.fence = fence
	state.targetMapId = wanted
	state.lead = lead
	state.change = undefined
	state.learned.fill(undefined)
	return askAll(state, { type: 'learn', fence })
}

/** Takes a rank's reply; late, doubled and foreign ones are harmless. */
export function handleRankReply(
	state: MapCoordinatorState,
	rank: number,
	reply: RankReply,
): AddressedRequest[] {
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
export function handleRoundTimeout(
	state: MapCoordinatorState,
): AddressedRequest[] {
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
	state: MapCoordinatorState,
	rank: number,
	reply: LearnedReply,
): AddressedRequest[] {
	if (state.phase !== 'learning') return []
	state.learned[rank] = reply
	state.open.delete(rank)
	if (state.open.size > 0) return []
	return closeOpenChanges(state)
}

/** A change that any rank saw committed is finished; others are given up. */
function closeOpenChanges(state: MapCoordinatorState): AddressedRequest[] {
	const all = listLearnedReplies(state)
	state.phase = 'closing'
	state.open.clear()
	const orders: AddressedRequest[] = []
	for (const [rank, { promised }] of all.entries()) {
		if (!promised) continue
		state.open.add(rank)
		orders.push({ rank, req: closingOf(state, all, promised) })
	}
	return orders.length > 0 ? orders : prepareChange(state)
}

function closingOf(
	state: MapCoordinatorState,
	all: readonly LearnedReply[],
	promised: MapChange,
): RankRequest {
	const { fence } = state
	const changeFence = promised.fence
	const seen = all.some(other => other.committed?.fence === changeFence)
	if (seen) return { type: 'commit', fence, change: promised }
	return { type: 'abort', fence, changeFence }
}

function prepareChange(state: MapCoordinatorState): AddressedRequest[] {
	const change = planMapChange(state)
	if (!change) return endRound(state)
	state.phase = 'preparing'
	state.change = change
	return askAll(state, { type: 'prepare', fence: state.fence, change })
}

function onPromised(
	state: MapCoordinatorState,
	rank: number,
	incarnation: number,
): AddressedRequest[] {
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
	state: MapCoordinatorState,
	rank: number,
	changeFence: number,
): AddressedRequest[] {
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

function onClosed(
	state: MapCoordinatorState,
	rank: number,
): AddressedRequest[] {
	state.open.delete(rank)
	if (state.open.size > 0) return []
	// What was just finished may not be in force yet: learn again.
	return startMapRound(state, state.fence, state.targetMapId, state.lead)
}

function onRefused(
	state: MapCoordinatorState,
	request: RankRequest['type'],
): AddressedRequest[] {
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

function abortChange(state: MapCoordinatorState): AddressedRequest[] {
	state.phase = 'aborting'
	return askAll(state, abortOf(state))
}

function endRound(state: MapCoordinatorState): AddressedRequest[] {
	state.phase = 'idle'
	state.open.clear()
	return []
}

function commitOf(state: MapCoordinatorState): RankRequest {
	return { type: 'commit', fence: state.fence, change: state.change! }
}

function abortOf(state: MapCoordinatorState): RankRequest {
	const changeFence = state.change?.fence ?? state.fence
	return { type: 'abort', fence: state.fence, changeFence }
}

function askAll(
	state: MapCoordinatorState,
	req: RankRequest,
): AddressedRequest[] {
	state.open.clear()
	for (let rank = 0; rank < state.size; rank++) state.open.add(rank)
	return askOpen(state, req)
}

function askOpen(
	state: MapCoordinatorState,
	req: RankRequest,
): AddressedRequest[] {
	return [...state.open].map(rank => ({ rank, req }))
}
