/**
 * Protocol between a group's coordinator and its ranks, as pure transition functions. It
 * guarantees that all ranks use the same expert map in every step. DESIGN.md gives the
 * reasons behind the rules; the tests explore these functions exhaustively.
 *
 * Fences are unique: no two coordinators ever use the same number.
 */

/** A map change that all ranks apply at the same step. */
export interface MapChange {
	/** Fence of the round that prepared the change; identifies the change. */
	readonly fence: number
	readonly generation: number
	/** First step with the new map. */
	readonly step: number
	readonly mapId: string
}

/** State of a rank. Engines that check fences keep it themselves. */
export interface RankState {
	/** Increases when the rank loses its state. */
	incarnation: number
	/** Whether the rank belongs to a generation; only then may it begin steps. */
	joined: boolean
	generation: number
	/** Last step begun. */
	step: number
	/** Map of the last step begun. */
	mapId: string
	/** Highest fence received; requests with a lower one are refused. */
	fence: number
	/** Highest fence of a change committed or aborted at this rank. */
	decidedFence: number
	/** Prepared change without a decision; its step does not begin before that. */
	promised: MapChange | undefined
	/** Last committed change; kept after it has taken effect, until the next commit. */
	committed: MapChange | undefined
}

/** A request from a coordinator to a rank. */
export type RankRequest =
	| { readonly type: 'learn'; readonly fence: number }
	| {
			readonly type: 'prepare'
			readonly fence: number
			readonly change: MapChange
	  }
	| {
			readonly type: 'commit'
			readonly fence: number
			readonly change: MapChange
	  }
	| {
			readonly type: 'abort'
			readonly fence: number
			/** Fence of the change that is aborted. */
			readonly changeFence: number
	  }

/** A reply from a rank to a coordinator. */
export type RankReply =
	| {
			readonly type: 'learned'
			readonly fence: number
			readonly incarnation: number
			readonly joined: boolean
			readonly generation: number
			readonly step: number
			readonly mapId: string
			readonly promised: MapChange | undefined
			readonly committed: MapChange | undefined
	  }
	| {
			readonly type: 'promised'
			readonly fence: number
			readonly incarnation: number
	  }
	| {
			readonly type: 'decided'
			readonly fence: number
			readonly changeFence: number
			readonly incarnation: number
	  }
	| {
			readonly type: 'refused'
			/** Fence of the refused request. */
			readonly fence: number
			readonly request: RankRequest['type']
			/** Highest fence that the rank has received. */
			readonly highest: number
	  }

/** Creates a rank that belongs to the first generation. */
export function createRank(mapId: string): RankState {
	return {
		incarnation: 0,
		joined: true,
		generation: 1,
		step: 0,
		mapId,
		fence: 0,
		decidedFence: 0,
		promised: undefined,
		committed: undefined,
	}
}

/** Creates a rank that has lost its state; it begins no step before it rejoins. */
export function createRestartedRank(incarnation: number): RankState {
	return {
		...createRank(''),
		incarnation,
		joined: false,
		generation: 0,
	}
}

/** Applies a request to `rank`, which is changed, and returns the reply. */
export function handleRankRequest(
	rank: RankState,
	req: RankRequest,
): RankReply {
	if (req.fence < rank.fence) return refuse(rank, req)
	switch (req.type) {
		case 'learn':
			rank.fence = req.fence
			return describeRank(rank)
		case 'prepare':
			return prepare(rank, req)
		case 'commit':
			return commit(rank, req)
		case 'abort':
			return abort(rank, req)
		default:
			return req satisfies never
	}
}

/** Whether the rank may begin its next step. */
export function mayBeginStep(rank: RankState): boolean {
	if (!rank.joined) return false
	return !rank.promised || rank.promised.step > rank.step + 1
}

/** Begins the next step, with the committed map if its step is reached. */
export function beginStep(rank: RankState): void {
	rank.step++
	const { committed } = rank
	if (committed && committed.step <= rank.step) rank.mapId = committed.mapId
}

function describeRank(rank: RankState): RankReply {
	const { fence, incarnation, joined, generation, step } = rank
	const { mapId, promised, committed } = rank
	return {
		type: 'learned',
		fence,
		incarnation,
		joined,
		generation,
		step,
		mapId,
		promised,
		committed,
	}
}

function refuse(rank: RankState, req: RankRequest): RankReply {
	return {
		type: 'refused',
		fence: req.fence,
		request: req.type,
		highest: rank.fence,
	}
}

function prepare(
	rank: RankState,
	req: Extract<RankRequest, { type: 'prepare' }>,
): RankReply {
	const { change } = req
	const { incarnation, fence } = rank
	const isDuplicate = rank.promised?.fence === change.fence
	if (isDuplicate) return { type: 'promised', fence, incarnation }
	const isLearned = req.fence === rank.fence
	const hasBegun = change.step <= rank.step
	// Only one change at a time is pending within a generation. A new generation takes
	// over a change that the old one could not begin because a rank was missing.
	const isChangePending =
		change.generation === rank.generation &&
		rank.committed !== undefined &&
		rank.committed.step > rank.step
	const isDecided = change.fence <= rank.decidedFence
	if (!isLearned || hasBegun || rank.promised || isChangePending || isDecided)
		return refuse(rank, req)
	rank.promised = change
	return { type: 'promised', fence, incarnation }
}

function commit(
	rank: RankState,
	req: Extract<RankRequest, { type: 'commit' }>,
): RankReply {
	const { change } = req
	const isCommitted = rank.committed?.fence === change.fence
	// Only a rank with the promise may commit: one that lost its promise in a restart
	// does not take part in the change.
	if (!isCommitted && rank.promised?.fence !== change.fence)
		return refuse(rank, req)
	rank.fence = req.fence
	if (!isCommitted) {
		rank.promised = undefined
		rank.committed = change
		rank.decidedFence = change.fence
		joinGeneration(rank, change)
	}
	return replyDecided(rank, req.fence, change.fence)
}

function abort(
	rank: RankState,
	req: Extract<RankRequest, { type: 'abort' }>,
): RankReply {
	if (rank.committed?.fence === req.changeFence) return refuse(rank, req)
	rank.fence = req.fence
	if (rank.promised?.fence === req.changeFence) rank.promised = undefined
	rank.decidedFence = Math.max(rank.decidedFence, req.changeFence)
	return replyDecided(rank, req.fence, req.changeFence)
}

/** Joins a change's generation, which begins at the same step on all of its ranks. */
function joinGeneration(rank: RankState, change: MapChange): void {
	if (rank.joined && rank.generation === change.generation) return
	rank.joined = true
	rank.generation = change.generation
	rank.step = change.step - 1
}

function replyDecided(
	rank: RankState,
	fence: number,
	changeFence: number,
): RankReply {
	const { incarnation } = rank
	return { type: 'decided', fence, changeFence, incarnation }
}
