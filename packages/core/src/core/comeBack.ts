/** When a refused caller should come back. */

import type { Random } from '../internal.ts'

/**
 * A group that broke needs about this long until it serves again, ms: the
 * crashes of engines that were played lasted from 2 to 5 s.
 */
const CLOSED_MS = 2_600
/** A full service has room for another request after about this time, ms. */
const FULL_MS = 1_500
/** Callers come back spread over this part of the time. */
const SPREAD = 0.3
/** Callers heed a time up to a third of what they have left. */
const HEEDED_SHARE = 0.32
/** The shortest time told, ms. */
const MIN_MS = 50

/** Time to tell a caller with `leftMs` until its deadline, ms. */
export function chooseComeBack(
	closed: boolean,
	leftMs: number,
	random: Random,
): number {
	const usual = closed ? CLOSED_MS : FULL_MS
	const spread = usual * (1 + SPREAD * (random() - 0.5))
	return Math.max(MIN_MS, Math.min(spread, leftMs * HEEDED_SHARE))
}
