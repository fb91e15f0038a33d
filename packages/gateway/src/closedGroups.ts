/** Closes lock-step groups whose ranks all refuse requests, and opens them again. */

import type {
	BlockageRange,
	BlockageTracker,
	ListedServer,
	TrafficRoute,
} from '@juniperhook/core'
import {
	clearGroupClosure,
	createBlockageTracker,
	estimateBlockageMs,
	estimateBlockageRange,
	markBlocked,
	markUnblocked,
	recordGroupRefused,
	recordGroupReportedBroken,
} from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { groupOf, listOpenRows, serviceOf } from './fleet.ts'
import type { CallerRequest } from './job.ts'
import { forgetPace } from './workState.ts'

const UNAVAILABLE = 503
/**
 * Share of the caller's timeout during which a request waits while its group re-forms;
 * the remainder is left for the network and for processing the prompt.
 */
const WAIT_SHARE = 0.85
/**
 * Assumed duration of a group's first outage in addition to its re-forming, ms: the time
 * to restart a process and to load its weights.
 */
const INITIAL_OUTAGE_MS = 2_000

/**
 * Time after which the ranks of a closed group count as stalled, ms: ranks that crash
 * together, as on one VM, are all detected within it.
 */
const STALLED_AFTER_MS = 500

/**
 * Whether a refusal applies to all ranks of a lock-step group; a rank that has requested
 * a backoff refuses for itself only.
 */
export function isGroupRefusal(
	ctx: GatewayContext,
	{ id, service }: ListedServer,
	status: number,
): boolean {
	return (
		status === UNAVAILABLE && isGrouped(ctx, service) && !ctx.backoffs.has(id)
	)
}

/** Whether the service's servers are ranks of lock-step groups. */
export function isGrouped(ctx: GatewayContext, service: string): boolean {
	return expertLayoutOf(ctx, service) !== undefined
}

function expertLayoutOf(ctx: GatewayContext, service: string) {
	return ctx.routes?.services.get(service)?.engine?.experts
}

/** Marks a group as closed because one of its ranks has refused a request. */
export function handleGroupRefusal(ctx: GatewayContext, group: string): void {
	markClosed(ctx, group, 'answer')
	recordGroupRefused(ctx.closures, group, readNow())
}

/** Marks a group as closed because of its coordinator's report or a rank's crash. */
export function handleGroupBroken(
	ctx: GatewayContext,
	group: string,
	from: 'coordinator' | 'end',
): void {
	markClosed(ctx, group, from)
	recordGroupReportedBroken(ctx.closures, group, readNow())
}

/**
 * Closes the group of a crashed rank at once. The other ranks are stalled, and would hold
 * requests sent to them until they refuse them.
 */
export function handleRankCrash(
	ctx: GatewayContext,
	server: ListedServer,
): void {
	if (isGrouped(ctx, server.service))
		handleGroupBroken(ctx, groupOf(server), 'end')
}

/**
 * Returns for how long the ranks of a server's group have been stalled, ms; 0 if they are
 * not. They then abort the requests that they hold because the group is stalled, not
 * because they have crashed.
 */
export function stalledForMs(
	{ closures }: GatewayContext,
	server: ListedServer,
): number {
	const since = closures.get(groupOf(server))?.since
	if (since === undefined) return 0
	return Math.max(0, readNow() - since - STALLED_AFTER_MS)
}

/** Evidence that a group is closed or open. */
type GroupEvidence = 'answer' | 'coordinator' | 'end'

function markClosed(
	ctx: GatewayContext,
	group: string,
	from: GroupEvidence,
): void {
	const now = readNow()
	if (!ctx.closures.has(group)) ctx.log.write('group closed', { group, from })
	forgetPace(ctx, group)
	markBlocked(blockageOf(ctx, group), now)
	if (ctx.expectedOpenAt.has(group)) return
	ctx.expectedOpenAt.set(
		group,
		now + INITIAL_OUTAGE_MS + reformMsOf(ctx, group),
	)
}

