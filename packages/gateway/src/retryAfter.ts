/** Chooses the `Retry-After` time of refused requests. */

import {
	currentIntervalMs,
	estimateBlockageMs,
	scheduleRetryAfter,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import { forecastAvailability } from './availabilityForecast.ts'
import { expectedReopenMs } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { featuresOf } from './features.ts'
import type { Job } from './job.ts'
import { pressureOf } from './pressure.ts'
import type { BookedReturn } from './returnPlaces.ts'
import { placeReturn } from './returnPlaces.ts'
import { rememberRefused } from './returnRecognition.ts'

/** Time for a refusal to reach its caller, whose own clock starts on arrival, ms. */
const RESPONSE_TRIP_MS = 50

/** The `Retry-After` time of a refused caller, ms. */
export type RetryAfter =
	| { readonly kind: 'scheduled'; readonly ms: number }
	/** A place is kept for the caller, or it is told that there is none. */
	| ({ readonly kind: 'placed'; readonly ms: number } & BookedReturn)

/** Chooses when a refused caller that has `leftMs` until its deadline is to come back. */
export function chooseRetryAfter(
	ctx: GatewayContext,
	{ candidate, request, service }: Job,
	leftMs: number,
): RetryAfter {
	const hasPlaces = featuresOf(ctx.features, service).returns
	// A caller comes back once; a place for a second time would stay empty.
	if (!hasPlaces || candidate.isReturn)
		return { kind: 'scheduled', ms: chooseRetryAfterMs(ctx, service, leftMs) }
	const maxHonoredMs = maxHonoredMsOf(ctx, leftMs)
	const { urgency } = request
	const booked = placeReturn(ctx, { service, urgency, maxHonoredMs })
	const { kind, dueInMs } = booked.place
	if (kind !== 'none') {
		rememberRefused(ctx, request, dueInMs)
		ctx.metrics.returns.inc({ outcome: 'booked' })
	}
	return { kind: 'placed', ms: dueInMs, ...booked }
}

function maxHonoredMsOf({ settings }: GatewayContext, leftMs: number): number {
	return leftMs * settings.retryAfterShare - RESPONSE_TRIP_MS
}

/**
 * Returns the `Retry-After` time for a refused caller that has `leftMs` until its
 * deadline, ms.
 */
export function chooseRetryAfterMs(
	ctx: GatewayContext,
	service: string,
	leftMs: number,
): number {
	const now = readNow()
	const { dispatchRate, blockage, retryAfterSchedule } = pressureOf(
		ctx.pressures,
		service,
	)
	const reopenMs = expectedReopenMs(ctx, service, now)
	const availability = forecastAvailability(ctx, service)
	const maxHonoredMs = maxHonoredMsOf(ctx, leftMs)
	if (availability?.kind === 'resting') {
		const { nextMs } = availability
		const forecast = {
			availableInMs: reopenMs,
			notBeforeMs: nextMs,
			maxHonoredMs,
		}
		// While nothing is sent, the observed intervals say nothing about the server's rate.
		const slotIntervalMs = Math.max(
			dispatchRate.intervalMs,
			availability.intervalMs,
		)
		return scheduleRetryAfter(
			retryAfterSchedule,
			{ ...forecast, slotIntervalMs },
			now,
			ctx.random,
		)
	}
	const permitMs = availability?.nextMs ?? 0
	const availableInMs = Math.max(
		reopenMs,
		estimateBlockageMs(blockage, now),
		permitMs,
	)
	const slotIntervalMs = currentIntervalMs(dispatchRate, now)
	const forecast = {
		availableInMs,
		notBeforeMs: 0,
		slotIntervalMs,
		maxHonoredMs,
	}
	return scheduleRetryAfter(retryAfterSchedule, forecast, now, ctx.random)
}
