/** Timeouts of requests in flight: deadlines, and agents that send no frames. */

import { recordResult } from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import type { EntryContext, Exchange } from './entryContext.ts'
import { stepExchange } from './exchange.ts'

/** Time within which an agent must acknowledge an offer, ms. */
const OFFER_TIMEOUT_MS = 1_500
/** Time without a frame after which the link of an answer counts as lost, ms. */
const STALL_TIMEOUT_MS = 4_000
const CHECK_INTERVAL_MS = 250

/** Checks the timeouts of all requests in flight. */
export function tickExchanges(ctx: EntryContext): void {
	const now = readNow()
	const elapsed = readElapsed()
	for (const exchange of ctx.exchanges) {
		if (elapsed >= exchange.deadlineAt) {
			stepExchange(ctx, exchange, { type: 'deadline' })
			continue
		}
		checkFrameTimeout(ctx, exchange, now)
	}
}

/** Interval between calls of {@link tickExchanges}, ms. */
export const EXCHANGE_TICK_INTERVAL_MS = CHECK_INTERVAL_MS

function checkFrameTimeout(
	ctx: EntryContext,
	exchange: Exchange,
	now: number,
): void {
	const { lifecycle } = exchange
	const silentForMs = now - exchange.lastFrameAt
	const { attempt } = lifecycle
	switch (lifecycle.state.at) {
		case 'offered':
			if (silentForMs > OFFER_TIMEOUT_MS)
				stepExchange(ctx, exchange, { type: 'silent', attempt })
			break
		case 'answering':
			if (
				silentForMs <= STALL_TIMEOUT_MS ||
				exchange.answer.res.writableNeedDrain
			)
				break
			exchange.lastFrameAt = now
			exchange.handle?.abandon()
			recordResult(ctx.servers.table, exchange.row, false, now)
			stepExchange(ctx, exchange, { type: 'linkLost', attempt })
			break
		case 'routing':
		case 'voiding':
		case 'settled':
			break
		default:
			lifecycle.state satisfies never
	}
}
