/** Determines a coordinator's next map change from the states that all ranks reported. */

import type { MapChange, RankReply } from '../internal.ts'

/** A rank's reply to a `learn` request: its state. */
export type LearnedReply = Extract<RankReply, { type: 'learned' }>

/** Phase of a coordinator. */
export type MapCoordinatorPhase =
	| 'idle'
	/** Waits for the states of all ranks. */
	| 'learning'
	/** Commits or aborts changes that earlier coordinators left undecided. */
	| 'closing'
	/** Waits for the promises of all ranks. */
	| 'preparing'
	/** Sends a commit until every rank has acknowledged it. */
	| 'committing'
	/** Sends an abort until every rank has acknowledged it. */
	| 'aborting'

/** State of the coordinator of one group. */
export interface MapCoordinatorState {
	/** Number of ranks. */
	readonly size: number
	phase: MapCoordinatorPhase
	fence: number
	/** Map to activate; `undefined` in a round that only recovers. */
	targetMapId: string | undefined
	/** Number of steps from the last one begun to the change. */
	lead: number
	/** Map of a group in which no rank remembers one. */
	readonly initialMapId: string
	/** Reported state of each rank; `undefined` until it has replied. */
	readonly learned: (LearnedReply | undefined)[]
	/** Ranks that have not replied to the current request yet. */
	readonly pendingRanks: Set<number>
	change: MapChange | undefined
	/** Highest fence reported in a refusal. */
	highestRefusedFence: number
	/** Number of changes whose commit every rank has acknowledged. */
	finished: number
}

/**
 * Returns the next change, if one is needed. A group that is not complete gets a new
 * generation with its current map first, and the target map in a later change.
 */
export function planMapChange(
	state: MapCoordinatorState,
): MapChange | undefined {
	const reported = listLearnedReplies(state)
	const { fence, lead } = state
	const generation = Math.max(...reported.map(rank => rank.generation))
	const step = Math.max(...reported.map(lastPlannedStep)) + lead
	const current = findCurrentMap(state, reported)
	const isComplete = reported.every(
		rank => rank.joined && rank.generation === generation,
	)
	if (!isComplete)
		return { fence, generation: generation + 1, step, mapId: current }
	const isChangePending = reported.some(
		rank => rank.committed && rank.committed.step > rank.step,
	)
	if (
		isChangePending ||
		state.targetMapId === undefined ||
		state.targetMapId === current
	)
		return undefined
	return { fence, generation, step, mapId: state.targetMapId }
}

function lastPlannedStep(rank: LearnedReply): number {
	return Math.max(rank.step, rank.committed?.step ?? 0)
}

/** Returns the newest committed map that any rank remembers. */
function findCurrentMap(
	state: MapCoordinatorState,
	reported: readonly LearnedReply[],
): string {
	let newest: MapChange | undefined
	for (const { committed } of reported)
		if (committed && committed.fence > (newest?.fence ?? 0)) newest = committed
	if (newest) return newest.mapId
	return reported.find(rank => rank.joined)?.mapId ?? state.initialMapId
}

/** Lists the states of the ranks that have replied. */
export function listLearnedReplies(state: MapCoordinatorState): LearnedReply[] {
	return state.learned.filter(learned => learned !== undefined)
}
