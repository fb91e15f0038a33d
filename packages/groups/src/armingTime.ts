/**
 * How long before a change of the map its pass is chosen, and how long a rank may
 * leave a probe unanswered: both follow from how long arming was seen to take.
 */

/**
 * A rank that does not answer a probe for this long cannot be armed, ms: so much,
 * and so many trips to all ranks and back, for those that share one small link.
 */
const PROBE_MS = 60
const PROBE_TRIPS = 3
/** Where the lead is longer, a probe may take this part of it. */
const PROBE_SHARE = 0.7
/**
 * Time from the hold until all ranks are armed, ms; passes meanwhile run. It
 * covers a hold by way of a VM that has stopped, and the trips of the probe and
 * of the order to arm, so that streams do not pause for it.
 */
const LEAD_MS = 120
const LEAD_TRIPS = 2
/**
 * Where arming was seen to take longer, so many times that: a group of 192 ranks
 * whose lead was too short stood still for 0.11 s at each change of its map.
 */
const LEAD_TIMES = 1.25
/** What is kept at each round of the longest arming that was seen. */
const KEPT = 0.8
/**
 * After a probe that was given up, arming is expected to take so many times what
 * that probe had: of 40 ranks on links that lose 2 in 100 packets, some answer
 * comes a retransmission late in nearly every round.
 */
const MISSED_TIMES = 2
/** Longer than this no arming is waited for, ms: demand turns meanwhile. */
const MOST_MS = 800

/** Time from the hold until all ranks are armed that is allowed for, ms. */
export function leadMsOf(armingMs: number, tripMs: number): number {
	return Math.max(LEAD_MS + LEAD_TRIPS * tripMs, LEAD_TIMES * armingMs)
}

/** Time until a probe that some rank has not answered is given up, ms. */
export function probeLimitMs(armingMs: number, tripMs: number): number {
	const leadMs = leadMsOf(armingMs, tripMs)
	return Math.max(PROBE_MS + PROBE_TRIPS * tripMs, PROBE_SHARE * leadMs)
}

/** What arming is expected to take after one that took `tookMs`, ms. */
export function noteArmed(armingMs: number, tookMs: number): number {
	return Math.min(MOST_MS, Math.max(tookMs, armingMs * KEPT))
}

/** The same after a probe that was given up when its limit had passed. */
export function noteMissed(armingMs: number, limitMs: number): number {
	return Math.min(MOST_MS, Math.max(armingMs, MISSED_TIMES * limitMs))
}
