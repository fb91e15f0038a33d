/**
 * Where the experts of a lock-step group should lie, for demand that turns
 * within seconds: a few changes of the present map that take load off the most
 * loaded ranks, within what one change may copy.
 */

import type { ExpertLayout } from '../types/traffic.ts'
import type { SetPlacement } from './placementSearch.ts'
import { createSearch, maxOf, readPlacement } from './placementSearch.ts'
import { applyChange, findBestChange } from './placementStep.ts'

export type { SetPlacement } from './placementSearch.ts'

/** Steps of a search for each rank of a set. */
export const STEPS_PER_RANK = 4

/** What planning a set gives. */
export interface SetPlan {
	readonly placement: SetPlacement
	/** Load of the most loaded rank over the mean, before and after. */
	readonly before: number
	readonly after: number
	/** Most new experts on one rank. */
	readonly mostNew: number
	/** New experts on all ranks. */
	readonly copies: number
}

/**
 * Plans one set, with as few copies as bring the most loaded rank down to
 * `target` times the mean. `share` holds each expert's part of the demand,
 * `paces` how slow each rank is.
 */
export function planSet(
	placement: SetPlacement,
	share: Float64Array,
	layout: ExpertLayout,
	paces: readonly number[] = [],
	target = 1,
): SetPlan {
	const search = createSearch(placement, share, layout, paces)
	const before = maxOf(search.loads)
	const most = search.ranks * STEPS_PER_RANK
	for (let step = 0; step < most; step++) {
		if (maxOf(search.loads) <= target) break
		const change = findBestChange(search)
		if (!change) break
		applyChange(search, change)
	}
	return {
		placement: readPlacement(search),
		before,
		after: maxOf(search.loads),
		mostNew: Math.max(...search.newCopies),
		copies: search.newCopies.reduce((sum, fresh) => sum + fresh, 0),
	}
}

/** Load of the most loaded rank over the mean; many times a second. */
export function computeSetSkew(
	placement: SetPlacement,
	share: Float64Array,
	layout: Pick<ExpertLayout, 'experts'>,
	paces: readonly number[] = [],
): number {
	const copies = new Int16Array(layout.experts)
	for (const own of placement) for (const expert of own) copies[expert]!++
	let most = 0
	for (const [rank, own] of placement.entries()) {
		let load = 0
		for (const expert of own) load += share[expert]! / copies[expert]!
		most = Math.max(most, load * (paces[rank] ?? 1))
	}
	return most * placement.length
}

/** Time of a pass over that of one with balanced ranks. */
export function passFactor(
	skews: readonly number[],
	expertShare: number,
): number {
	const mean = skews.reduce((sum, skew) => sum + skew, 0) / skews.length
	return 1 - expertShare + expertShare * mean
}

/** The map that a group forms with: experts dealt in turn. */
export function distributeRoundRobin(
	ranks: number,
	layout: Pick<ExpertLayout, 'experts'>,
): number[][] {
	const byRank: number[][] = Array.from({ length: ranks }, () => [])
	for (let expert = 0; expert < layout.experts; expert++)
		byRank[expert % ranks]!.push(expert)
	return byRank
}
