/** When a caller that is turned away is to come back. */

import { bookReturn, expectSpellEnd, gapNow } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import { expectOpenMs } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { outlookOf } from './permitOutlook.ts'
import { pressureOf } from './pressure.ts'

/** For a refusal to reach its caller, who reckons from then on, ms. */
const WAY_MS = 50

/** Time to tell a refused caller that has `leftMs` until its deadline, ms. */
export function chooseComeBack(
	ctx: GatewayContext,
	service: string,
	leftMs: number,
): number {
	const now = readNow()
	const { flow, full, returns } = pressureOf(ctx.pressures, service)
	const closedMs = expectOpenMs(ctx, service, now)
	const permitMs = outlookOf(ctx, service)?.moreMs ?? 0
	const openInMs = Math.max(closedMs, expectSpellEnd(full, now), permitMs)
	const gapMs = gapNow(flow, now)
	const heededMs = leftMs * ctx.settings.heededShare - WAY_MS
	return bookReturn(returns, { openInMs, gapMs, heededMs }, now, ctx.random)
}
