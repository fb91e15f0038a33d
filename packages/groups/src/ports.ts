/** Interfaces of the platform on which this package runs. */

import type {
	EngineOrder,
	ExpertLayout,
	OrderAnswer,
	PassCost,
	RankReport,
} from '@juniperhook/core'

/** Cumulative counts of a rank's expert choices since its engine started. */
export interface RankCounts {
	readonly epoch: number
	/** One count for each expert, set by set. */
	readonly counts: readonly number[]
	/** Start time of the engine, Unix ms, if reported. */
	readonly bornAt?: number | undefined
}

/** Load of a rank. */
export interface RankLoad {
	readonly running: number
	readonly waiting: number
	/** Slowdown factor of the engine; 1 is its usual speed. */
	readonly pace: number
}

/** Expert choices of a rank's requests since the last sample, and its load. */
export interface RankSample extends RankLoad {
	readonly epoch: number
	/** One count for each expert, set by set; empty in the first sample. */
	readonly chosen: readonly number[]
}

/** Experts whose weights a rank has loaded. */
export interface RankPlacement {
	readonly epoch: number
	/** Version of the map in use. */
	readonly map: number
	/** Experts of each set. */
	readonly experts: readonly (readonly number[])[]
}

/**
 * Calls to engines by their address, `IP:port`. Reads resolve to undefined if the engine
 * does not answer.
 */
export interface EnginePort {
	report(address: string): Promise<RankReport | undefined>
	counts(address: string): Promise<RankCounts | undefined>
	placement(address: string): Promise<RankPlacement | undefined>
	order(address: string, order: EngineOrder): Promise<OrderAnswer>
}

/** A listed rank of a group. */
export interface GroupMember {
	readonly rank: number
	/** Address of its engine, `IP:port`. */
	readonly engine: string
}

/** Published properties of a group. */
export interface PublishedGroup {
	readonly members: readonly GroupMember[]
	readonly layout: ExpertLayout
	readonly linkMbps: number
	/** Cost of a pass as a function of the requests of its ranks. */
	readonly cost: PassCost
	/** Number of requests that an engine runs at once. */
	readonly slots: number
	/** Longest allowed pause between the events of a stream, ms; 0 if not set. */
	readonly maxPauseMs: number
}

/** Source of published groups. */
export interface GroupSource {
	/** Reads a service's group by its name; undefined if it is not published. */
	read(service: string, name: string): Promise<PublishedGroup | undefined>
}
