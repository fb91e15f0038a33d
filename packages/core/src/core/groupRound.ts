/**
 * State machine for one change of a lock-step group's expert map, without I/O.
 *
 * Engines keep the state that must survive a coordinator crash: the map in use, the
 * prepared and armed versions, a hold, and the highest fence seen. An order may be
 * lost, duplicated, or executed seconds later. The following rules make a change safe
 * under these conditions:
 *
 * - Each round has a unique fence, higher than all earlier ones. The anchor (rank 0)
 *   receives it before any other order is sent. From then on no order of an older
 *   round can hold or release the group.
 * - The group is held at the anchor before the first rank is armed. It is released
 *   only after every rank has confirmed that it is armed with the same change, or
 *   before any arm order was sent. A coordinator that crashes in between leaves the
 *   group held, not split between two maps.
 * - A newer round that finds the group held completes the change. If a rank refuses,
 *   the next round disarms every rank under its own fence before it releases the
 *   group. A round that finds the anchor armed but not held waits, because the change
 *   is decided and has only not taken effect yet.
 * - Every order carries the group's epoch, so no order takes effect after the group
 *   has re-formed.
 *
 * PROOF.md contains the proof; the tests explore these functions exhaustively.
 */

/** Rank that keeps the fence and the hold for its whole group. */
export const ANCHOR_RANK = 0

/** Experts of each set by rank. */
export type GroupMap = readonly (readonly (readonly number[])[])[]

/** An order from a coordinator to an engine. */
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
	/** Checks that the rank is reachable, without any effect. */
	| { readonly type: 'probe'; readonly epoch: number }

/** An engine's answer to an order. */
export type OrderAnswer =
	/** Executed, or in effect already. */
	| 'done'
	/** Refused, as it is incompatible with the engine's state. */
	| 'conflict'
	/** Refused, as the engine has seen a higher fence. */
	| 'fenced'
	/** No answer; the order may be executed at any later time. */
	| 'silent'

/** State of a rank as reported by its engine. */
export interface RankReport {
	readonly group: string
	readonly rank: number
	readonly size: number
	readonly epoch: number
	/** Whether the group is formed and accepts requests. */
	readonly open: boolean
	/** Number of the last pass that has begun. */
	readonly step: number
	/** Version of the map in use. */
	readonly map: number
	/** Version of the map whose experts have been copied. */
	readonly prepared: number | undefined
	readonly armed:
		| { readonly version: number; readonly step: number }
		| undefined
	/** Pass that does not begin before a `go` order. */
	readonly held: number | undefined
	readonly running: number
	readonly waiting: number
	/** Slowdown factor of the engine; 1 is its usual speed. */
	readonly pace: number
	/** Start time of the engine, Unix ms, if reported. */
	readonly bornAt?: number | undefined
}

/** Phase of a round. */
export type RoundPhase =
	/** Sends the round's fence to the anchor. */
	| 'fencing'
	/** Awaits a report of the anchor that was made under the fence. */
	| 'inspecting'
	/** Waits until a decided change of an older round takes effect. */
	| 'waiting'
	/** Every rank copies the experts of the new map. */
	| 'preparing'
	/** Holds the group before the pass of the change. */
	| 'holding'
	/** Checks that every rank is reachable before the first is armed. */
	| 'probing'
	/** Arms every rank with the change. */
	| 'arming'
	/** Rolls back a change that a rank refused. */
	| 'disarming'
	/** Releases the held group. */
	| 'releasing'
	/** Waits until the anchor reports the new map in use. */
	| 'settling'
	| 'done'
	/** Abandoned; nothing of it can take effect any more. */
	| 'failed'

/** State of one round, which makes one change of the map. */
export interface GroupRound {
	readonly fence: number
	readonly epoch: number
	readonly ranks: number
	/**
	 * Version of the new map, or of the older round's map while its change is completed;
	 * 0 for a release without a change.
	 */
	version: number
	/** The new map; absent in a round that only completes an older round's change. */
	map: GroupMap | undefined
	phase: RoundPhase
	/** First pass with the new map; 0 until it is chosen. */
	step: number
	/** Ranks that have confirmed the order of the present phase. */
	readonly confirmed: Set<number>
	/** Whether the round completes or rolls back an older round's change. */
	inherited: boolean
	/** Whether to roll back an older round's change instead of completing it. */
	readonly undo: boolean
	/** Reason for a failure; empty unless the phase is `failed`. */
	reason: string
}

/** Returns the version of the map that the round with this fence creates. */
export function versionOfFence(fence: number): number {
	return fence * 2
}

/** Returns the fence of the round that created a map version. */
export function fenceOfVersion(version: number): number {
	return Math.floor(version / 2)
}

/** Returns a version that no map ever has. */
export function unusedVersion(fence: number): number {
	return fence * 2 + 1
}

/** Failure reason of a round whose change the next round must roll back. */
export const REFUSED_TO_ARM = 'a rank refuses to be armed'

/** Creates a round; the fence must be unique and higher than all fences seen. */
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

/** Whether the round has completed or failed. */
export function isRoundOver(round: GroupRound): boolean {
	return round.phase === 'done' || round.phase === 'failed'
}

/** An order to be sent to a rank. */
export interface PendingOrder {
	readonly rank: number
	readonly order: EngineOrder
}

/** Lists the unconfirmed orders of the present phase, including those already sent. */
export function listPendingOrders(round: GroupRound): PendingOrder[] {
	const { fence, epoch, version, step, map } = round
	switch (round.phase) {
		case 'fencing':
			// The version belongs to no map, so the order only raises the fence, however
			// late it is executed.
			return forAnchor({
				type: 'disarm',
				version: unusedVersion(fence),
				fence,
				epoch,
			})
		case 'preparing':
			if (!map) return []
			return forUnconfirmed(round, {
				type: 'prepare',
				version,
				fence,
				epoch,
				map,
			})
		case 'holding':
			// The pass is chosen with the next report of the anchor.
			if (step === 0) return []
			return forAnchor({ type: 'hold', step, fence, epoch })
		case 'probing':
			return forUnconfirmed(round, { type: 'probe', epoch })
		case 'arming':
			return forUnconfirmed(round, { type: 'arm', version, step, fence, epoch })
		case 'disarming':
			return forUnconfirmed(round, { type: 'disarm', version, fence, epoch })
		case 'releasing':
			return forAnchor({ type: 'go', step, fence, epoch })
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

function forAnchor(order: EngineOrder): PendingOrder[] {
	return [{ rank: ANCHOR_RANK, order }]
}

function forUnconfirmed(round: GroupRound, order: EngineOrder): PendingOrder[] {
	const pending: PendingOrder[] = []
	for (let rank = 0; rank < round.ranks; rank++)
		if (!round.confirmed.has(rank)) pending.push({ rank, order })
	return pending
}
