/** Chooses the `Retry-After` time of refused requests. */

import {
	currentIntervalMs,
	estimateBlockageMs,
	scheduleRetryAfter,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import { forecastAvailability } from './availabilityForecast.ts'
import { expectedReopenAt } from './closedGroups.ts'
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
	const { flow, full, returns } = pressureOf(ctx.pressures, service)
	const reopenInMs = expectedReopenAt(ctx, service, now)
	const availability = forecastAvailability(ctx, service)
	const maxHonoredMs = leftMs * ctx.settings.retryAfterShare - RESPONSE_TRIP_MS
	if (availability?.kind === 'resting') {
		const { nextMs } = availability
		const forecast = {
			availableInMs: reopenInMs,
			notBeforeMs: nextMs,
			maxHonoredMs,
		}
		// While nothing is sent, the observed intervals say nothing about the server's rate.
		const slotIntervalMs = Math.max(flow.intervalMs, availability.intervalMs)
		return scheduleRetryAfter(
			returns,
			{ ...forecast, slotIntervalMs },
			now,
			ctx.random,
		)
	}
	const permitMs = availability?.nextMs ?? 0
	const availableInMs = Math.max(
		reopenInMs,
		estimateBlockageMs(full, now),
		permitMs,
	)
	const slotIntervalMs = currentIntervalMs(flow, now)
	const forecast = {
		availableInMs,
		notBeforeMs: 0,
		slotIntervalMs,
		maxHonoredMs,
	}
	return scheduleRetryAfter(returns, forecast, now, ctx.random)
}
