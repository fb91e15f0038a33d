/** Requests whose time is over, and agents that have gone silent. */

import { recordResult } from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import type { EntryContext, Exchange } from './entryContext.ts'
import { stepExchange } from './exchange.ts'

/** An agent must say that it has an offer within this time, ms. */
const SILENT_MS = 1_500
/** An open answer without a frame for so long has lost its link, ms. */
const STALL_MS = 4_000
const CHECK_MS = 250

/** Runs time-outs over all open requests. */
export function tickExchanges(ctx: EntryContext): void {
	const now = readNow()
	const elapsed = readElapsed()
	for (const exchange of ctx.exchanges) {
		if (elapsed >= exchange.deadlineAt) {
			stepExchange(ctx, exchange, { type: 'deadline' })
			continue
		}
		checkSilence(ctx, exchange, now)
	}
}

/** How often {@link tickExchanges} is to be called, ms. */
export const EXCHANGE_TICK_MS = CHECK_MS

function checkSilence(
	ctx: EntryContext,
	exchange: Exchange,
	now: number,
): void {
	const { fate } = exchange
	const quiet = now - exchange.heardAt
	const { attempt } = fate
	switch (fate.state.at) {
		case 'offered':
			if (quiet > SILENT_MS)
				stepExchange(ctx, exchange, { type: 'silent', attempt })
			break
		case 'answering':
			if (quiet <= STALL_MS || exchange.answer.res.writableNeedDrain) break
			exchange.heardAt = now
			exchange.handle?.abandon()
			recordResult(ctx.servers.table, exchange.row, false, now)
			stepExchange(ctx, exchange, { type: 'linkLost', attempt })
			break
		case 'routing':
		case 'voiding':
		case 'settled':
			break
		default:
			fate.state satisfies never
	}
}
