/**
 * Books places for refused callers in the room that is forecast for their service, and
 * keeps that room when they are due.
 */

import type { ReturnPlace, RoomForecast, Urgency } from '@juniperhook/core'
import {
	ageReturns,
	bookReturn,
	countDueWithin,
	countReturns,
	FORECAST_LEADS_MS,
	forecastRoom,
	observeTraffic,
	shareOfRoom,
	WHOLE_ROOM,
} from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import { forecastAvailability } from './availabilityForecast.ts'
import { isServiceClosed } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { featuresOf } from './features.ts'
import { meterOf } from './fleet.ts'
import type { RequestFlow } from './flowMeter.ts'
import { returnsOf } from './returnState.ts'
import { describeRoom } from './roomSource.ts'

const SECOND_MS = 1_000
/** Time constant of the smoothing of request rates, ms; see `updateDemand`. */
const SMOOTHING_MS = 1_000
/** Earliest return at a single entry, ms: one round trip. */
const MIN_RETURN_MS = 50
/** Earliest return at one of several entries, ms: they have to know of it by then. */
const MIN_SHARED_RETURN_MS = 300

/** A refused caller. */
export interface RefusedCaller {
	readonly service: string
	readonly urgency: Urgency
	/** Longest time that it honours, ms. */
	readonly maxHonoredMs: number
}

/** The time that a refused caller is told, and the forecast it rests on. */
export interface BookedReturn {
	readonly place: ReturnPlace
	readonly forecast: RoomForecast
}

/** Books a place for a refused caller. */
export function placeReturn(
	ctx: GatewayContext,
	{ service, urgency, maxHonoredMs }: RefusedCaller,
): BookedReturn {
	const { observations, bookings } = returnsOf(ctx.returns, service)
	const forecast = forecastRoom(
		observations,
		describeRoom(ctx, service, readNow()),
	)
	const hasPeers = ctx.fleet.peerDemand.size > 0
	const request = {
		forecast,
		share: hasPeers ? shareOf(ctx, service) : WHOLE_ROOM,
		ofPeers: sumPeerReturns(ctx, service),
		urgency,
		earliestMs: hasPeers ? MIN_SHARED_RETURN_MS : MIN_RETURN_MS,
		maxHonoredMs,
	}
	const place = bookReturn(bookings, request, readElapsed(), ctx.random)
	return { place, forecast }
}

function shareOf({ fleet, settings }: GatewayContext, service: string) {
	const { come } = meterOf(fleet, service).flow
	const others = [...fleet.peerDemand].map(([name, { flows }]) => ({
		name,
		perSecond: flows[service]?.come ?? 0,
	}))
	const own = { name: settings.name, perSecond: come }
	return shareOfRoom(own, others, fleet.peerScale)
}

/** Sums the callers due at other entries, by quarter second from now on. */
function sumPeerReturns({ fleet }: GatewayContext, service: string): number[] {
	const now = readNow()
	const sums: number[] = []
	for (const { flows, receivedAt = now } of fleet.peerDemand.values()) {
		const counts = flows[service]?.returns ?? []
		for (const [at, count] of ageReturns(counts, now - receivedAt).entries())
			sums[at] = (sums[at] ?? 0) + fleet.peerScale * count
	}
	return sums
}

/** Adds the callers that this entry expects back to the rates that it reports. */
export function addReturns(
	ctx: GatewayContext,
	flows: Readonly<Record<string, RequestFlow>>,
): Record<string, RequestFlow> {
	const now = readElapsed()
	return Object.fromEntries(
		Object.entries(flows).map(([service, flow]) => {
			const known = ctx.returns.services.get(service)
			const returns = countReturns(known?.bookings.dueAt ?? [], now)
			return [service, returns.length > 0 ? { ...flow, returns } : flow]
		}),
	)
}

/**
 * Updates forecasts, and the rate of callers due, with each report to peers, `elapsedMs`
 * after the last one.
 */
export function updateReturns(ctx: GatewayContext, elapsedMs: number): void {
	for (const service of ctx.fleet.rowsByService.keys())
		if (featuresOf(ctx.features, service).returns)
			updateService(ctx, service, elapsedMs)
		else meterOf(ctx.fleet, service).returnsPerSecond = 0
}

function updateService(
	ctx: GatewayContext,
	service: string,
	elapsedMs: number,
): void {
	const returns = returnsOf(ctx.returns, service)
	const { bookings, observations } = returns
	const meter = meterOf(ctx.fleet, service)
	const now = readElapsed()
	const due =
		countDueWithin(countReturns(bookings.dueAt, now), elapsedMs) +
		countDueWithin(sumPeerReturns(ctx, service), elapsedMs)
	meter.returnsPerSecond = (due * SECOND_MS) / elapsedMs
	const weight = 1 - Math.exp(-elapsedMs / SMOOTHING_MS)
	returns.duePerSecond +=
		weight * (meter.returnsPerSecond - returns.duePerSecond)
	const arrivals = meter.traffic?.arrivalsPerSecond ?? meter.flow.come
	const traffic = {
		newPerSecond: Math.max(0, arrivals - returns.duePerSecond),
		completionsPerSecond: meter.traffic?.completionsPerSecond ?? meter.flow.end,
		isOpen:
			!isServiceClosed(ctx, service) && !forecastAvailability(ctx, service),
	}
	observeTraffic(observations, traffic, now)
	for (const [at, leadMs] of FORECAST_LEADS_MS.entries())
		ctx.metrics.forecastError.set(
			{ service, lead_ms: leadMs },
			observations.errors[at]!,
		)
}
