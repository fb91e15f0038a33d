/**
 * Requests permits from the permit homes of rate-limited servers. The caller's request
 * does not wait for the answer while another server has room; a later request uses the
 * permit.
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
import { grantFromPool, permitHomeOf } from './permitHome.ts'

/** Maximum number of permits per request. */
const MAX_REQUESTED = 16
/** Delay before another request to a permit home that did not grant permits, ms. */
const RETRY_MS = 100

/**
 * Requests permits for the rate-limited servers of a service that have none left.
 * `onAnswer` is called after each answer of another entry.
 */
export function requestPermits(
	ctx: GatewayContext,
	service: string,
	request: PermitRequest,
	onAnswer: () => void,
): void {
	if (ctx.rateLimits.size === 0) return
	const count = Math.min(MAX_REQUESTED, request.count)
	const { withinMs } = request
	for (const row of listLimited(ctx, service).exhausted) {
		const { id } = ctx.fleet.servers[row]!
		const held = heldPermitsOf(ctx, id)
		const now = readElapsed()
		if (backoffLeftMs(ctx.backoffs, id, now) > withinMs) continue
		if (shouldRequestPermits(held, withinMs, now))
			requestFor(ctx, id, held, { count, withinMs }, onAnswer)
	}
}

function requestFor(
	ctx: GatewayContext,
	server: string,
	held: HeldPermits,
	request: PermitRequest,
	onAnswer: () => void,
): void {
	const limit = ctx.rateLimits.get(server)
	if (limit?.perSecond === undefined) return
	const { perSecond, at } = limit
	const permitHome = permitHomeOf(ctx, server)
	if (permitHome === ctx.settings.control) {
		addPermits(
			ctx,
			held,
			perSecond,
			grantFromPool(ctx, server, perSecond, request),
		)
		return
	}
	const limitAgoMs = readElapsed() - at
	const query = { server, limit: perSecond, limitAgoMs, ...request }
	const reply = ctx.permits.queryPermitHome(permitHome, query)
	if (!reply) {
		recordNotGranted(ctx, held, 'unlinked')
		return
	}
	held.isRequestPending = true
	void reply
		.then(
			answer => applyReply(ctx, held, perSecond, answer),
			err => {
				ctx.log.write('permit not given', {
					server,
					home: permitHome,
					reason: messageOf(err),
				})
				recordNotGranted(ctx, held, 'failed')
			},
		)
		.finally(() => {
			held.isRequestPending = false
			onAnswer()
		})
}

function applyReply(
	ctx: GatewayContext,
	held: HeldPermits,
	perSecond: number,
	reply: PermitReply,
): void {
	switch (reply.type) {
		case 'permits':
			addPermits(ctx, held, perSecond, reply)
			return
		case 'notHome':
			recordNotGranted(ctx, held, 'notHome')
			return
		default:
			reply satisfies never
	}
}

function addPermits(
	ctx: GatewayContext,
	held: HeldPermits,
	perSecond: number,
	permits: PermitGrant,
): void {
	addGrantedPermits(held, perSecond, permits, readElapsed())
	const outcome = permits.dueMs.length > 0 ? 'given' : 'wait'
	ctx.metrics.permits.inc({ outcome })
}

function recordNotGranted(
	ctx: GatewayContext,
	held: HeldPermits,
	outcome: 'unlinked' | 'failed' | 'notHome',
): void {
	held.notBefore = readElapsed() + RETRY_MS
	ctx.metrics.permits.inc({ outcome })
}
