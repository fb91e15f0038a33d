/**
 * Measures the request rates of this entry and its peers. From them follow, for each
 * service, the fraction of requests to admit while its groups are nearly full, and the
 * servers that this entry prefers.
 */

import type { EntryDemand } from '@juniperhook/core'
import { assignServers, estimateStreamMs } from '@juniperhook/core'
import type { GatewayContext } from './context.ts'
import { featuresOf } from './features.ts'
import type { Fleet } from './fleet.ts'
import { applyPeerLoads, listOpenRows, meterOf } from './fleet.ts'
import type { FlowMeter, RequestFlow } from './flowMeter.ts'
import { createServiceLevels, mergeLevels } from './levelDemand.ts'
import {
	countLevelArrival,
	describeLevels,
	updateOwnLevels,
} from './ownLevels.ts'
import { clearRationing, reportRationing } from './rationing.ts'
import type { AdmissionCandidate } from './waiter.ts'

/**
 * Time constant of the exponential smoothing of request rates, ms: callers that move to
 * another data centre must be reflected there a second later.
 */
const SMOOTHING_MS = 1_000
const SECOND_MS = 1_000
/**
 * Free slots are filled over this many report intervals. A shorter horizon makes entries
 * claim slots that others have taken since the last report.
 */
const HORIZON_INTERVALS = 2

/** Counts an arriving request. */
export function countArrival(
	fleet: Fleet,
	service: string,
	candidate: AdmissionCandidate,
): void {
	const meter = meterOf(fleet, service)
	meter.arrived++
	// Returns have room of their own.
	if (meter.levels && !candidate.isReturn)
		countLevelArrival(meter.levels.own, candidate)
}

/** Returns the request rates of this entry by service, for its peers. */
export function reportFlows(fleet: Fleet): Record<string, RequestFlow> {
	const flows: Record<string, RequestFlow> = {}
	for (const [service, { flow, levels }] of fleet.meters)
		flows[service] = {
			come: round(flow.come),
			end: round(flow.end),
			...(levels && describeLevels(levels.own, levels.rationing !== undefined)),
		}
	return flows
}

function round(value: number): number {
	return Math.round(value * 10) / 10
}

/**
 * Updates rates and assignments with each report to peers, `elapsedMs` after the last
 * one. The demand of `unlinked` entries is unknown and extrapolated from the peers.
 */
export function updateDemand(
	ctx: GatewayContext,
	elapsedMs: number,
	unlinked: number,
	now: number,
): void {
	const { fleet } = ctx
	applyPeerLoads(fleet, now)
	const reporting = fleet.peerDemand.size
	fleet.peerScale = 1 + Math.max(0, unlinked) / Math.max(1, reporting)
	for (const service of fleet.rowsByService.keys()) {
		const meter = meterOf(fleet, service)
		reportRationing(ctx, service, meter, now)
		switchLevels(ctx, service, meter)
		updateMeter(meter, elapsedMs)
		if (fleet.peerDemand.size > 0) updateTraffic(ctx, service, meter, elapsedMs)
		else assignAllToSelf(fleet, service, meter)
	}
}

/** Starts or ends the allocation by urgency as the configuration calls for it. */
function switchLevels(
	ctx: GatewayContext,
	service: string,
	meter: FlowMeter,
): void {
	if (featuresOf(ctx.features, service).urgency) {
		meter.levels ??= createServiceLevels()
		return
	}
	if (meter.levels) clearRationing(ctx, service, meter.levels)
	meter.levels = undefined
}

function updateMeter(meter: FlowMeter, elapsedMs: number): void {
	const decay = Math.exp(-elapsedMs / SMOOTHING_MS)
	const perSecond = (count: number) => (count * SECOND_MS) / elapsedMs
	meter.flow = {
		come: meter.flow.come * decay + perSecond(meter.arrived) * (1 - decay),
		end: meter.flow.end * decay + perSecond(meter.finished) * (1 - decay),
	}
	if (meter.levels) updateOwnLevels(meter.levels.own, elapsedMs, decay)
	meter.arrived = 0
	meter.finished = 0
	meter.unreportedSends = 0
	meter.minAdmittedFraction = 1
}

/** Assigns all servers of a service to this entry, as there are no peers. */
function assignAllToSelf(
	fleet: Fleet,
	service: string,
	meter: FlowMeter,
): void {
	meter.traffic = undefined
	for (const row of fleet.rowsByService.get(service) ?? [])
		fleet.table.assignedElsewhere[row] = 0
}

/** Updates the total traffic of a service and the servers assigned to this entry. */
function updateTraffic(
	ctx: GatewayContext,
	service: string,
	meter: FlowMeter,
	elapsedMs: number,
): void {
	const { fleet, settings } = ctx
	const peers = [...fleet.peerDemand]
	const sum = (rate: 'come' | 'end') =>
		meter.flow[rate] +
		fleet.peerScale *
			peers.reduce(
				(total, [, peer]) => total + (peer.flows[service]?.[rate] ?? 0),
				0,
			)
	meter.traffic = {
		arrivalsPerSecond: sum('come'),
		completionsPerSecond: sum('end'),
		horizonMs: HORIZON_INTERVALS * elapsedMs,
	}
	updateLevels(fleet, service, meter, elapsedMs)
	const { name, dataCentre } = settings
	const own: EntryDemand = { name, dataCentre, perSecond: meter.flow.come }
	const others = peers.map(([name, peer]) => ({
		name,
		dataCentre: peer.dataCentre,
		perSecond: peer.flows[service]?.come ?? 0,
	}))
	const rows = listOpenRows(fleet, service)
	const servers = rows.map(row => fleet.servers[row]!)
	const assigned = new Set(assignServers(own, others, servers))
	for (const [index, row] of rows.entries())
		fleet.table.assignedElsewhere[row] = assigned.has(index) ? 0 : 1
}

/** Merges the demand by urgency with that of the peers, where room is allocated by it. */
function updateLevels(
	fleet: Fleet,
	service: string,
	{ levels, traffic, returnsPerSecond }: FlowMeter,
	elapsedMs: number,
): void {
	if (!levels || !traffic) return
	const peers = [...fleet.peerDemand.values()]
	const flows = peers.flatMap(peer => peer.flows[service] ?? [])
	const { completionsPerSecond } = traffic
	const arrivalsPerSecond = Math.max(
		0,
		traffic.arrivalsPerSecond - returnsPerSecond,
	)
	const inFlight = countInFlightOf(fleet, service)
	const streamMs = estimateStreamMs(inFlight, completionsPerSecond)
	const { peerScale } = fleet
	mergeLevels(
		levels,
		flows,
		{ arrivalsPerSecond, peerScale, streamMs },
		elapsedMs,
	)
}

/** Returns the requests of all entries in flight at a service. */
function countInFlightOf(fleet: Fleet, service: string): number {
	const { reportedLoad, sentSinceReport } = fleet.table
	const rows = fleet.rowsByService.get(service) ?? []
	return rows.reduce(
		(sum, row) =>
			sum +
			fleet.peerScale * Math.max(0, reportedLoad[row]!) +
			sentSinceReport[row]!,
		0,
	)
}
