/** Services that refuse as a whole, because a lock-step group is broken. */

import { noteClosed, noteOpen } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { serveWaiting } from './waiting.ts'

const UNAVAILABLE = 503

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
	const { engine } = ctx.routes?.services.get(service) ?? {}
	return engine?.experts !== undefined
}

/** Notes that a service refuses. */
export function closeService(ctx: GatewayContext, service: string): void {
	if (!ctx.closures.has(service)) ctx.log.write('service closed', { service })
	noteClosed(ctx.closures, service, readNow())
}

/** Notes that a service takes requests, if it did not. */
export function openService(ctx: GatewayContext, service: string): void {
	const since = ctx.closures.get(service)?.since
	if (since === undefined || !noteOpen(ctx.closures, service)) return
	const closedMs = Math.round(readNow() - since)
	ctx.log.write('service open', { service, closedMs })
	serveWaiting(ctx)
}
