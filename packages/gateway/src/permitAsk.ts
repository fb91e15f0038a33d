/**
 * Asks servers' homes for permits. A request does not wait for one while another server
 * has room; the next request finds it.
 */

import type { HeldPermits, Permits, PermitWish } from '@juniperhook/core'
import { isAskDue, restLeftMs, takeGiven } from '@juniperhook/core'
import { messageOf, readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { PermitReply } from './peerMessages.ts'
import { heldOf, listLimited } from './permitGate.ts'
import { grantFromPool, homeOf } from './permitHome.ts'

/** Permits that one question asks for at most. */
const MAX_ASKED = 16
/** Before a home is asked again that did not give an answer, ms. */
const ASK_AGAIN_MS = 100

/**
 * Asks for permits of a service's servers that have none left. `onAnswer` follows
 * answers that come later.
 */
export function askForPermits(
	ctx: GatewayContext,
	service: string,
	wish: PermitWish,
	onAnswer: () => void,
): void {
	if (ctx.rateLimits.size === 0) return
	const count = Math.min(MAX_ASKED, wish.count)
	const { withinMs } = wish
	for (const row of listLimited(ctx, service).spent) {
		const { id } = ctx.fleet.servers[row]!
		const held = heldOf(ctx, id)
		const now = readElapsed()
		if (restLeftMs(ctx.rests, id, now) > withinMs) continue
		if (isAskDue(held, withinMs, now))
			askFor(ctx, id, held, { count, withinMs }, onAnswer)
	}
}

function askFor(
	ctx: GatewayContext,
	server: string,
	held: HeldPermits,
	wish: PermitWish,
	onAnswer: () => void,
): void {
	const known = ctx.rateLimits.get(server)
	if (known?.perSecond === undefined) return
	const { perSecond, at } = known
	const home = homeOf(ctx, server)
	if (home === ctx.settings.control) {
		keepPermits(
			ctx,
			held,
			perSecond,
			grantFromPool(ctx, server, perSecond, wish),
		)
		return
	}
	const limitAgoMs = readElapsed() - at
	const ask = { server, limit: perSecond, limitAgoMs, ...wish }
	const reply = ctx.permits.queryHome(home, ask)
	if (!reply) {
		noteNone(ctx, held, 'unlinked')
		return
	}
	held.isAsking = true
	void reply
		.then(
			got => takeReply(ctx, held, perSecond, got),
			err => {
				ctx.log.write('permit not given', {
					server,
					home,
					reason: messageOf(err),
				})
				noteNone(ctx, held, 'failed')
			},
		)
		.finally(() => {
			held.isAsking = false
			onAnswer()
		})
}

function takeReply(
	ctx: GatewayContext,
	held: HeldPermits,
	perSecond: number,
	reply: PermitReply,
): void {
	switch (reply.type) {
		case 'permits':
			keepPermits(ctx, held, perSecond, reply)
			return
		case 'notHome':
			noteNone(ctx, held, 'notHome')
			return
		default:
			reply satisfies never
	}
}

function keepPermits(
	ctx: GatewayContext,
	held: HeldPermits,
	perSecond: number,
	permits: Permits,
): void {
	takeGiven(held, perSecond, permits, readElapsed())
	const outcome = permits.dueMs.length > 0 ? 'given' : 'wait'
	ctx.metrics.permits.inc({ outcome })
}

function noteNone(
	ctx: GatewayContext,
	held: HeldPermits,
	outcome: 'unlinked' | 'failed' | 'notHome',
): void {
	held.notBefore = readElapsed() + ASK_AGAIN_MS
	ctx.metrics.permits.inc({ outcome })
}
