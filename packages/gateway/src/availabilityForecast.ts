/**
 * Forecasts when a service can take requests while all of its servers are
 * restricted, by a rate limit, by a backoff that they requested, or because they are
 * cold.
 */

import {
	BACKOFF_PROBE_INTERVAL_MS,
	backoffLeftMs,
	COLD_WINDOW_MS,
	listDueMs,
	rateLimitOf,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import { listColdDueMs } from './coldGate.ts'
import type { GatewayContext } from './context.ts'
import { listOpenRows } from './fleet.ts'
import { heldPermitsOf } from './permitGate.ts'

/** When the servers of a service may be sent requests. */
export interface AvailabilityForecast {
	/** Restriction of the server that is available first. */
	readonly kind: 'limited' | 'resting'
	/** Times from now at which held permits become valid, ascending, ms. */
	readonly dueMs: readonly number[]
	/** Time from now until requests beyond the held permits may be sent, ms. */
	readonly nextMs: number
	/** Interval between those further requests, ms. */
	readonly intervalMs: number
}

/** The forecast for one server. */
type ServerForecast = Pick<AvailabilityForecast, 'kind' | 'dueMs' | 'nextMs'>

/** Returns the forecast for a service; undefined while a server is unrestricted. */
export function forecastAvailability(
	ctx: GatewayContext,
	service: string,
): AvailabilityForecast | undefined {
	const { fleet, rateLimits, backoffs, sharedState } = ctx
	const { coldServers } = sharedState
	if (rateLimits.size + backoffs.size + coldServers.size === 0) return undefined
	const rows = listOpenRows(fleet, service)
	const now = readElapsed()
	const forecasts: ServerForecast[] = []
	for (const row of rows) {
		const forecast = forecastServer(ctx, fleet.servers[row]!.id, now)
		if (!forecast) return undefined
		forecasts.push(forecast)
	}
	const [first] = forecasts.sort((a, b) => a.nextMs - b.nextMs)
	if (!first) return undefined
	const { kind, nextMs } = first
	const dueMs = forecasts
		.flatMap(forecast => forecast.dueMs)
		.sort((a, b) => a - b)
	return {
		kind,
		dueMs,
		nextMs,
		intervalMs: kind === 'resting' ? BACKOFF_PROBE_INTERVAL_MS : 0,
	}
}

function forecastServer(
	ctx: GatewayContext,
	server: string,
	now: number,
): ServerForecast | undefined {
	const coldDueMs = listColdDueMs(ctx, server, now)
	if (coldDueMs)
		return { kind: 'limited', dueMs: coldDueMs, nextMs: COLD_WINDOW_MS }
	const backoffMs = backoffLeftMs(ctx.backoffs, server, now)
	if (rateLimitOf(ctx.rateLimits, server) === undefined)
		return backoffMs > 0
			? { kind: 'resting', dueMs: [], nextMs: backoffMs }
			: undefined
	const held = heldPermitsOf(ctx, server)
	const { isRequestPending, notBefore } = held
	const nextMs = isRequestPending ? 0 : Math.max(0, notBefore - now)
	return {
		kind: backoffMs > nextMs ? 'resting' : 'limited',
		dueMs: listDueMs(held, now).map(ms => Math.max(ms, backoffMs)),
		nextMs: Math.max(nextMs, backoffMs),
	}
}

/** Returns the expected wait of a request with `before` others ahead of it, ms. */
export function forecastWaitMs(
	{ dueMs, nextMs, intervalMs }: AvailabilityForecast,
	before: number,
): number {
	return dueMs[before] ?? nextMs + (before - dueMs.length) * intervalMs
}
