/**
 * Allocates the slots that become free to requests of several urgencies. Answers a load
 * that exceeds the room: a burst of less urgent requests must not displace the urgent
 * ones, and a burst of urgent ones must not shut out the others. All entries allocate
 * from the sum of their reports, so they admit alike, as if they shared one queue.
 */

import type { Urgency } from '../internal.ts'
import { MIN_PER_SECOND } from '../internal.ts'

/** Demand for a service at one level of urgency, over all entries. */
export interface LevelDemand {
	readonly urgency: Urgency
	/** Requests that arrive per second. */
	readonly perSecond: number
	/** Expected growth for which less urgent requests leave room, requests per second. */
	readonly growthPerSecond: number
}

/** Fraction of the requests of one level that entries admit. */
export interface LevelShare {
	readonly urgency: Urgency
	/** At least 1 if all are admitted; 0 or less if the group has no room. */
	readonly fraction: number
}

/**
 * Part of the fraction that all requests would get alike that each level keeps: callers
 * of the least urgent requests are served at least a third as often as all.
 */
export const FLOOR_SHARE = 1 / 3

/**
 * Returns the fractions admitted while `slotsPerSecond` slots become free, most urgent
 * level first. Each level gets the floor, then the rest goes to the levels in order of
 * urgency. For a single level the result is that of `admittedFraction`.
 */
export function allocateRoom(
	slotsPerSecond: number,
	levels: readonly LevelDemand[],
): LevelShare[] {
	const sorted = scaleDemand(levels)
	const total = sumDemand(sorted)
	const alike = slotsPerSecond / total
	const needed = total + sumGrowth(sorted.slice(0, -1))
	const isUniform = alike <= 0 || slotsPerSecond >= needed
	if (isUniform)
		return sorted.map(({ urgency }) => ({ urgency, fraction: alike }))
	return allocateByUrgency(slotsPerSecond, sorted, total)
}

function allocateByUrgency(
	slotsPerSecond: number,
	sorted: readonly LevelDemand[],
	total: number,
): LevelShare[] {
	const floor = FLOOR_SHARE * Math.min(1, slotsPerSecond / total)
	let left = slotsPerSecond
	let above = 1
	return sorted.map(({ urgency, perSecond, growthPerSecond }, index) => {
		const floorsBelow = floor * sumDemand(sorted.slice(index + 1))
		const available = (left - floorsBelow) / perSecond
		const fraction = Math.min(above, Math.max(floor, available))
		above = fraction
		left -= fraction * perSecond + growthPerSecond
		return { urgency, fraction }
	})
}

/** Sorts the levels, and scales very low demand up to the minimum that is assumed. */
function scaleDemand(levels: readonly LevelDemand[]): LevelDemand[] {
	const sum = sumDemand(levels)
	const total = Math.max(sum, MIN_PER_SECOND)
	return [...levels]
		.sort((a, b) => a.urgency - b.urgency)
		.map(level => {
			const share = sum > 0 ? level.perSecond / sum : 1 / levels.length
			return { ...level, perSecond: total * share }
		})
}

function sumDemand(levels: readonly LevelDemand[]): number {
	return levels.reduce((sum, { perSecond }) => sum + perSecond, 0)
}

function sumGrowth(levels: readonly LevelDemand[]): number {
	return levels.reduce((sum, { growthPerSecond }) => sum + growthPerSecond, 0)
}

/**
 * Returns the fraction admitted at one level. A level without known demand is allocated
 * room for the first requests that arrive, at the expense of the less urgent ones.
 */
export function allocateLevel(
	slotsPerSecond: number,
	levels: readonly LevelDemand[],
	urgency: Urgency,
): number {
	const isKnown = levels.some(level => level.urgency === urgency)
	const first = { urgency, perSecond: MIN_PER_SECOND, growthPerSecond: 0 }
	const shares = allocateRoom(
		slotsPerSecond,
		isKnown ? levels : [...levels, first],
	)
	return shares.find(share => share.urgency === urgency)!.fraction
}
