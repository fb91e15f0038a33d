/**
 * What comes to this entry and to its peers, and what follows for each service:
 * which part of the requests is taken while its groups are nearly full, and which
 * servers this entry turns to first.
 */

import type { EntryDemand } from '@juniperhook/core'
import { admittedFraction, assignServers } from '@juniperhook/core'
import type { GatewayContext } from './context.ts'
import type { Fleet, FlowMeter, RequestFlow } from './fleet.ts'
import { applyPeerLoads, meterOf, serviceOfGroup } from './fleet.ts'

/**
 * Demand of the last second counts most: callers that move to another data centre
 * are to be known there a second later.
 */
const FORGET_MS = 1_000
const SECOND_MS = 1_000
/**
 * Places that are free are taken within so many times that in which entries tell
 * each other what they hold: sooner, and all take what is not free any more.
 */
const HORIZON_TIMES = 2

/** Counts a request that has come. */
export function countArrival(fleet: Fleet, service: string): void {
	meterOf(fleet, service).arrived++
}

/** What comes to this entry, by service, for its peers. */
export function tellFlows(fleet: Fleet): Record<string, RequestFlow> {
	const flows: Record<string, RequestFlow> = {}
	for (const [service, { flow }] of fleet.meters)
		flows[service] = { come: round(flow.come), end: round(flow.end) }
	return flows
}

function round(value: number): number {
	return Math.round(value * 10) / 10
}

/** Whether a request is taken by a group that has `room` places free. */
export function isAdmitted(
	fleet: Fleet,
	group: number,
	room: number,
	luck: number,
): boolean {
	const meter = meterOf(fleet, serviceOfGroup(fleet, group))
	if (!meter.intake) return room >= 1
	const part = admittedFraction(room, meter.intake)
	meter.minAdmittedFraction = Math.min(meter.minAdmittedFraction, part)
	return luck < part
}

/** Whether a service's groups take only a part of what comes. */
export function isRationed(fleet: Fleet, service: string): boolean {
	return meterOf(fleet, service).minAdmittedFraction < 1
}

/**
 * Takes stock when peers are told what this entry holds: `elapsedMs` after the
 * last time. Of `unheard` entries only the number is known.
 */
export function settleDemand(
	ctx: GatewayContext,
	elapsedMs: number,
	unheard: number,
	now: number,
): void {
	const { fleet } = ctx
	applyPeerLoads(fleet, now)
	const heard = fleet.peerDemand.size
	fleet.peerScale = 1 + Math.max(0, unheard) / Math.max(1, heard)
	for (const service of fleet.rowsByService.keys()) {
		const meter = meterOf(fleet, service)
		settleMeter(meter, elapsedMs)
		if (fleet.peerDemand.size > 0) settleService(ctx, service, meter, elapsedMs)
		else settleAlone(fleet, service, meter)
	}
}

function settleMeter(meter: FlowMeter, elapsedMs: number): void {
	const kept = Math.exp(-elapsedMs / FORGET_MS)
	const lately = (count: number) => (count * SECOND_MS) / elapsedMs
	meter.flow = {
		come: meter.flow.come * kept + lately(meter.arrived) * (1 - kept),
		end: meter.flow.end * kept + lately(meter.finished) * (1 - kept),
	}
	meter.arrived = 0
	meter.finished = 0
	meter.sentSinceReport = 0
	meter.minAdmittedFraction = 1
}

/** Without peers, every server is this entry's own. */
function settleAlone(fleet: Fleet, service: string, meter: FlowMeter): void {
	meter.intake = undefined
	for (const row of fleet.rowsByService.get(service) ?? [])
		fleet.table.assignedElsewhere[row] = 0
}

function settleService(
	ctx: GatewayContext,
	service: string,
	meter: FlowMeter,
	elapsedMs: number,
): void {
	const { fleet, settings } = ctx
	const peers = [...fleet.peerDemand]
	const sum = (part: keyof RequestFlow) =>
		meter.flow[part] +
		fleet.peerScale *
			peers.reduce(
				(total, [, peer]) => total + (peer.flows[service]?.[part] ?? 0),
				0,
			)
	meter.intake = {
		perSecond: sum('come'),
		endedPerSecond: sum('end'),
		horizonMs: HORIZON_TIMES * elapsedMs,
	}
	const { name, dataCentre } = settings
	const own: EntryDemand = { name, dataCentre, perSecond: meter.flow.come }
	const others = peers.map(([name, peer]) => ({
		name,
		dataCentre: peer.dataCentre,
		perSecond: peer.flows[service]?.come ?? 0,
	}))
	const rows = fleet.rowsByService.get(service) ?? []
	const servers = rows.map(row => fleet.servers[row]!)
	const dealt = new Set(assignServers(own, others, servers))
	for (const [place, row] of rows.entries())
		fleet.table.assignedElsewhere[row] = dealt.has(place) ? 0 : 1
}
