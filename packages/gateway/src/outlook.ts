/**
 * Forecasts when a service can take requests while all of its servers are
 * restricted, by a rate limit or by a backoff that they requested.
 */

import {
	listDueMs,
	perSecondOf,
	REST_TRY_MS,
	restLeftMs,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { heldOf } from './permitGate.ts'

/** When the servers of a service may be sent requests. */
export interface Outlook {
	/** Restriction of the server that is available first. */
	readonly kind: 'limited' | 'resting'
	/** Times from now at which held permits become valid, ascending, ms. */
	readonly dueMs: readonly number[]
	/** Time from now until requests beyond the held permits may be sent, ms. */
	readonly moreMs: number
	/** Interval between those further requests, ms. */
	readonly gapMs: number
}

/** The forecast for one server. */
type ServerOutlook = Pick<Outlook, 'kind' | 'dueMs' | 'moreMs'>

/** Returns the forecast for a service; undefined while a server is unrestricted. */
export function outlookOf(
	ctx: GatewayContext,
	service: string,
): Outlook | undefined {
	const { fleet, rateLimits, rests } = ctx
	if (rateLimits.size + rests.size === 0) return undefined
	const rows = fleet.rowsOf.get(service) ?? []
	const now = readElapsed()
	const forecasts: ServerOutlook[] = []
	for (const row of rows) {
		const forecast = forecastServer(ctx, fleet.servers[row]!.id, now)
		if (!forecast) return undefined
		forecasts.push(forecast)
	}
	const [first] = forecasts.sort((a, b) => a.moreMs - b.moreMs)
	if (!first) return undefined
	const { kind, moreMs } = first
	const dueMs = forecasts
		.flatMap(forecast => forecast.dueMs)
		.sort((a, b) => a - b)
	return { kind, dueMs, moreMs, gapMs: kind === 'resting' ? REST_TRY_MS : 0 }
}

function forecastServer(
	ctx: GatewayContext,
	server: string,
	now: number,
): ServerOutlook | undefined {
	const restMs = restLeftMs(ctx.rests, server, now)
	if (perSecondOf(ctx.rateLimits, server) === undefined)
		return restMs > 0
			? { kind: 'resting', dueMs: [], moreMs: restMs }
			: undefined
	const held = heldOf(ctx, server)
	const { isAsking, notBefore } = held
	const moreMs = isAsking ? 0 : Math.max(0, notBefore - now)
	return {
		kind: restMs > moreMs ? 'resting' : 'limited',
		dueMs: listDueMs(held, now).map(ms => Math.max(ms, restMs)),
		moreMs: Math.max(moreMs, restMs),
	}
}

/** Returns the expected wait of a request with `before` others ahead of it, ms. */
export function outlookWaitMs(
	{ dueMs, moreMs, gapMs }: Outlook,
	before: number,
): number {
	return dueMs[before] ?? moreMs + (before - dueMs.length) * gapMs
}
