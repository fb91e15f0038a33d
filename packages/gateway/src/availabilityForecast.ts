/**
 * What the callers of a service may expect while none of its servers may be sent a
 * request freely: each has a limit, or has asked for rest.
 */

import {
	BACKOFF_PROBE_INTERVAL_MS,
	backoffLeftMs,
	listDueMs,
	rateLimitOf,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { heldPermitsOf } from './permitGate.ts'

/** When a service's servers may be sent requests. */
export interface AvailabilityForecast {
	/** What keeps the one that may be sent the next. */
	readonly kind: 'limited' | 'resting'
	/** When held permits may be used, from now, the soonest first, ms. */
	readonly dueMs: readonly number[]
	/** From now until more may be sent, ms. */
	readonly nextMs: number
	/** Between two of those, ms. */
	readonly intervalMs: number
}

/** One server's part of it. */
type ServerOutlook = Pick<AvailabilityForecast, 'kind' | 'dueMs' | 'moreMs'>

/** What a service's callers may expect; undefined while a server is free to be sent to. */
export function forecastAvailability(
	ctx: GatewayContext,
	service: string,
): AvailabilityForecast | undefined {
	const { fleet, rateLimits, backoffs: rests } = ctx
	if (rateLimits.size + rests.size === 0) return undefined
	const rows = fleet.rowsByService.get(service) ?? []
	const now = readElapsed()
	const all: ServerOutlook[] = []
	for (const row of rows) {
		const one = outlookOfServer(ctx, fleet.servers[row]!.id, now)
		if (!one) return undefined
		all.push(one)
	}
	const [first] = all.sort((a, b) => a.nextMs - b.nextMs)
	if (!first) return undefined
	const { kind, nextMs: moreMs } = first
	const dueMs = all.flatMap(one => one.dueMs).sort((a, b) => a - b)
	return {
		kind,
		dueMs,
		nextMs: moreMs,
		intervalMs: kind === 'resting' ? BACKOFF_PROBE_INTERVAL_MS : 0,
	}
}

function outlookOfServer(
	ctx: GatewayContext,
	server: string,
	now: number,
): ServerOutlook | undefined {
	const restMs = backoffLeftMs(ctx.backoffs, server, now)
	if (rateLimitOf(ctx.rateLimits, server) === undefined)
		return restMs > 0
			? { kind: 'resting', dueMs: [], nextMs: restMs }
			: undefined
	const held = heldPermitsOf(ctx, server)
	const { isRequestPending: isAsking, notBefore } = held
	const moreMs = isAsking ? 0 : Math.max(0, notBefore - now)
	return {
		kind: restMs > moreMs ? 'resting' : 'limited',
		dueMs: listDueMs(held, now).map(ms => Math.max(ms, restMs)),
		nextMs: Math.max(moreMs, restMs),
	}
}

/** How long the request after `before` others will wait, ms. */
export function forecastWaitMs(
	{ dueMs, nextMs: moreMs, intervalMs: gapMs }: AvailabilityForecast,
	before: number,
): number {
	return dueMs[before] ?? moreMs + (before - dueMs.length) * gapMs
}
