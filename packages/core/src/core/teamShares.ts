/**
 * Shares the room of one level of urgency among teams. Answers a team that asks for much
 * more than the others, at one entry or at all: it is cut first, and the callers of the
 * others are served as if it asked for its part. Entries exchange only the rates of the
 * teams that stand out, so a report is small whatever the number of teams.
 */

import { FLOOR_SHARE } from '../internal.ts'

/** Demand of a team, over one entry or over all. */
export interface TeamDemand {
	readonly team: string
	/** Requests that arrive per second. */
	readonly perSecond: number
}

/** Demand of the teams at one level of urgency, over all entries. */
export interface TeamsDemand {
	/** Requests of all teams that arrive per second. */
	readonly perSecond: number
	/** Number of teams that send requests. */
	readonly teams: number
	readonly prominent: readonly TeamDemand[]
}

/** Fractions of requests admitted by team. */
export interface TeamShares {
	/** Fraction of the teams that are not listed. */
	readonly others: number
	/** Fractions of the teams that are cut, by name. */
	readonly cut: ReadonlyMap<string, number>
}

/** Maximum number of teams that an entry reports for each level. */
export const MAX_PROMINENT_TEAMS = 8
/** A team stands out from this multiple of the even part on; noise stays below. */
const PROMINENT_FACTOR = 2

/** Returns the teams whose demand stands out, largest first. */
export function listProminentTeams(
	demands: readonly TeamDemand[],
): TeamDemand[] {
	const total = demands.reduce((sum, { perSecond }) => sum + perSecond, 0)
	const threshold = (PROMINENT_FACTOR * total) / demands.length
	return demands
		.filter(({ perSecond }) => perSecond > threshold)
		.sort((a, b) => b.perSecond - a.perSecond || compare(a.team, b.team))
		.slice(0, MAX_PROMINENT_TEAMS)
}

function compare(a: string, b: string): number {
	if (a === b) return 0
	return a < b ? -1 : 1
}

/**
 * Shares a level that is admitted with `fraction`. While that is below 1, teams over the
 * even part are limited to the same rate (max-min fairness), but each keeps a third of
 * the level's fraction. Without such teams, all get `fraction`.
 */
export function shareAmongTeams(
	fraction: number,
	demand: TeamsDemand,
): TeamShares {
	const even = demand.perSecond / Math.max(1, demand.teams)
	const large = demand.prominent.filter(({ perSecond }) => perSecond > even)
	if (fraction >= 1 || fraction <= 0 || large.length === 0)
		return { others: fraction, cut: new Map() }
	const largeSum = large.reduce((sum, { perSecond }) => sum + perSecond, 0)
	// The demand of a team may be newer than that of its level.
	const othersSum = Math.max(0, demand.perSecond - largeSum)
	const room = fraction * (othersSum + largeSum)
	const othersCount = Math.max(1, demand.teams - large.length)
	const demands = large.map(({ perSecond }) => ({
		least: FLOOR_SHARE * fraction * perSecond,
		most: perSecond,
		count: 1,
	}))
	const ofOther = {
		least: 0,
		most: othersSum / othersCount,
		count: othersCount,
	}
	const limit = findRateLimit(room, [...demands, ofOther])
	const cut = new Map<string, number>()
	let left = room
	for (const [index, { team, perSecond }] of large.entries()) {
		const served = servedAt(limit, demands[index]!)
		left -= served
		cut.set(team, served / perSecond)
	}
	const others = othersSum > 0 ? Math.min(1, left / othersSum) : fraction
	return { others, cut }
}

/** Bounds on the rate at which each of `count` teams is served, requests per second. */
interface RateBounds {
	readonly least: number
	readonly most: number
	readonly count: number
}

function servedAt(limit: number, { least, most }: RateBounds): number {
	return Math.min(most, Math.max(least, limit))
}

/**
 * Returns the rate limit of each team at which all of them use `room`, requests per
 * second. The sum grows linearly between the bounds, so it is interpolated there.
 */
function findRateLimit(room: number, teams: readonly RateBounds[]): number {
	const sumAt = (limit: number) =>
		teams.reduce((sum, one) => sum + one.count * servedAt(limit, one), 0)
	const bounds = teams
		.flatMap(({ least, most }) => [least, most])
		.sort((a, b) => a - b)
	let low = 0
	let sumLow = sumAt(low)
	for (const high of bounds) {
		const sumHigh = sumAt(high)
		if (sumHigh >= room && sumHigh > sumLow)
			return low + ((high - low) * (room - sumLow)) / (sumHigh - sumLow)
		low = high
		sumLow = sumHigh
	}
	return low
}