/** Marks a group as open. Returns whether it was closed before. */
export function handleGroupOpened(
	ctx: GatewayContext,
	group: string,
	from: GroupEvidence,
): boolean {
	if (from === 'answer') ctx.expectedOpenAt.set(group, 0)
	const since = ctx.closures.get(group)?.since
	if (since === undefined || !clearGroupClosure(ctx.closures, group))
		return false
	forgetPace(ctx, group)
	const now = readNow()
	markUnblocked(blockageOf(ctx, group), now)
	const closedMs = Math.round(now - since)
	ctx.log.write('group open', { group, closedMs, from })
	return true
}

/** Whether all servers of a service belong to closed groups. */
export function isServiceClosed(ctx: GatewayContext, service: string): boolean {
	const rows = listOpenRows(ctx.fleet, service)
	if (rows.length === 0 || ctx.closures.size === 0) return false
	return rows.every(row => ctx.closures.has(groupOf(ctx.fleet.servers[row]!)))
}

/** Returns the outage history of a group. */
function blockageOf(ctx: GatewayContext, group: string): BlockageTracker {
	const known = ctx.blockages.get(group)
	if (known) return known
	const blockage = createBlockageTracker(
		INITIAL_OUTAGE_MS + reformMsOf(ctx, group),
	)
	ctx.blockages.set(group, blockage)
	return blockage
}

function reformMsOf(ctx: GatewayContext, group: string): number {
	return expertLayoutOf(ctx, serviceOf(group))?.reformMs ?? 0
}

/** Returns the expected time until the first group of a closed service opens, ms. */
export function expectedReopenMs(
	ctx: GatewayContext,
	service: string,
	now: number,
): number {
	if (!isServiceClosed(ctx, service)) return 0
	const rows = listOpenRows(ctx.fleet, service)
	const blockages = rows.map(row =>
		blockageOf(ctx, groupOf(ctx.fleet.servers[row]!)),
	)
	return Math.min(...blockages.map(one => estimateBlockageMs(one, now)))
}

/** Estimates when the first group of a closed service opens, ms from now. */
export function estimateOpening(
	ctx: GatewayContext,
	service: string,
	now: number,
): BlockageRange {
	if (!isServiceClosed(ctx, service)) return { expectedMs: 0, latestMs: 0 }
	const rows = ctx.fleet.rowsByService.get(service) ?? []
	const groups = new Set(rows.map(row => groupOf(ctx.fleet.servers[row]!)))
	const ranges = [...groups].map(group =>
		estimateBlockageRange(blockageOf(ctx, group), now),
	)
	return {
		expectedMs: Math.min(...ranges.map(({ expectedMs }) => expectedMs)),
		latestMs: Math.min(...ranges.map(({ latestMs }) => latestMs)),
	}
}

/**
 * Returns how long a request may wait for a closed service, ms. A caller that comes back
 * as told waits as long as it can: it does not come a second time.
 */
export function maxClosedWaitMs(
	ctx: GatewayContext,
	service: string,
	{ route, arrivedAt }: Pick<CallerRequest, 'route' | 'arrivedAt'>,
	isReturn = false,
): number {
	const rows = listOpenRows(ctx.fleet, service)
	const groups = new Set(rows.map(row => groupOf(ctx.fleet.servers[row]!)))
	const expected = [...groups].map(group => ctx.expectedOpenAt.get(group) ?? 0)
	const now = readNow()
	const waitUntil =
		now - (readElapsed() - arrivedAt) + WAIT_SHARE * eventTimeoutMs(ctx, route)
	if (isReturn) return waitUntil - now
	return Math.min(Math.max(0, ...expected), waitUntil) - now
}

/** Returns how long a caller waits for the first event of a stream, ms. */
function eventTimeoutMs(
	{ settings }: GatewayContext,
	{ targetMs, maxPauseMs }: TrafficRoute,
): number {
	const { minMs, targetFactor, pauseFactor } = settings.eventTimeout
	return Math.max(minMs, targetFactor * targetMs, pauseFactor * maxPauseMs)
}
