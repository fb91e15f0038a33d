/** Lock-step groups that are broken and refuse at every rank. */

import type { ListedServer, Spell } from '@juniperhook/core'
import {
	beginSpell,
	createSpell,
	endSpell,
	expectSpellEnd,
	noteClosed,
	noteOpen,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { groupOf } from './fleet.ts'
import { serveWaiting } from './waiting.ts'

const UNAVAILABLE = 503
/**
 * Formings of a group that requests wait for at the start of this process. After
 * a loss of power, engines are back when entries are, and their group opens one
 * forming later; callers give a stream up after 2 s.
 */
const FORMINGS_WAITED = 2
/**
 * How long a group is assumed to be away before an outage was seen, besides its
 * forming, ms: for a process to be started again and to load its weights.
 */
const FIRST_OUTAGE_MS = 2_000

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

/** Notes that a rank's group refuses. */
export function closeGroup(ctx: GatewayContext, rank: ListedServer): void {
	const now = readNow()
	const group = groupOf(rank)
	if (!ctx.closures.has(group)) ctx.log.write('group closed', { group })
	noteClosed(ctx.closures, group, now)
	beginSpell(outageOf(ctx, rank), now)
	if (ctx.openUntil.has(group)) return
	const reformMs = layoutOf(ctx, rank.service)?.reformMs ?? 0
	ctx.openUntil.set(group, now + FORMINGS_WAITED * reformMs)
}

/** Notes that a rank's group takes requests, if it did not. */
export function openGroup(ctx: GatewayContext, rank: ListedServer): void {
	const group = groupOf(rank)
	ctx.openUntil.set(group, 0)
	const since = ctx.closures.get(group)?.since
	if (since === undefined || !noteOpen(ctx.closures, group)) return
	const now = readNow()
	endSpell(outageOf(ctx, rank), now)
	const closedMs = Math.round(now - since)
	ctx.log.write('group open', { group, closedMs })
	serveWaiting(ctx)
}

/** Whether all servers of a service belong to groups that refuse. */
export function isServiceClosed(ctx: GatewayContext, service: string): boolean {
	const rows = ctx.fleet.rowsOf.get(service) ?? []
	if (rows.length === 0 || ctx.closures.size === 0) return false
	return rows.every(row => ctx.closures.has(groupOf(ctx.fleet.servers[row]!)))
}

/** Outages of a rank's group. */
function outageOf(ctx: GatewayContext, rank: ListedServer): Spell {
	const group = groupOf(rank)
	const known = ctx.outages.get(group)
	if (known) return known
	const reformMs = layoutOf(ctx, rank.service)?.reformMs ?? 0
	const outage = createSpell(FIRST_OUTAGE_MS + reformMs)
	ctx.outages.set(group, outage)
	return outage
}

/** When the first group of a service that refuses is expected to open, ms. */
export function expectOpenMs(
	ctx: GatewayContext,
	service: string,
	now: number,
): number {
	if (!isServiceClosed(ctx, service)) return 0
	const rows = ctx.fleet.rowsOf.get(service) ?? []
	const outages = rows.map(row => outageOf(ctx, ctx.fleet.servers[row]!))
	return Math.min(...outages.map(outage => expectSpellEnd(outage, now)))
}

/** How long a request may wait for a service that refuses, ms. */
export function closedWaitMs(ctx: GatewayContext, service: string): number {
	const rows = ctx.fleet.rowsOf.get(service) ?? []
	const groups = new Set(rows.map(row => groupOf(ctx.fleet.servers[row]!)))
	const expected = [...groups].map(group => ctx.openUntil.get(group) ?? 0)
	return Math.max(0, ...expected) - readNow()
}
