/** Decides which requests a nearly full group admits, from the demand of all entries. */

import type { GroupTraffic } from '@juniperhook/core'
import { fractionOf, MIN_PER_SECOND, slotsPerSecond } from '@juniperhook/core'
import type { Fleet } from './fleet.ts'
import { meterOf, serviceOfGroup } from './fleet.ts'
import type { FlowMeter } from './flowMeter.ts'
import { levelFraction } from './levelDemand.ts'
import type { AdmissionCandidate } from './waiter.ts'

/** Largest share of the room that is kept for refused callers who are due back. */
const MAX_KEPT_SHARE = 0.5

/** Decision of a group on a request. */
export interface AdmissionDecision {
	readonly isAdmitted: boolean
	/**
	 * Fraction of such requests that it admits; undefined without peers, as an entry
	 * alone knows the free slots themselves.
	 */
	readonly fraction: number | undefined
}

/** Decides whether a request is admitted to a group with `room` free slots. */
export function decideAdmission(
	fleet: Fleet,
	group: number,
	room: number,
	candidate: AdmissionCandidate,
): AdmissionDecision {
	const meter = meterOf(fleet, serviceOfGroup(fleet, group))
	if (!meter.traffic) return { isAdmitted: room >= 1, fraction: undefined }
	const available = slotsPerSecond(room, meter.traffic)
	const fraction = fractionAt(meter, meter.traffic, available, candidate)
	if (meter.levels) meter.levels.slotsPerSecond = available
	meter.minAdmittedFraction = Math.min(meter.minAdmittedFraction, fraction)
	return { isAdmitted: isWithinFraction(candidate, fraction), fraction }
}

/**
 * Whether a request is among the fraction that is admitted; one that comes back when it
 * was told to is, as long as any of its urgency are.
 */
export function isWithinFraction(
	{ draw, isReturn }: AdmissionCandidate,
	fraction: number,
): boolean {
	return isReturn ? fraction > 0 : draw < fraction
}

/**
 * Returns the fraction of the requests like `candidate` that will be admitted as slots
 * become free at the present rate; undefined while none do, as after a start.
 */
export function expectedFraction(
	meter: FlowMeter,
	candidate: AdmissionCandidate,
): number | undefined {
	const { traffic } = meter
	if (!traffic || traffic.completionsPerSecond < MIN_PER_SECOND)
		return undefined
	return fractionAt(meter, traffic, traffic.completionsPerSecond, candidate)
}

function fractionAt(
	meter: FlowMeter,
	traffic: GroupTraffic,
	perSecond: number,
	candidate: AdmissionCandidate,
): number {
	const { levels } = meter
	const kept = candidate.isReturn ? 0 : keptForReturns(meter, perSecond)
	const available = perSecond - kept
	if (levels) return levelFraction(levels, available, candidate)
	// Arrivals include the returns, for which the kept room is.
	const arrivalsPerSecond = Math.max(0, traffic.arrivalsPerSecond - kept)
	return fractionOf(available, { ...traffic, arrivalsPerSecond })
}

/**
 * Returns the room that is kept for refused callers who are due back, slots per second.
 * New callers keep half of the room, however many were told to come back.
 */
function keptForReturns(
	{ returnsPerSecond }: FlowMeter,
	perSecond: number,
): number {
	return Math.min(returnsPerSecond, Math.max(0, MAX_KEPT_SHARE * perSecond))
}

/** Whether the groups of a service admit only a fraction of the requests. */
export function isRationed(fleet: Fleet, service: string): boolean {
	return meterOf(fleet, service).minAdmittedFraction < 1
}
