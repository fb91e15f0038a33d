/** When a caller that is turned away is to come back. */

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

/** For a refusal to reach its caller, who reckons from then on, ms. */
const WAY_MS = 50

/** Time to tell a refused caller that has `leftMs` until its deadline, ms. */
export function chooseRetryAfterMs(
	ctx: GatewayContext,
	service: string,
	leftMs: number,
): number {
	const now = readNow()
	const { flow, full, returns } = pressureOf(ctx.pressures, service)
	const closedMs = expectedReopenAt(ctx, service, now)
	const outlook = forecastAvailability(ctx, service)
	const maxHonoredMs = leftMs * ctx.settings.retryAfterShare - WAY_MS
	if (outlook?.kind === 'resting') {
		const { nextMs: moreMs } = outlook
		const forecast = {
			availableInMs: closedMs,
			notBeforeMs: moreMs,
			maxHonoredMs: maxHonoredMs,
		}
		// While nothing is sent, the gaps seen tell nothing of the server.
		const gapMs = Math.max(flow.intervalMs, outlook.intervalMs)
		return scheduleRetryAfter(returns, { ...forecast, gapMs }, now, ctx.random)
	}
	const permitMs = outlook?.nextMs ?? 0
	const availableInMs = Math.max(
		closedMs,
		estimateBlockageMs(full, now),
		permitMs,
	)
	const gapMs = currentIntervalMs(flow, now)
	const forecast = {
		availableInMs: availableInMs,
		notBeforeMs: 0,
		gapMs,
		maxHonoredMs: maxHonoredMs,
	}
	return scheduleRetryAfter(returns, forecast, now, ctx.random)
}
