/** What this package needs from the platform that it runs on. */

import type {
	EngineOrder,
	ExpertLayout,
	OrderAnswer,
	PassCost,
	RankReport,
} from '@juniperhook/core'

/** How often the requests of a rank have chosen each expert since its start. */
export interface RankCounts {
	readonly epoch: number
	/** Set by set, one number an expert. */
	readonly counts: readonly number[]
	/** When the engine started, Unix ms, if it tells. */
	readonly bornAt?: number | undefined
}

/** How busy a rank is. */
export interface RankBusy {
	readonly running: number
	readonly waiting: number
	/** Over 1: the engine is slow. */
	readonly pace: number
}

/** What a rank's requests chose since the last sample, and how busy it is. */
export interface RankSample extends RankBusy {
	readonly epoch: number
	/** Set by set, one number an expert; empty for a first sample. */
	readonly chosen: readonly number[]
}

/** The experts that a rank holds. */
export interface RankPlacement {
	readonly epoch: number
	/** Version of the map in use. */
	readonly map: number
	/** Experts by set. */
	readonly experts: readonly (readonly number[])[]
}

/** Calls to engines, by `IP:port`; undefined when no answer came. */
export interface EnginePort {
	report(address: string): Promise<RankReport | undefined>
	counts(address: string): Promise<RankCounts | undefined>
	placement(address: string): Promise<RankPlacement | undefined>
	order(address: string, order: EngineOrder): Promise<OrderAnswer>
}

/** One rank of a group, as listed. */
export interface GroupMember {
	readonly rank: number
	/** `IP:port` of its engine. */
	readonly engine: string
}

/** A group as published. */
export interface PublishedGroup {
	readonly members: readonly GroupMember[]
	readonly layout: ExpertLayout
	readonly linkMbps: number
	/** How a pass grows with the requests of its ranks. */
	readonly cost: PassCost
	/** Requests that an engine runs at once. */
	readonly slots: number
	/** Longest pause between events that is in time, ms; 0 if unstated. */
	readonly maxPauseMs: number
}

/** Where groups are published. */
export interface GroupSource {
	/** The group called `name` of a service; undefined when it is not known. */
	read(service: string, name: string): Promise<PublishedGroup | undefined>
}
