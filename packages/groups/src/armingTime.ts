/**
 * Lead of a map change, which is the time allowed from the hold until all ranks are
 * armed, and timeout of the probe that precedes arming. Both are derived from the
 * arming times of earlier rounds.
 */

/**
 * Minimum timeout of a probe, ms, to which round trips to all ranks are added, because
 * the ranks' messages share the coordinator's small link.
 */
const MIN_PROBE_TIMEOUT_MS = 60
const PROBE_ROUND_TRIPS = 3
/** Share of the lead that a probe may take, if that exceeds the minimum timeout. */
const PROBE_LEAD_SHARE = 0.7
/**
 * Minimum lead, ms. Passes continue during the lead. It covers a hold order that is sent
 * via a VM that has stopped; the round trips of the probe and of the arm order are
 * added, so that streams do not pause for them.
 */
const MIN_LEAD_MS = 120
const LEAD_ROUND_TRIPS = 2
/**
 * Lead as a multiple of the expected arming time. With too short a lead, a group of 192
 * ranks stood still for 0.11 s at each map change.
 */
const LEAD_FACTOR = 1.25
/** Factor by which the expected arming time decays with each shorter round. */
const DECAY_PER_ROUND = 0.8
/**
 * Expected arming time after a probe that timed out, as a multiple of its timeout. With
 * 40 ranks on links that lose 2 % of the packets, some answer is delayed by a
 * retransmission in nearly every round.
 */
const TIMEOUT_FACTOR = 2
/** Maximum expected arming time, ms; demand would shift during a longer one. */
const MAX_ARMING_MS = 800

/** Returns the time allowed from the hold until all ranks are armed, ms. */
export function computeLeadMs(armingMs: number, roundTripMs: number): number {
	return Math.max(
		MIN_LEAD_MS + LEAD_ROUND_TRIPS * roundTripMs,
		LEAD_FACTOR * armingMs,
	)
}

/** Returns the time within which all ranks have to answer a probe, ms. */
export function computeProbeTimeoutMs(
	armingMs: number,
	roundTripMs: number,
): number {
	const leadMs = computeLeadMs(armingMs, roundTripMs)
	return Math.max(
		MIN_PROBE_TIMEOUT_MS + PROBE_ROUND_TRIPS * roundTripMs,
		PROBE_LEAD_SHARE * leadMs,
	)
}

/** Returns the expected arming time after an arming that took `tookMs`, ms. */
export function updateArmingMs(armingMs: number, tookMs: number): number {
	return Math.min(MAX_ARMING_MS, Math.max(tookMs, armingMs * DECAY_PER_ROUND))
}

/** Returns the expected arming time after a probe that timed out, ms. */
export function raiseArmingMs(armingMs: number, timeoutMs: number): number {
	return Math.min(MAX_ARMING_MS, Math.max(armingMs, TIMEOUT_FACTOR * timeoutMs))
}
