/**
 * Asks servers' homes for permits. A request does not wait for one while another server
 * has room; the next request finds it.
 */

import type { HeldPermits, PermitGrant, PermitRequest } from '@juniperhook/core'
import {
	addGrantedPermits,
	backoffLeftMs,
	shouldRequestPermits,
} from '@juniperhook/core'
import { messageOf, readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { PermitReply } from './peerMessages.ts'
import { heldPermitsOf, listLimited } from './permitGate.ts'
import { givePermits, homeOf } from './permitHome.ts'

/** Permits that one question asks for at most. */
const MAX_ASKED = 16
/** Before a home is asked again that did not give an answer, ms. */
const ASK_AGAIN_MS = 100

/**
 * Asks for permits of a service's servers that have none left. `onAnswer` follows
 * answers that come later.
 */
export function requestPermits(
	ctx: GatewayContext,
	service: string,
	wish: PermitRequest,
	onAnswer: () => void,
): void {
	if (ctx.rateLimits.size === 0) return
	const count = Math.min(MAX_ASKED, wish.count)
	const { withinMs } = wish
	for (const row of listLimited(ctx, service).exhausted) {
		const { id } = ctx.fleet.servers[row]!
		const held = heldPermitsOf(ctx, id)
		const now = readElapsed()
		if (backoffLeftMs(ctx.backoffs, id, now) > withinMs) continue
		if (shouldRequestPermits(held, withinMs, now))
			askFor(ctx, id, held, { count, withinMs }, onAnswer)
	}
}

function askFor(
	ctx: GatewayContext,
	server: string,
	held: HeldPermits,
	wish: PermitRequest,
	onAnswer: () => void,
): void {
	const known = ctx.rateLimits.get(server)
	if (known?.perSecond === undefined) return
	const { perSecond, at } = known
	const home = homeOf(ctx, server)
	if (home === ctx.settings.control) {
		keepPermits(ctx, held, perSecond, givePermits(ctx, server, perSecond, wish))
		return
	}
	const limitAgoMs = readElapsed() - at
	const ask = { server, limit: perSecond, limitAgoMs, ...wish }
	const reply = ctx.permits.askHome(home, ask)
	if (!reply) {
		recordNone(ctx, held, 'unlinked')
		return
	}
	held.isRequestPending = true
	void reply
		.then(
			got => takeReply(ctx, held, perSecond, got),
			err => {
				ctx.log.write('permit not given', {
					server,
					home,
					reason: messageOf(err),
				})
				recordNone(ctx, held, 'failed')
			},
		)
		.finally(() => {
			held.isRequestPending = false
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
			recordNone(ctx, held, 'notHome')
			return
		default:
			reply satisfies never
	}
}

function keepPermits(
	ctx: GatewayContext,
	held: HeldPermits,
	perSecond: number,
	permits: PermitGrant,
): void {
	addGrantedPermits(held, perSecond, permits, readElapsed())
	const outcome = permits.dueMs.length > 0 ? 'given' : 'wait'
	ctx.metrics.permits.inc({ outcome })
}

function recordNone(
	ctx: GatewayContext,
	held: HeldPermits,
	outcome: 'unlinked' | 'failed' | 'notHome',
): void {
	held.notBefore = readElapsed() + ASK_AGAIN_MS
	ctx.metrics.permits.inc({ outcome })
}
