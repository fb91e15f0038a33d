/** Permits granted to this entry: each request to a rate-limited server consumes one. */

import type { HeldPermits } from '@juniperhook/core'
import {
	consumePermit,
	createHeldPermits,
	hasPermit,
	rateLimitOf,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { listOpenRows } from './fleet.ts'

/** Rows of rate-limited servers. */
export interface LimitedRows {
	/** Rows with a usable permit. */
	readonly permitted: ReadonlySet<number>
	/** Rows without a usable permit. */
	readonly exhausted: ReadonlySet<number>
}

const NO_ROWS: ReadonlySet<number> = new Set()

/** Lists the rate-limited servers of a service, with and without a usable permit. */
export function listLimited(ctx: GatewayContext, service: string): LimitedRows {
	if (ctx.rateLimits.size === 0)
		return { permitted: NO_ROWS, exhausted: NO_ROWS }
	const { fleet, rateLimits, permits } = ctx
	const permitted = new Set<number>()
	const exhausted = new Set<number>()
	const now = readElapsed()
	for (const row of listOpenRows(fleet, service)) {
		const { id } = fleet.servers[row]!
		if (rateLimitOf(rateLimits, id) === undefined) continue
		const held = permits.held.get(id)
		if (held && hasPermit(held, now)) permitted.add(row)
		else exhausted.add(row)
	}
	return { permitted, exhausted }
}

/** Consumes a permit for a request about to be sent, if the server is rate-limited. */
export function consumePermitFor(
	{ permits }: GatewayContext,
	server: string,
): void {
	const held = permits.held.get(server)
	if (held) consumePermit(held, readElapsed())
}

/** Returns the permits held for a server. */
export function heldPermitsOf(
	{ permits }: GatewayContext,
	server: string,
): HeldPermits {
	const known = permits.held.get(server)
	if (known) return known
	const held = createHeldPermits()
	permits.held.set(server, held)
	return held
}

/** Drops the permits of a server whose limit has changed. */
export function dropPermits({ permits }: GatewayContext, server: string): void {
	permits.held.delete(server)
}

/** Drops permits, pools and permit homes of servers that have no limit any more. */
export function dropUnlimitedPermits(ctx: GatewayContext): void {
	const { permits, permitHomes, rateLimits } = ctx
	for (const map of [permits.held, permitHomes.pools, permitHomes.homes])
		for (const server of map.keys())
			if (rateLimitOf(rateLimits, server) === undefined) map.delete(server)
}
