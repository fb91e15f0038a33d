/**
 * One expert map per step: the protocol between a group's coordinator and its
 * ranks, as pure transition functions. DESIGN.md says why each rule stands;
 * the tests explore these very functions exhaustively.
 *
 * Fences are unique: no two coordinators ever use the same number.
 */

/** A change of the map that all ranks make at one step. */
export interface MapChange {
	/** Fence of the coordinator that prepared it; names the change. */
	readonly fence: number
	readonly generation: number
	/** First step with the new map. */
	readonly step: number
	readonly mapId: string
}

/** What a rank holds. Engines that check fences hold it themselves. */
export interface RankState {
	/** Rises when the rank loses what it held. */
	incarnation: number
	/** Whether it is a member of a generation, and so may step. */
	joined: boolean
	generation: number
	/** Last step begun. */
	step: number
	/** Map of the last step begun. */
	mapId: string
	/** Highest fence heard of; lower ones are refused. */
	fence: number
	/** Highest fence of a change that was decided here. */
	decidedFence: number
	/** In doubt: its step is not begun before the decision. */
	promised: MapChange | undefined
	/** Last commit; kept after it is applied, until the next one. */
	committed: MapChange | undefined
}

/** From a coordinator to a rank. */
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
			/** Fence of the change that is given up. */
			readonly changeFence: number
	  }

/** From a rank to a coordinator. */
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
			/** Fence of the request that is refused. */
			readonly fence: number
			readonly request: RankRequest['type']
			/** Highest fence that the rank has heard of. */
			readonly highest: number
	  }

/** A rank that is a member of the first generation. */
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

/** A rank that has lost what it held; it may not step before it is let in. */
export function createRestartedRank(incarnation: number): RankState {
	return {
		...createRank(''),
		incarnation,
		joined: false,
		generation: 0,
	}
}

/** Lets a rank take a request; changes `rank` and gives its reply. */
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

/** Begins the next step, with a new map if one is due. */
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
	const doubled = rank.promised?.fence === change.fence
	if (doubled) return { type: 'promised', fence, incarnation }
	const learned = req.fence === rank.fence
	const begun = change.step <= rank.step
	// Within a generation one change at a time; a new generation takes over
	// what the old one could not begin for want of a rank.
	const pending =
		change.generation === rank.generation &&
		rank.committed !== undefined &&
		rank.committed.step > rank.step
	const decided = change.fence <= rank.decidedFence
	if (!learned || begun || rank.promised || pending || decided)
		return refuse(rank, req)
	rank.promised = change
	return { type: 'promised', fence, incarnation }
}

function commit(
	rank: RankState,
	req: Extract<RankRequest, { type: 'commit' }>,
): RankReply {
	const { change } = req
	const known = rank.committed?.fence === change.fence
	// Only a rank that promised may commit: one that lost its promise in a
	// restart is no part of what was decided.
	if (!known && rank.promised?.fence !== change.fence) return refuse(rank, req)
	rank.fence = req.fence
	if (!known) {
		rank.promised = undefined
		rank.committed = change
		rank.decidedFence = change.fence
		joinGeneration(rank, change)
	}
	return decided(rank, req.fence, change.fence)
}

function abort(
	rank: RankState,
	req: Extract<RankRequest, { type: 'abort' }>,
): RankReply {
	if (rank.committed?.fence === req.changeFence) return refuse(rank, req)
	rank.fence = req.fence
	if (rank.promised?.fence === req.changeFence) rank.promised = undefined
	rank.decidedFence = Math.max(rank.decidedFence, req.changeFence)
	return decided(rank, req.fence, req.changeFence)
}

/** A new generation begins at a step barrier that all its ranks share. */
function joinGeneration(rank: RankState, change: MapChange): void {
	if (rank.joined && rank.generation === change.generation) return
	rank.joined = true
	rank.generation = change.generation
	rank.step = change.step - 1
}

function decided(
	rank: RankState,
	fence: number,
	changeFence: number,
): RankReply {
	const { incarnation } = rank
	return { type: 'decided', fence, changeFence, incarnation }
}
