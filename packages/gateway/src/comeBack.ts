/** Chooses the `Retry-After` time of refused requests. */

import { bookReturn, expectSpellEnd, gapNow } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import { expectOpenMs } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { outlookOf } from './outlook.ts'
import { pressureOf } from './pressure.ts'

/** Time for a refusal to reach its caller, whose own clock starts on arrival, ms. */
const RESPONSE_TRIP_MS = 50

/**
 * Returns the `Retry-After` time for a refused caller that has `leftMs` until its
 * deadline, ms.
 */
export function chooseComeBack(
	ctx: GatewayContext,
	service: string,
	leftMs: number,
): number {
	const now = readNow()
	const { flow, full, returns } = pressureOf(ctx.pressures, service)
	const reopenMs = expectOpenMs(ctx, service, now)
	const availability = outlookOf(ctx, service)
	const heededMs = leftMs * ctx.settings.heededShare - RESPONSE_TRIP_MS
	if (availability?.kind === 'resting') {
		const { moreMs } = availability
		const forecast = { openInMs: reopenMs, notBeforeMs: moreMs, heededMs }
		// While nothing is sent, the observed gaps say nothing about the server's rate.
		const gapMs = Math.max(flow.gapMs, availability.gapMs)
		return bookReturn(returns, { ...forecast, gapMs }, now, ctx.random)
	}
	const permitMs = availability?.moreMs ?? 0
	const openInMs = Math.max(reopenMs, expectSpellEnd(full, now), permitMs)
	const gapMs = gapNow(flow, now)
	const forecast = { openInMs, notBeforeMs: 0, gapMs, heededMs }
	return bookReturn(returns, forecast, now, ctx.random)
}
