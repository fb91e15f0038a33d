/**
 * Which change of the map a coordinator makes, from what all ranks have told of
 * themselves.
 */

import type { MapChange, RankReply } from '../internal.ts'

/** What a rank has told of itself. */
export type LearnedReply = Extract<RankReply, { type: 'learned' }>

/** What a coordinator is about. */
export type MapCoordinatorPhase =
	| 'idle'
	/** Waits for n of n answers to learn. */
	| 'learning'
	/** Closes what earlier coordinators left open. */
	| 'closing'
	/** Waits for n of n promises. */
	| 'preparing'
	/** Tells a commit until every rank has it. */
	| 'committing'
	/** Tells an abort until every rank has it. */
	| 'aborting'

/** A coordinator of one group. */
export interface MapCoordinatorState {
	/** Number of ranks. */
	readonly size: number
	phase: MapCoordinatorPhase
	fence: number
	/** Map that is to come into force; `undefined` when only to recover. */
	targetMapId: string | undefined
	/** Steps between the last one begun and the change. */
	lead: number
	/** Map of a group none of whose ranks remembers one. */
	readonly initialMapId: string
	readonly learned: (LearnedReply | undefined)[]
	/** Ranks that have yet to answer the open request. */
	readonly open: Set<number>
	change: MapChange | undefined
	/** Highest fence heard of in a refusal. */
	highest: number
	/** Changes committed with every rank's acknowledgement. */
	finished: number
}

/** The change to make now: a new generation first, then the wanted map. */
export function planMapChange(
	state: MapCoordinatorState,
): MapChange | undefined {
	const all = listLearnedReplies(state)
	const { fence, lead } = state
	const generation = Math.max(...all.map(rank => rank.generation))
	const step = Math.max(...all.map(lastPlannedStep)) + lead
	const current = findCurrentMap(state, all)
	const whole = all.every(rank => rank.joined && rank.generation === generation)
	if (!whole) return { fence, generation: generation + 1, step, mapId: current }
	const pending = all.some(
		rank => rank.committed && rank.committed.step > rank.step,
	)
	if (
		pending ||
		state.targetMapId === undefined ||
		state.targetMapId === current
	)
		return undefined
	return { fence, generation, step, mapId: state.targetMapId }
}

function lastPlannedStep(rank: LearnedReply): number {
	return Math.max(rank.step, rank.committed?.step ?? 0)
}

/** The newest committed map that a member remembers. */
function findCurrentMap(
	state: MapCoordinatorState,
	all: readonly LearnedReply[],
): string {
	let newest: MapChange | undefined
	for (const { committed } of all)
		if (committed && committed.fence > (newest?.fence ?? 0)) newest = committed
	if (newest) return newest.mapId
	return all.find(rank => rank.joined)?.mapId ?? state.initialMapId
}

/** What was told, by those that have answered. */
export function listLearnedReplies(state: MapCoordinatorState): LearnedReply[] {
	return state.learned.filter(learned => learned !== undefined)
}
