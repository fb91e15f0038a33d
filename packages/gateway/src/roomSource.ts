/**
 * Joins what delays the room of a service: closed groups, rest that servers asked for,
 * permits, and slots in use.
 */

import type { RoomSource } from '@juniperhook/core'
import { forecastAvailability } from './availabilityForecast.ts'
import { estimateOpening, isServiceClosed } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { groupOf, queueOf } from './fleet.ts'

/** Returns when and how a service takes requests. */
export function describeRoom(
	ctx: GatewayContext,
	service: string,
	now: number,
): RoomSource {
	const { expectedMs, latestMs } = estimateOpening(ctx, service, now)
	const availability = forecastAvailability(ctx, service)
	if (availability?.kind === 'resting') {
		const { intervalMs, nextMs } = availability
		return {
			kind: 'resting',
			opensInMs: latestMs,
			notBeforeMs: nextMs,
			intervalMs,
		}
	}
	if (availability)
		return {
			kind: 'limited',
			opensInMs: Math.max(latestMs, availability.nextMs),
		}
	const waiting = queueOf(ctx.fleet, service).waiting.length
	if (isServiceClosed(ctx, service))
		return {
			kind: 'closed',
			opensInMs: latestMs,
			soonestMs: expectedMs,
			slots: Math.max(0, countSlots(ctx, service) - waiting),
		}
	const free = countSlots(ctx, service) - countInFlight(ctx, service)
	return { kind: 'open', freeSlots: Math.max(0, free - waiting) }
}

/** Returns the rows of a service's servers that take requests, or will when it opens. */
function listUsable(ctx: GatewayContext, service: string): number[] {
	const { fleet, closures } = ctx
	const rows = fleet.rowsByService.get(service) ?? []
	const isAllClosed = isServiceClosed(ctx, service)
	return rows.filter(
		row =>
			fleet.table.open[row] !== 0 &&
			(isAllClosed || !closures.has(groupOf(fleet.servers[row]!))),
	)
}

function countSlots(ctx: GatewayContext, service: string): number {
	const { slots, maxInFlight } = ctx.fleet.table
	return listUsable(ctx, service).reduce(
		(sum, row) => sum + Math.min(slots[row]!, maxInFlight[row]!),
		0,
	)
}

function countInFlight(ctx: GatewayContext, service: string): number {
	const { table, peerScale } = ctx.fleet
	return listUsable(ctx, service).reduce((sum, row) => {
		const ofPeers = peerScale * Math.max(0, table.reportedLoad[row]!)
		return sum + ofPeers + table.sentSinceReport[row]!
	}, 0)
}
