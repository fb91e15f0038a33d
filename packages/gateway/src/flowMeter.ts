/** Request rates of a service: those of this entry, and those that peers report. */

import type { GroupTraffic } from '@juniperhook/core'
import type { ServiceLevels } from './levelDemand.ts'

/** Demand of a peer's callers, as the peer reported it. */
export interface PeerDemand {
	readonly dataCentre: string
	/** Request rates, by service. */
	readonly flows: Readonly<Record<string, RequestFlow>>
	/** When it was received, ms; its returns are counted from then on. */
	readonly receivedAt?: number | undefined
}

/** Request rates of a service at one entry, per second, smoothed. */
export interface RequestFlow {
	/** Requests that arrive. */
	readonly come: number
	/** Requests that end at a server. */
	readonly end: number
	/** Arrivals by urgency; only where room is allocated by urgency. */
	readonly byUrgency?: Readonly<Record<string, number>> | undefined
	/**
	 * Arrivals of the teams that stand out, by urgency and team; only where room is
	 * allocated by urgency.
	 */
	readonly byTeam?:
		| Readonly<Record<string, Readonly<Record<string, number>>>>
		| undefined
	/** Number of active teams, by urgency; only where room is allocated by urgency. */
	readonly teams?: Readonly<Record<string, number>> | undefined
	/**
	 * Refused callers that were told to come back, by the quarter second from now on in
	 * which they are due; only where their places are kept.
	 */
	readonly returns?: readonly number[] | undefined
}

/** Counts the requests of a service at this entry. */
export interface FlowMeter {
	/** Arrivals and ends since the rates were last updated. */
	arrived: number
	finished: number
	/** Sends that are not part of the last report to peers. */
	unreportedSends: number
	flow: RequestFlow
	/** Rates over all entries; undefined without peers. */
	traffic: GroupTraffic | undefined
	/** Least fraction of requests that one of its groups admitted since the last update. */
	minAdmittedFraction: number
	/** Demand by urgency and team; undefined unless room is allocated by urgency. */
	levels: ServiceLevels | undefined
	/** Refused callers of all entries that are due back, a second; their room is kept. */
	returnsPerSecond: number
}

/** Creates the meter of a service without requests. */
export function createFlowMeter(): FlowMeter {
	return {
		arrived: 0,
		finished: 0,
		unreportedSends: 0,
		flow: { come: 0, end: 0 },
		traffic: undefined,
		minAdmittedFraction: 1,
		levels: undefined,
		returnsPerSecond: 0,
	}
}
