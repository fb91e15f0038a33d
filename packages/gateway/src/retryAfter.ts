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
import { pressureOf } from './pressure.ts'

/** Time for a refusal to reach its caller, whose own clock starts on arrival, ms. */
const RESPONSE_TRIP_MS = 50

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
	const maxHonoredMs = leftMs * ctx.settings.retryAfterShare - RESPONSE_TRIP_MS
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
