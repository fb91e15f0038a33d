/**
 * Bounds on a published expert layout. Memory and time of a coordinator grow with its
 * numbers, and whoever publishes them may be wrong by any amount.
 */

import type { ExpertLayout } from '../types/traffic.ts'

// Each is several times that of the largest models and groups in use.
const MAX_SETS = 512
const MAX_EXPERTS = 8_192
const MAX_TOTAL_EXPERTS = 65_536
const MAX_RANKS = 4_096
const MAX_EXPERT_MB = 1_000_000

/**
 * Returns a layout by which a map can be planned: with at most a place for each expert on
 * a rank. Undefined if a number is out of range.
 */
export function toUsableLayout(layout: ExpertLayout): ExpertLayout | undefined {
	const { sets, experts, places, maxNew, expertMb, expertShare } = layout
	const isUsable =
		isUsableSize(sets, 1, experts) &&
		isCount(places, Number.MAX_SAFE_INTEGER) &&
		maxNew >= 0 &&
		expertMb >= 0 &&
		expertMb <= MAX_EXPERT_MB &&
		expertShare >= 0 &&
		expertShare <= 1
	if (!isUsable) return undefined
	return {
		...layout,
		places: Math.min(places, experts),
		maxNew: Math.min(Math.floor(maxNew), experts),
	}
}

/** Whether a map of this size can be held in memory. */
export function isUsableSize(
	sets: number,
	ranks: number,
	experts: number,
): boolean {
	return (
		isCount(sets, MAX_SETS) &&
		isCount(ranks, MAX_RANKS) &&
		isCount(experts, MAX_EXPERTS) &&
		sets * experts <= MAX_TOTAL_EXPERTS
	)
}

/**
 * Whether a map that ranks report can be planned from: it holds every expert of each set,
 * none twice on a rank and no more than its places.
 */
export function isUsableMap(
	map: readonly (readonly (readonly number[])[])[],
	{ sets, experts, places }: ExpertLayout,
): boolean {
	if (map.length !== sets) return false
	const isExpert = (expert: number) =>
		Number.isInteger(expert) && expert >= 0 && expert < experts
	return map.every(placement => {
		const held = new Set<number>()
		for (const own of placement) {
			if (own.length > places || new Set(own).size < own.length) return false
			if (!own.every(isExpert)) return false
			for (const expert of own) held.add(expert)
		}
		return held.size === experts
	})
}

function isCount(value: number, max: number): boolean {
	return Number.isInteger(value) && value >= 1 && value <= max
}
