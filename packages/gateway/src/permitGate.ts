/**
 * The permits that an entry has been given: a server with a limit is sent nothing without
 * one.
 */

import type { HeldPermits } from '@juniperhook/core'
import {
	consumePermit,
	createHeldPermits,
	hasPermit,
	rateLimitOf,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'

/** Rows of servers with a limit. */
export interface LimitedRows {
	/** For which there is a permit. */
	readonly permitted: ReadonlySet<number>
	/** For which there is none now. */
	readonly exhausted: ReadonlySet<number>
}

const NO_ROWS: ReadonlySet<number> = new Set()

/** Which of a service's servers have a limit, and whether they may be sent to. */
export function listLimited(ctx: GatewayContext, service: string): LimitedRows {
	if (ctx.rateLimits.size === 0) return { permitted: NO_ROWS, exhausted: NO_ROWS }
	const { fleet, rateLimits, permits } = ctx
	const permitted = new Set<number>()
	const spent = new Set<number>()
	const now = readElapsed()
	for (const row of fleet.rowsByService.get(service) ?? []) {
		const { id } = fleet.servers[row]!
		if (rateLimitOf(rateLimits, id) === undefined) continue
		const held = permits.held.get(id)
		if (held && hasPermit(held, now)) permitted.add(row)
		else spent.add(row)
	}
	return { permitted, exhausted: spent }
}

/** Uses a permit for a request that is about to be sent, where it needs one. */
export function spendPermit({ permits }: GatewayContext, server: string): void {
	const held = permits.held.get(server)
	if (held) consumePermit(held, readElapsed())
}

/** What is held of a server's permits. */
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

/** Drops what is held of a server whose limit has changed. */
export function dropPermits({ permits }: GatewayContext, server: string): void {
	permits.held.delete(server)
}

/** Forgets permits, given and held, of servers that have no limit any more. */
export function dropUnlimitedPermits(ctx: GatewayContext): void {
	const { permits, permitHomes, rateLimits } = ctx
	for (const known of [permits.held, permitHomes.pools, permitHomes.homes])
		for (const server of known.keys())
			if (rateLimitOf(rateLimits, server) === undefined) known.delete(server)
}
