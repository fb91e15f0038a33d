/**
 * The coordinator's side of the map protocol. A round learns the state of every rank,
 * commits or aborts undecided changes, then prepares one change and commits it once all
 * ranks have promised it. The process may be paused or killed at any point, and several
 * coordinators may be active at once.
 */

import type {
	LearnedReply,
	MapChange,
	MapCoordinatorState,
	RankReply,
	RankRequest,
} from '../internal.ts'
import { listLearnedReplies, planMapChange } from '../internal.ts'

/** A request addressed to one rank. */
export interface AddressedRequest {
	readonly rank: number
	readonly req: RankRequest
}

/** Creates an idle coordinator. */
export function createMapCoordinator(
	size: number,
	initialMapId: string,
): MapCoordinatorState {
	return {
		size,
		phase: 'idle',
		fence: 0,
		targetMapId: undefined,
		lead: 1,
		initialMapId,
		learned: new Array(size).fill(undefined),
		pendingRanks: new Set(),
		change: undefined,
		highestRefusedFence: 0,
		finished: 0,
	}
}

/**
 * Returns the next fence of coordinator `id` out of `ids` coordinators, higher than all
 * fences it has seen. No two coordinators use the same fence.
 */
export function nextFence(
	state: MapCoordinatorState,
	id: number,
	ids: number,
): number {
	const highestSeen = Math.max(state.fence, state.highestRefusedFence)
	const round = Math.floor(highestSeen / ids) + 1
	return round * ids + id
}

/** Starts a round and returns the requests to send. */
export function startMapRound(
	state: MapCoordinatorState,
	fence: number,
	targetMapId: string | undefined,
	lead: number,
): AddressedRequest[] {
	state.phase = 'learning'
	state.fence = fence
	state.targetMapId = targetMapId
	state.lead = lead
	state.change = undefined
	state.learned.fill(undefined)
	return sendToAll(state, { type: 'learn', fence })
}

/**
 * Handles a rank's reply and returns the requests to send. Late replies, duplicates and
 * replies to other coordinators are ignored.
 */
export function handleRankReply(
	state: MapCoordinatorState,
	rank: number,
	reply: RankReply,
): AddressedRequest[] {
	if (reply.type === 'refused')
		state.highestRefusedFence = Math.max(
			state.highestRefusedFence,
			reply.highest,
		)
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
 * Handles a time-out of the current request and returns the requests to send. A change
 * that is only prepared is aborted; a decided change is sent again.
 */
export function handleRoundTimeout(
	state: MapCoordinatorState,
): AddressedRequest[] {
	switch (state.phase) {
		case 'idle':
			return []
		case 'learning':
			return sendToPending(state, { type: 'learn', fence: state.fence })
		case 'closing':
			return closeUndecidedChanges(state)
		case 'preparing':
			return abortChange(state)
		case 'committing':
			return sendToPending(state, createCommit(state))
		case 'aborting':
			return sendToPending(state, createAbort(state))
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
	state.pendingRanks.delete(rank)
	if (state.pendingRanks.size > 0) return []
	return closeUndecidedChanges(state)
}

/** Commits each undecided change that any rank has committed, and aborts the others. */
function closeUndecidedChanges(state: MapCoordinatorState): AddressedRequest[] {
	const reported = listLearnedReplies(state)
	state.phase = 'closing'
	state.pendingRanks.clear()
	const requests: AddressedRequest[] = []
	for (const [rank, { promised }] of reported.entries()) {
		if (!promised) continue
		state.pendingRanks.add(rank)
		requests.push({
			rank,
			req: createClosingRequest(state, reported, promised),
		})
	}
	return requests.length > 0 ? requests : prepareChange(state)
}

function createClosingRequest(
	state: MapCoordinatorState,
	reported: readonly LearnedReply[],
	promised: MapChange,
): RankRequest {
	const { fence } = state
	const changeFence = promised.fence
	const isCommitted = reported.some(
		other => other.committed?.fence === changeFence,
	)
	if (isCommitted) return { type: 'commit', fence, change: promised }
	return { type: 'abort', fence, changeFence }
}

function prepareChange(state: MapCoordinatorState): AddressedRequest[] {
	const change = planMapChange(state)
	if (!change) return endRound(state)
	state.phase = 'preparing'
	state.change = change
	return sendToAll(state, { type: 'prepare', fence: state.fence, change })
}

function onPromised(
	state: MapCoordinatorState,
	rank: number,
	incarnation: number,
): AddressedRequest[] {
	if (state.phase !== 'preparing') return []
	// The rank has restarted since its state was learned: this promise does not count.
	if (state.learned[rank]?.incarnation !== incarnation)
		return abortChange(state)
	state.pendingRanks.delete(rank)
	if (state.pendingRanks.size > 0) return []
	state.phase = 'committing'
	return sendToAll(state, createCommit(state))
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
			state.pendingRanks.delete(rank)
			if (state.pendingRanks.size > 0) return []
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
	state.pendingRanks.delete(rank)
	if (state.pendingRanks.size > 0) return []
	// The changes just completed may not be in effect yet: the states are learned again.
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
			// Another coordinator has a higher fence and will complete the change.
			return state.highestRefusedFence > state.fence ? endRound(state) : []
		case 'idle':
			return []
		default:
			return state.phase satisfies never
	}
}

function abortChange(state: MapCoordinatorState): AddressedRequest[] {
	state.phase = 'aborting'
	return sendToAll(state, createAbort(state))
}

function endRound(state: MapCoordinatorState): AddressedRequest[] {
	state.phase = 'idle'
	state.pendingRanks.clear()
	return []
}

function createCommit(state: MapCoordinatorState): RankRequest {
	return { type: 'commit', fence: state.fence, change: state.change! }
}

function createAbort(state: MapCoordinatorState): RankRequest {
	const changeFence = state.change?.fence ?? state.fence
	return { type: 'abort', fence: state.fence, changeFence }
}

function sendToAll(
	state: MapCoordinatorState,
	req: RankRequest,
): AddressedRequest[] {
	state.pendingRanks.clear()
	for (let rank = 0; rank < state.size; rank++) state.pendingRanks.add(rank)
	return sendToPending(state, req)
}

function sendToPending(
	state: MapCoordinatorState,
	req: RankRequest,
): AddressedRequest[] {
	return [...state.pendingRanks].map(rank => ({ rank, req }))
}
