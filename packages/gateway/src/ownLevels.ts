/** Measures this entry's demand for a service by urgency and team, for its peers. */

import type { TeamDemand, Urgency } from '@juniperhook/core'
import { listProminentTeams } from '@juniperhook/core'
import type { RequestFlow } from './flowMeter.ts'
import type { AdmissionCandidate } from './waiter.ts'

/**
 * Time constant of the smoothing of team rates, ms: an entry gets few requests of each
 * team, and a team that sends more must stand out from their fluctuations.
 */
const TEAM_SMOOTHING_MS = 4_000
/** Rate from which a team counts as active, per second: one request some seconds ago. */
const MIN_TEAM_RATE = 0.05
/** Demand below which a level is forgotten, requests per second. */
const MIN_LEVEL_RATE = 0.05
const SECOND_MS = 1_000

/** Demand of this entry at one level of urgency. */
export interface OwnLevel {
	/** Arrivals since the last update, by team. */
	readonly arrived: Map<string, number>
	/** Smoothed arrivals per second. */
	perSecond: number
	/** Smoothed arrivals per second, by team; without anonymous requests. */
	readonly byTeam: Map<string, number>
}

/** Demand of this entry for a service, by urgency. */
export type OwnLevels = Map<Urgency, OwnLevel>

/** Counts an arriving request. */
export function countLevelArrival(
	own: OwnLevels,
	{ urgency, team }: AdmissionCandidate,
): void {
	const level = own.get(urgency) ?? {
		arrived: new Map(),
		perSecond: 0,
		byTeam: new Map(),
	}
	own.set(urgency, level)
	level.arrived.set(team, (level.arrived.get(team) ?? 0) + 1)
}

/** Updates the rates of this entry; `decay` is that of the service's total rate. */
export function updateOwnLevels(
	own: OwnLevels,
	elapsedMs: number,
	decay: number,
): void {
	const teamDecay = Math.exp(-elapsedMs / TEAM_SMOOTHING_MS)
	const toRate = (count: number) => (count * SECOND_MS) / elapsedMs
	for (const [urgency, level] of own) {
		const { arrived, byTeam } = level
		const count = [...arrived.values()].reduce((sum, one) => sum + one, 0)
		level.perSecond = level.perSecond * decay + toRate(count) * (1 - decay)
		const teams = new Set([...byTeam.keys(), ...arrived.keys()])
		// Anonymous requests belong to no team.
		teams.delete('')
		for (const team of teams) {
			const added = toRate(arrived.get(team) ?? 0) * (1 - teamDecay)
			const rate = (byTeam.get(team) ?? 0) * teamDecay + added
			if (rate >= MIN_TEAM_RATE) byTeam.set(team, rate)
			else byTeam.delete(team)
		}
		arrived.clear()
		if (level.perSecond < MIN_LEVEL_RATE && byTeam.size === 0)
			own.delete(urgency)
	}
}

/** The part of a flow that states demand by urgency and team. */
export type LevelFlow = Pick<RequestFlow, 'byUrgency' | 'byTeam' | 'teams'>

/**
 * Returns this entry's demand by urgency, for its peers, and while the service rations by
 * prominent team as well: teams are compared only then, and their names are most of the
 * bytes.
 */
export function describeLevels(
	own: OwnLevels,
	isRationing: boolean,
): LevelFlow {
	const byUrgency = Object.fromEntries(
		[...own].map(([urgency, level]) => [urgency, round(level.perSecond)]),
	)
	if (!isRationing) return { byUrgency }
	const byTeam: Record<string, Record<string, number>> = {}
	const teams: Record<string, number> = {}
	for (const [urgency, level] of own) {
		teams[urgency] = level.byTeam.size
		const prominent = listProminent(level).map(
			({ team, perSecond }) => [team, round(perSecond)] as const,
		)
		if (prominent.length > 0) byTeam[urgency] = Object.fromEntries(prominent)
	}
	return { byUrgency, byTeam, teams }
}

/** Returns the teams of a level that stand out. */
export function listProminent({ byTeam }: OwnLevel): TeamDemand[] {
	return listProminentTeams(
		[...byTeam].map(([team, perSecond]) => ({ team, perSecond })),
	)
}

function round(value: number): number {
	return Math.round(value * 10) / 10
}
