/** Services that refuse as a whole, because a lock-step group is broken. */

import { noteClosed, noteOpen } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { serveWaiting } from './waiting.ts'

const UNAVAILABLE = 503
/**
 * Formings of a group that requests wait for at the start of this process. After
 * a loss of power, engines are back when entries are, and their group opens one
 * forming later; callers give a stream up after 2 s.
 */
const FORMINGS_WAITED = 2
/**
 * While a service refuses later on, requests wait for this part of their target:
 * a rank that crashed is away for seconds.
 */
const CLOSED_WAIT_SHARE = 0.06

/** Whether a refusal speaks for all ranks of a lock-step group. */
export function isGroupRefusal(
	ctx: GatewayContext,
	service: string,
	status: number,
): boolean {
	return status === UNAVAILABLE && isGrouped(ctx, service)
}

/** Whether the service's servers are ranks of lock-step groups. */
export function isGrouped(ctx: GatewayContext, service: string): boolean {
	return layoutOf(ctx, service) !== undefined
}

function layoutOf(ctx: GatewayContext, service: string) {
	return ctx.routes?.services.get(service)?.engine?.experts
}

/** Notes that a service refuses. */
export function closeService(ctx: GatewayContext, service: string): void {
	const now = readNow()
	if (!ctx.closures.has(service)) ctx.log.write('service closed', { service })
	noteClosed(ctx.closures, service, now)
	if (ctx.openUntil.has(service)) return
	const reformMs = layoutOf(ctx, service)?.reformMs ?? 0
	ctx.openUntil.set(service, now + FORMINGS_WAITED * reformMs)
}

/** Notes that a service takes requests, if it did not. */
export function openService(ctx: GatewayContext, service: string): void {
	if (!ctx.openUntil.has(service)) ctx.openUntil.set(service, 0)
	const since = ctx.closures.get(service)?.since
	if (since === undefined || !noteOpen(ctx.closures, service)) return
	const closedMs = Math.round(readNow() - since)
	ctx.log.write('service open', { service, closedMs })
	serveWaiting(ctx)
}

/** How long a request may wait for a service that refuses, ms. */
export function closedWaitMs(
	ctx: GatewayContext,
	service: string,
	targetMs: number,
): number {
	const forming = (ctx.openUntil.get(service) ?? 0) - readNow()
	return Math.max(targetMs * CLOSED_WAIT_SHARE, forming)
}
