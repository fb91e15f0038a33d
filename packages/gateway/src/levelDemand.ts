/**
 * Merges the demand for a service by urgency and team over all entries, to allocate room
 * by it. Exists only for services that do so.
 */

import type {
	DemandTrend,
	LevelDemand,
	TeamsDemand,
	Urgency,
} from '@juniperhook/core'
import {
	allocateLevel,
	createDemandTrend,
	expectedGrowth,
	shareAmongTeams,
	updateDemandTrend,
} from '@juniperhook/core'
import type { LevelFlow, OwnLevels } from './ownLevels.ts'
import { listProminent } from './ownLevels.ts'
import type { Rationing } from './rationing.ts'
import type { AdmissionCandidate } from './waiter.ts'

/** Demand for a service by urgency, of this entry and of all. */
export interface ServiceLevels {
	readonly own: OwnLevels
	/** Demand over all entries. */
	demands: LevelDemand[]
	/** Demand of the teams over all entries, by urgency. */
	teams: ReadonlyMap<Urgency, TeamsDemand>
	readonly trends: Map<Urgency, DemandTrend>
	/** Slots of a group that became free when it last decided, per second. */
	slotsPerSecond: number
	/** The current period of rationing, if any. */
	rationing: Rationing | undefined
}

/** Creates the state of a service without arrivals. */
export function createServiceLevels(): ServiceLevels {
	return {
		own: new Map(),
		demands: [],
		teams: new Map(),
		trends: new Map(),
		slotsPerSecond: 0,
		rationing: undefined,
	}
}

/** Totals of a service over all entries. */
export interface ServiceTotals {
	readonly arrivalsPerSecond: number
	/** Factor that scales the sum over reporting peers to all peers. */
	readonly peerScale: number
	/** Mean time that a stream holds its slot, ms; 0 if unknown. */
	readonly streamMs: number
}

/**
 * Merges this entry's demand with that of its peers. Demand that a peer does not report
 * by urgency, as an older version does, counts as distributed like the rest.
 */
export function mergeLevels(
	levels: ServiceLevels,
	peers: readonly LevelFlow[],
	{ arrivalsPerSecond, peerScale, streamMs }: ServiceTotals,
	elapsedMs: number,
): void {
	const rates = new Map<Urgency, number>()
	for (const [urgency, { perSecond }] of levels.own)
		add(rates, urgency, perSecond)
	for (const { byUrgency = {} } of peers)
		for (const [urgency, perSecond] of Object.entries(byUrgency))
			add(rates, Number(urgency), peerScale * perSecond)
	const known = [...rates.values()].reduce((sum, rate) => sum + rate, 0)
	const scale = (rate: number) =>
		known > 0 ? arrivalsPerSecond * (rate / known) : 0
	for (const urgency of levels.trends.keys())
		if (!rates.has(urgency)) levels.trends.delete(urgency)
	levels.demands = [...rates].map(([urgency, rate]) => {
		const perSecond = scale(rate)
		const trend = levels.trends.get(urgency) ?? createDemandTrend()
		levels.trends.set(urgency, trend)
		updateDemandTrend(trend, perSecond, elapsedMs)
		const growthPerSecond = expectedGrowth(trend, streamMs)
		return { urgency, perSecond, growthPerSecond }
	})
	levels.teams = new Map(
		levels.demands.map(({ urgency, perSecond }) => [
			urgency,
			mergeTeams(levels, peers, peerScale, urgency, perSecond),
		]),
	)
}

function mergeTeams(
	{ own }: ServiceLevels,
	peers: readonly LevelFlow[],
	peerScale: number,
	urgency: Urgency,
	perSecond: number,
): TeamsDemand {
	const level = own.get(urgency)
	const rates = new Map<string, number>()
	for (const one of level ? listProminent(level) : [])
		add(rates, one.team, one.perSecond)
	let teams = level?.byTeam.size ?? 0
	for (const peer of peers) {
		teams = Math.max(teams, peer.teams?.[urgency] ?? 0)
		for (const [team, rate] of Object.entries(peer.byTeam?.[urgency] ?? {}))
			add(rates, team, peerScale * rate)
	}
	const even = perSecond / Math.max(1, teams)
	const prominent = [...rates]
		.map(([team, rate]) => ({ team, perSecond: rate }))
		.filter(one => one.perSecond > even)
	return { perSecond, teams, prominent }
}

function add<K>(rates: Map<K, number>, key: K, rate: number): void {
	rates.set(key, (rates.get(key) ?? 0) + rate)
}

/** Returns the fraction of the requests like `candidate` that entries admit. */
export function levelFraction(
	{ demands, teams }: ServiceLevels,
	slotsPerSecond: number,
	{ urgency, team }: AdmissionCandidate,
): number {
	const fraction = allocateLevel(slotsPerSecond, demands, urgency)
	const level = teams.get(urgency)
	if (!level || level.prominent.length === 0) return fraction
	const { others, cut } = shareAmongTeams(fraction, level)
	return cut.get(team) ?? others
}
