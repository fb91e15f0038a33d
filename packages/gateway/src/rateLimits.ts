/** What servers say, in their answers, of how many requests a second they take. */

import type { RateWord } from '@juniperhook/core'
import { parsePerSecond, takeRateWord } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'

/** An answer as far as it tells of its server's limit. */
export interface RateHint {
	/** The limit as the server wrote it; undefined where it named none. */
	readonly text: string | undefined
	/** When the request was sent, ms. */
	readonly sentAt: number
	/** Whether the server ran the request. */
	readonly ran: boolean
}

/** Takes what an answer of a server tells. */
export function noteRateHint(
	ctx: GatewayContext,
	server: string,
	hint: RateHint,
): void {
	const at = readElapsed()
	if (hint.text !== undefined) {
		const perSecond = parsePerSecond(hint.text)
		if (perSecond !== undefined) takeWord(ctx, server, { perSecond, at })
		else ctx.log.write('server limit unreadable', { server, text: hint.text })
		return
	}
	const known = ctx.rateLimits.get(server)
	if (known?.perSecond === undefined || !hint.ran) return
	// An answer to a request from before the limit says nothing of its end.
	if (hint.sentAt <= known.since) return
	takeWord(ctx, server, { perSecond: undefined, at })
}

function takeWord(
	ctx: GatewayContext,
	server: string,
	word: Pick<RateWord, 'perSecond' | 'at'>,
): void {
	const before = ctx.rateLimits.get(server)
	if (!takeRateWord(ctx.rateLimits, server, word)) return
	ctx.log.write('server limit', {
		server,
		perSecond: word.perSecond,
		before: before?.perSecond,
		from: 'answer',
	})
	const inForce = [...ctx.rateLimits.values()].filter(
		one => one.perSecond !== undefined,
	)
	ctx.metrics.limitedServers.set(inForce.length)
}
