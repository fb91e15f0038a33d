/**
 * One change of a lock-step group's expert map, as a pure state machine.
 *
 * Engines keep the state that must outlive a coordinator: the map, what is
 * prepared and armed, a hold, and the highest fence seen. An order may be lost,
 * doubled, or carried out seconds later. What makes a change safe then:
 *
 * - Each round has a fence of its own, higher than any before. The anchor
 *   (rank 0) sees it before anything else is ordered: from then on no order of
 *   an older round can hold or release the group there.
 * - The group is held at the anchor before the first rank is armed, and is let
 *   go only after every rank has confirmed that it is armed alike, or before
 *   any was asked to be. A coordinator that dies in between leaves the group
 *   held, not split.
 * - A newer round that finds the group held finishes the change. If a rank
 *   refuses, the next one disarms every rank under its own fence before it lets
 *   go. A round that finds the anchor armed and not held waits: the change was
 *   decided and only has not begun yet.
 * - Every order carries the group's epoch, so none outlives a new forming.
 *
 * PROOF.md has the argument; the tests explore these functions.
 */

/** Rank that decides for its group: fences and holds are kept there. */
export const ANCHOR_RANK = 0

/** Experts by set and by rank. */
export type GroupMap = readonly (readonly (readonly number[])[])[]

/** What a coordinator may ask of an engine. */
export type EngineOrder =
	| {
			readonly type: 'prepare'
			readonly version: number
			readonly fence: number
			readonly epoch: number
			readonly map: GroupMap
	  }
	| {
			readonly type: 'arm'
			readonly version: number
			readonly step: number
			readonly fence: number
			readonly epoch: number
	  }
	| {
			readonly type: 'disarm'
			readonly version: number
			readonly fence: number
			readonly epoch: number
	  }
	| {
			readonly type: 'hold' | 'go'
			readonly step: number
			readonly fence: number
			readonly epoch: number
	  }
	/** Only asks whether the rank can be reached. */
	| { readonly type: 'probe'; readonly epoch: number }

/** How an engine took an order. */
export type OrderAnswer =
	/** Begun, or it holds already. */
	| 'done'
	/** It does not fit the engine's state. */
	| 'conflict'
	/** A higher fence has been seen. */
	| 'fenced'
	/** No answer: it may be carried out at any later time. */
	| 'silent'

/** A rank as its engine reports it. */
export interface RankReport {
	readonly group: string
	readonly rank: number
	readonly size: number
	readonly epoch: number
	/** Whether the group runs. */
	readonly open: boolean
	/** Last pass begun. */
	readonly step: number
	/** Version of the map in use. */
	readonly map: number
	/** Version whose experts have been copied. */
	readonly prepared: number | undefined
	readonly armed:
		| { readonly version: number; readonly step: number }
		| undefined
	/** Pass that is not begun before a `go`. */
	readonly held: number | undefined
	readonly running: number
	readonly waiting: number
	/** Over 1: the engine is slow. */
	readonly pace: number
	/** When the engine started, Unix ms, if it tells. */
	readonly bornAt?: number | undefined
}

/** Where a round stands. */
export type RoundPhase =
	/** The anchor is to see the round's fence. */
	| 'fencing'
	/** The anchor's state under the fence is to be read. */
	| 'inspecting'
	/** A decided change of an older round has not begun yet. */
	| 'waiting'
	| 'preparing'
	| 'holding'
	/** Every rank is to answer once more before the first is armed. */
	| 'probing'
	| 'arming'
	/** A change that a rank refused is taken back. */
	| 'disarming'
	| 'releasing'
	/** The map is to be seen in use. */
	| 'settling'
	| 'done'
	/** Given up; nothing of it can take effect any more. */
	| 'failed'

/** One change in the making. */
export interface GroupRound {
	readonly fence: number
	readonly epoch: number
	readonly ranks: number
	/** Version of the new map; of an older round's while that is finished. */
	version: number
	/** Absent for a round that only settles what an older one left. */
	map: GroupMap | undefined
	phase: RoundPhase
	/** First pass with the new map. */
	step: number
	/** Ranks that have confirmed the present phase. */
	readonly confirmed: Set<number>
	/** Whether it is finishing an older round's change. */
	inherited: boolean
	/** Takes back an older round's change instead of finishing it. */
	readonly undo: boolean
	/** Why it failed; empty unless it has. */
	reason: string
}

/** Version of the map that the round with this fence makes. */
export function versionOfFence(fence: number): number {
	return fence * 2
}

/** The fence whose round made a version. */
export function fenceOfVersion(version: number): number {
	return Math.floor(version / 2)
}

/** A version that no map ever has. */
export function unusedVersion(fence: number): number {
	return fence * 2 + 1
}

/** Why a round failed that the next one has to take back. */
export const REFUSED_TO_ARM = 'a rank refuses to be armed'

/** Begins a round; the fence must be unique and above all that were seen. */
export function createRound(
	fence: number,
	epoch: number,
	ranks: number,
	map: GroupMap | undefined,
	undo = false,
): GroupRound {
	return {
		fence,
		epoch,
		ranks,
		version: versionOfFence(fence),
		map,
		phase: 'fencing',
		step: 0,
		confirmed: new Set(),
		inherited: false,
		undo,
		reason: '',
	}
}

/** Whether nothing more is to be done. */
export function isRoundOver(round: GroupRound): boolean {
	return round.phase === 'done' || round.phase === 'failed'
}

/** An order for a rank. */
export interface PendingOrder {
	readonly rank: number
	readonly order: EngineOrder
}

/** Orders that the present phase still needs, unanswered ones again. */
export function listPendingOrders(round: GroupRound): PendingOrder[] {
	const { fence, epoch, version, step, map } = round
	switch (round.phase) {
		case 'fencing':
			// A version that no map ever has: nothing happens but the fence,
			// however late the order is carried out.
			return atAnchor({
				type: 'disarm',
				version: unusedVersion(fence),
				fence,
				epoch,
			})
		case 'preparing':
			if (!map) return []
			return atRest(round, { type: 'prepare', version, fence, epoch, map })
		case 'holding':
			// Until a report of the anchor has told which pass is next.
			if (step === 0) return []
			return atAnchor({ type: 'hold', step, fence, epoch })
		case 'probing':
			return atRest(round, { type: 'probe', epoch })
		case 'arming':
			return atRest(round, { type: 'arm', version, step, fence, epoch })
		case 'disarming':
			return atRest(round, { type: 'disarm', version, fence, epoch })
		case 'releasing':
			return atAnchor({ type: 'go', step, fence, epoch })
		case 'inspecting':
		case 'waiting':
		case 'settling':
		case 'done':
		case 'failed':
			return []
		default:
			return round.phase satisfies never
	}
}

function atAnchor(order: EngineOrder): PendingOrder[] {
	return [{ rank: ANCHOR_RANK, order }]
}

function atRest(round: GroupRound, order: EngineOrder): PendingOrder[] {
	const wanted: PendingOrder[] = []
	for (let rank = 0; rank < round.ranks; rank++)
		if (!round.confirmed.has(rank)) wanted.push({ rank, order })
	return wanted
}
