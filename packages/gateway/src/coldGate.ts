/** Keeps this entry's requests to cold servers within its share of their bound. */

import type { ServerWarmth } from '@juniperhook/core'
import {
	coldShareOf,
	countSharers,
	listStartsDueMs,
	recordStart,
	recordTurn,
	startsLeft,
	warmthOf,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { permitHomeOf } from './permitHome.ts'

/** This entry's use of a cold server. */
interface ColdUse {
	/** Requests that it may start there within the window. */
	readonly share: number
	/** Those that it may start now. */
	readonly left: number
	/** Entries that share the bound. */
	readonly sharers: number
}

/**
 * Updates the rows of cold servers; returns the rows at which this entry may start no
 * request now.
 */
export function listSpentRows(ctx: GatewayContext): Set<number> {
	const spent = new Set<number>()
	const { table } = ctx.fleet
	const now = readElapsed()
	recordTurn(ctx.coldGate.starts, now)
	for (const server of ctx.sharedState.coldServers.keys()) {
		const row = table.rowOf.get(server)
		if (row === undefined || table.open[row] !== 1) continue
		const use = useOf(ctx, server, now)
		table.startsLeft[row] = use
			? use.left * use.sharers
			: Number.POSITIVE_INFINITY
		if (use && use.left < 1) spent.add(row)
	}
	return spent
}

/**
 * Counts a request about to be sent. Where a service publishes a rate for cold servers,
 * those to its warm servers are counted as well: one may turn out to be cold already.
 */
export function countStart(ctx: GatewayContext, server: string): void {
	if (coldStartOf(ctx, server))
		recordStart(ctx.coldGate.starts, server, readElapsed())
}

/**
 * Returns the times until this entry may start further requests at a server, ascending,
 * ms; undefined while it may.
 */
export function listColdDueMs(
	ctx: GatewayContext,
	server: string,
	now: number,
): readonly number[] | undefined {
	const use = useOf(ctx, server, now)
	if (!use || use.left >= 1) return undefined
	return listStartsDueMs(ctx.coldGate.starts, server, use.share, now)
}

/** Returns the state of a server. */
export function serverWarmthOf(
	ctx: GatewayContext,
	server: string,
	now: number,
): ServerWarmth {
	const { coldServers } = ctx.sharedState
	return warmthOf(coldServers, server, coldStartOf(ctx, server), now)
}

function coldStartOf({ fleet, routes }: GatewayContext, server: string) {
	const row = fleet.table.rowOf.get(server)
	if (row === undefined) return undefined
	return routes?.services.get(fleet.servers[row]!.service)?.cold
}

function useOf(
	ctx: GatewayContext,
	server: string,
	now: number,
): ColdUse | undefined {
	const warmth = serverWarmthOf(ctx, server, now)
	if (warmth.kind === 'warm') return undefined
	const { settings, coldGate } = ctx
	const sharers = countEntries(ctx, now)
	const share = coldShareOf({
		bound: { perSecond: warmth.perSecond, ...settings.coldAllowance },
		sharers,
		isHome: () => isHomeOf(ctx, server),
	})
	return {
		share,
		left: startsLeft(coldGate.starts, server, share, now),
		sharers,
	}
}

function countEntries(ctx: GatewayContext, now: number): number {
	const { settings, permitHomes, entryCount, hasPeerState, startedAt } = ctx
	const knowledge = {
		known: Math.max(permitHomes.membership.count.known, entryCount),
		hasOthers: settings.seeds.some(seed => seed !== settings.control),
		hasPeerState,
		upMs: now - startedAt,
	}
	return countSharers(ctx.coldGate.peak, knowledge, now)
}

/** Whether this entry is a server's permit home and reaches a majority of the entries. */
function isHomeOf(ctx: GatewayContext, server: string): boolean {
	const { reachable, known } = ctx.permitHomes.membership.count
	const isMajority = 2 * reachable > known
	return isMajority && permitHomeOf(ctx, server) === ctx.settings.control
}
