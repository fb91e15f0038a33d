/** Lock-step groups that are broken and refuse at every rank. */

import type { ListedServer, Spell, TrafficRoute } from '@juniperhook/core'
import {
	beginSpell,
	createSpell,
	endSpell,
	expectSpellEnd,
	noteClosed,
	noteOpen,
	noteToldClosed,
} from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { groupOf, serviceOf } from './fleet.ts'
import type { CallerRequest } from './job.ts'

const UNAVAILABLE = 503
/**
 * Part of a caller's patience for which a request is kept while its group forms;
 * the rest is for the way and the prompt.
 */
const PATIENCE_SHARE = 0.85
/**
 * How long a group is assumed to be away before an outage was seen, besides its
 * forming, ms: for a process to be started again and to load its weights.
 */
const FIRST_OUTAGE_MS = 2_000

/** Ranks that end together, as on one VM, are seen to within this time, ms. */
const OLD_CLOSURE_MS = 500

/**
 * Whether a refusal speaks for all ranks of a lock-step group; that of a rank which has
 * asked for rest speaks for itself.
 */
export function isGroupRefusal(
	ctx: GatewayContext,
	{ id, service }: ListedServer,
	status: number,
): boolean {
	return status === UNAVAILABLE && isGrouped(ctx, service) && !ctx.rests.has(id)
}

/** Whether the service's servers are ranks of lock-step groups. */
export function isGrouped(ctx: GatewayContext, service: string): boolean {
	return layoutOf(ctx, service) !== undefined
}

function layoutOf(ctx: GatewayContext, service: string) {
	return ctx.routes?.services.get(service)?.engine?.experts
}

/** Notes that a group refuses, as one of its ranks has answered. */
export function closeGroup(ctx: GatewayContext, group: string): void {
	beginOutage(ctx, group, 'answer')
	noteClosed(ctx.closures, group, readNow())
}

/** Notes that a group is broken, as its coordinator or the end of a rank says. */
export function shutGroup(
	ctx: GatewayContext,
	group: string,
	from: 'coordinator' | 'end',
): void {
	beginOutage(ctx, group, from)
	noteToldClosed(ctx.closures, group, readNow())
}

/**
 * The ranks of a group stand still when one has ended, and hold what they are sent
 * until they refuse it: what is known of the end keeps requests from them.
 */
export function noteRankGone(ctx: GatewayContext, server: ListedServer): void {
	if (isGrouped(ctx, server.service)) shutGroup(ctx, groupOf(server), 'end')
}

/**
 * Whether a server's group had been closed for a while: its ranks break off what they
 * hold because the group stands still, each by itself lives.
 */
export function isGroupStalled(
	{ closures }: GatewayContext,
	server: ListedServer,
): boolean {
	const since = closures.get(groupOf(server))?.since
	return since !== undefined && readNow() - since > OLD_CLOSURE_MS
}

/** Who says that a group is closed or open. */
type Witness = 'answer' | 'coordinator' | 'end'

function beginOutage(ctx: GatewayContext, group: string, from: Witness): void {
	const now = readNow()
	if (!ctx.closures.has(group)) ctx.log.write('group closed', { group, from })
	beginSpell(outageOf(ctx, group), now)
	if (ctx.openUntil.has(group)) return
	ctx.openUntil.set(group, now + FIRST_OUTAGE_MS + reformMsOf(ctx, group))
}

/** Notes that a group takes requests; true if it did not before. */
export function openGroup(
	ctx: GatewayContext,
	group: string,
	from: Witness,
): boolean {
	if (from === 'answer') ctx.openUntil.set(group, 0)
	const since = ctx.closures.get(group)?.since
	if (since === undefined || !noteOpen(ctx.closures, group)) return false
	const now = readNow()
	endSpell(outageOf(ctx, group), now)
	const closedMs = Math.round(now - since)
	ctx.log.write('group open', { group, closedMs, from })
	return true
}

/** Whether all servers of a service belong to groups that refuse. */
export function isServiceClosed(ctx: GatewayContext, service: string): boolean {
	const rows = ctx.fleet.rowsOf.get(service) ?? []
	if (rows.length === 0 || ctx.closures.size === 0) return false
	return rows.every(row => ctx.closures.has(groupOf(ctx.fleet.servers[row]!)))
}

/** Outages of a group. */
function outageOf(ctx: GatewayContext, group: string): Spell {
	const known = ctx.outages.get(group)
	if (known) return known
	const outage = createSpell(FIRST_OUTAGE_MS + reformMsOf(ctx, group))
	ctx.outages.set(group, outage)
	return outage
}

function reformMsOf(ctx: GatewayContext, group: string): number {
	return layoutOf(ctx, serviceOf(group))?.reformMs ?? 0
}

/** When the first group of a service that refuses is expected to open, ms. */
export function expectOpenMs(
	ctx: GatewayContext,
	service: string,
	now: number,
): number {
	if (!isServiceClosed(ctx, service)) return 0
	const rows = ctx.fleet.rowsOf.get(service) ?? []
	const outages = rows.map(row =>
		outageOf(ctx, groupOf(ctx.fleet.servers[row]!)),
	)
	return Math.min(...outages.map(outage => expectSpellEnd(outage, now)))
}

/** How long a request may wait for a service that refuses, ms. */
export function closedWaitMs(
	ctx: GatewayContext,
	service: string,
	{ route, arrivedAt }: Pick<CallerRequest, 'route' | 'arrivedAt'>,
): number {
	const rows = ctx.fleet.rowsOf.get(service) ?? []
	const groups = new Set(rows.map(row => groupOf(ctx.fleet.servers[row]!)))
	const expected = [...groups].map(group => ctx.openUntil.get(group) ?? 0)
	const now = readNow()
	const keptUntil =
		now - (readElapsed() - arrivedAt) + PATIENCE_SHARE * patienceMs(ctx, route)
	return Math.min(Math.max(0, ...expected), keptUntil) - now
}

/** How long a caller waits for the first event of a stream, ms. */
function patienceMs(
	{ settings }: GatewayContext,
	{ targetMs, maxPauseMs }: TrafficRoute,
): number {
	const { leastMs, targetTimes, pauseTimes } = settings.patience
	return Math.max(leastMs, targetTimes * targetMs, pauseTimes * maxPauseMs)
}
