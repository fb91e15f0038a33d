/**
 * Measures the request rates of this entry and its peers, and derives two things for each
 * service: the fraction of requests to admit while its groups are nearly full, and the
 * servers that this entry prefers.
 */

import type { EntryDemand } from '@juniperhook/core'
import { admittedFraction, assignServers } from '@juniperhook/core'
import type { GatewayContext } from './context.ts'
import type { Fleet, FlowMeter, RequestFlow } from './fleet.ts'
import {
	applyPeerLoads,
	listOpenRows,
	meterOf,
	serviceOfGroup,
} from './fleet.ts'
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
	_candidate: AdmissionCandidate,
): void {
	meterOf(fleet, service).arrived++
}

/** Returns the request rates of this entry by service, for its peers. */
export function reportFlows(fleet: Fleet): Record<string, RequestFlow> {
	const flows: Record<string, RequestFlow> = {}
	for (const [service, { flow }] of fleet.meters)
		flows[service] = { come: round(flow.come), end: round(flow.end) }
	return flows
}

function round(value: number): number {
	return Math.round(value * 10) / 10
}

/** Whether a request is admitted to a group with `room` free slots. */
export function isAdmitted(
	fleet: Fleet,
	group: number,
	room: number,
	{ draw }: AdmissionCandidate,
): boolean {
	const meter = meterOf(fleet, serviceOfGroup(fleet, group))
	if (!meter.traffic) return room >= 1
	const fraction = admittedFraction(room, meter.traffic)
	meter.minAdmittedFraction = Math.min(meter.minAdmittedFraction, fraction)
	return draw < fraction
}

/** Whether the groups of a service admit only a fraction of the requests. */
export function isRationed(fleet: Fleet, service: string): boolean {
	return meterOf(fleet, service).minAdmittedFraction < 1
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
		updateMeter(meter, elapsedMs)
		if (fleet.peerDemand.size > 0) updateTraffic(ctx, service, meter, elapsedMs)
		else assignAllToSelf(fleet, service, meter)
	}
}

function updateMeter(meter: FlowMeter, elapsedMs: number): void {
	const decay = Math.exp(-elapsedMs / SMOOTHING_MS)
	const perSecond = (count: number) => (count * SECOND_MS) / elapsedMs
	meter.flow = {
		come: meter.flow.come * decay + perSecond(meter.arrived) * (1 - decay),
		end: meter.flow.end * decay + perSecond(meter.finished) * (1 - decay),
	}
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
