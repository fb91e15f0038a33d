/**
 * What comes to this entry and to its peers, and what follows for each service:
 * which part of the requests is taken while its groups are nearly full, and which
 * servers this entry turns to first.
 */

import type { EntryDemand } from '@juniperhook/core'
import { dealServers, partTaken } from '@juniperhook/core'
import type { GatewayContext } from './context.ts'
import type { Fleet, FlowMeter, RequestFlow } from './fleet.ts'
import { meterOf, serviceOfGroup, settlePeerLoads } from './fleet.ts'

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
export function countRequest(fleet: Fleet, service: string): void {
	meterOf(fleet, service).come++
}

/** What comes to this entry, by service, for its peers. */
export function reportFlows(fleet: Fleet): Record<string, RequestFlow> {
	const flows: Record<string, RequestFlow> = {}
	for (const [service, { flow }] of fleet.meters)
		flows[service] = { come: round(flow.come), end: round(flow.end) }
	return flows
}

function round(value: number): number {
	return Math.round(value * 10) / 10
}

/** Whether a request is taken by a group that has `room` places free. */
export function isTaken(
	fleet: Fleet,
	group: number,
	room: number,
	luck: number,
): boolean {
	const meter = meterOf(fleet, serviceOfGroup(fleet, group))
	if (!meter.intake) return room >= 1
	const part = partTaken(room, meter.intake)
	meter.taken = Math.min(meter.taken, part)
	return luck < part
}

/** Whether a service's groups take only a part of what comes. */
export function isRationed(fleet: Fleet, service: string): boolean {
	return meterOf(fleet, service).taken < 1
}

/**
 * Takes stock when peers are told what this entry holds: `elapsedMs` after the
 * last time. Of `unheard` entries only the number is known.
 */
export function updateDemand(
	ctx: GatewayContext,
	elapsedMs: number,
	unheard: number,
	now: number,
): void {
	const { fleet } = ctx
	settlePeerLoads(fleet, now)
	const heard = fleet.peerDemand.size
	fleet.othersTimes = 1 + Math.max(0, unheard) / Math.max(1, heard)
	for (const service of fleet.rowsOf.keys()) {
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
		come: meter.flow.come * kept + lately(meter.come) * (1 - kept),
		end: meter.flow.end * kept + lately(meter.end) * (1 - kept),
	}
	meter.come = 0
	meter.end = 0
	meter.untold = 0
	meter.taken = 1
}

/** Without peers, every server is this entry's own. */
function settleAlone(fleet: Fleet, service: string, meter: FlowMeter): void {
	meter.intake = undefined
	for (const row of fleet.rowsOf.get(service) ?? [])
		fleet.table.dealtElsewhere[row] = 0
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
		fleet.othersTimes *
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
	const rows = fleet.rowsOf.get(service) ?? []
	const servers = rows.map(row => fleet.servers[row]!)
	const dealt = new Set(dealServers(own, others, servers))
	for (const [place, row] of rows.entries())
		fleet.table.dealtElsewhere[row] = dealt.has(place) ? 0 : 1
}
