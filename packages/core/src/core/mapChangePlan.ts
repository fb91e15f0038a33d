/**
 * Which change of the map a coordinator makes, from what all ranks have told of
 * themselves.
 */

import type { MapChange, RankReply } from '../internal.ts'

/** What a rank has told of itself. */
export type Learned = Extract<RankReply, { type: 'learned' }>

/** What a coordinator is about. */
export type CoordinatorPhase =
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
export interface CoordinatorState {
	/** Number of ranks. */
	readonly size: number
	phase: CoordinatorPhase
	fence: number
	/** Map that is to come into force; `undefined` when only to recover. */
	wanted: string | undefined
	/** Steps between the last one begun and the change. */
	lead: number
	/** Map of a group none of whose ranks remembers one. */
	readonly firstMap: string
	readonly learned: (Learned | undefined)[]
	/** Ranks that have yet to answer the open request. */
	readonly open: Set<number>
	change: MapChange | undefined
	/** Highest fence heard of in a refusal. */
	highest: number
	/** Changes committed with every rank's acknowledgement. */
	finished: number
}

/** The change to make now: a new generation first, then the wanted map. */
export function planChange(state: CoordinatorState): MapChange | undefined {
	const all = listLearned(state)
	const { fence, lead } = state
	const generation = Math.max(...all.map(rank => rank.generation))
	const step = Math.max(...all.map(lastPlannedStep)) + lead
	const current = findCurrentMap(state, all)
	const whole = all.every(rank => rank.joined && rank.generation === generation)
	if (!whole) return { fence, generation: generation + 1, step, mapId: current }
	const pending = all.some(
		rank => rank.committed && rank.committed.step > rank.step,
	)
	if (pending || state.wanted === undefined || state.wanted === current)
		return undefined
	return { fence, generation, step, mapId: state.wanted }
}

function lastPlannedStep(rank: Learned): number {
	return Math.max(rank.step, rank.committed?.step ?? 0)
}

/** The newest committed map that a member remembers. */
function findCurrentMap(
	state: CoordinatorState,
	all: readonly Learned[],
): string {
	let newest: MapChange | undefined
	for (const { committed } of all)
		if (committed && committed.fence > (newest?.fence ?? 0)) newest = committed
	if (newest) return newest.mapId
	return all.find(rank => rank.joined)?.mapId ?? state.firstMap
}

/** What was told, by those that have answered. */
export function listLearned(state: CoordinatorState): Learned[] {
	return state.learned.filter(learned => learned !== undefined)
}
