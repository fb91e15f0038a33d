/** Chooses a server with a free slot for a request, where its group admits it. */

import {
	chooseRow,
	isGroupClosed,
	listFullGroups,
	recordBackoffProbe,
	tryEnterGroup,
} from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import { countStart, listSpentRows } from './coldGate.ts'
import type { GatewayContext } from './context.ts'
import { groupOf, meterOf, trackInFlight } from './fleet.ts'
import { decideAdmission } from './groupAdmission.ts'
import { consumePermitFor, listLimited } from './permitGate.ts'
import { listBackingOff } from './serverBackoffs.ts'
import type { AdmissionCandidate, Grant } from './waiter.ts'

/** Result of a choice. */
export interface ServerChoice {
	readonly grant: Grant
	/**
	 * Largest fraction that an open group admits of requests like this one; undefined if
	 * no group limits them by a fraction.
	 */
	readonly bestFraction: number | undefined
}

/**
 * Requests that an engine may queue beyond its slots: none. A request queued there
 * waits until one of that engine's few streams ends; in the queue here, until any
 * stream of the service ends.
 */
const ENGINE_QUEUE_CAPACITY = 0
/** Requests that a plain server may queue beyond its slots. */
const PLAIN_QUEUE_CAPACITY = 6

/** Chooses a server with a free slot for a request, and assigns the request to it. */
export function chooseServer(
	ctx: GatewayContext,
	service: string,
	triedIds: ReadonlySet<string>,
	candidate: AdmissionCandidate,
): ServerChoice {
	const { fleet, routes } = ctx
	const tried = new Set<number>()
	for (const id of triedIds) {
		const row = fleet.table.rowOf.get(id)
		if (row !== undefined) tried.add(row)
	}
	const now = readNow()
	const isEngine = routes?.services.get(service)?.engine !== undefined
	const { permitted, exhausted } = listLimited(ctx, service)
	// First, as the capacity of groups depends on their cold ranks.
	const spent = listSpentRows(ctx)
	const groups = listUnavailableGroups(ctx, candidate, now)
	const { bestFraction } = groups
	const query = {
		rows: fleet.rowsByService.get(service) ?? [],
		tried,
		queueCapacity: isEngine ? ENGINE_QUEUE_CAPACITY : PLAIN_QUEUE_CAPACITY,
		closedGroups: groups.unavailable,
		localRows: fleet.localRows,
		unreportedSends: meterOf(fleet, service).unreportedSends,
		permitted,
		withheld: new Set([
			...exhausted,
			...listBackingOff(ctx, service),
			...spent,
		]),
		unreadLoad: candidate.work?.unreadLoad ?? 0,
	}
	const choice = chooseRow(fleet.table, query, now, ctx.random)
	if (choice.kind === 'none' && query.rows.length > 0)
		return { grant: { kind: 'evacuated' }, bestFraction }
	if (choice.kind !== 'row') return { grant: choice, bestFraction }
	const server = fleet.servers[choice.row]!
	if (!tryEnterGroup(ctx.closures, groupOf(server), now))
		return { grant: { kind: 'full' }, bestFraction }
	const { id } = server
	consumePermitFor(ctx, id)
	countStart(ctx, id)
	recordBackoffProbe(ctx.backoffs, id, readElapsed())
	trackInFlight(fleet, id, 1)
	return { grant: { kind: 'server', id }, bestFraction }
}

/** Groups that take no request of a candidate. */
interface GroupChoice {
	readonly unavailable: ReadonlySet<number>
	readonly bestFraction: number | undefined
}

function listUnavailableGroups(
	ctx: GatewayContext,
	candidate: AdmissionCandidate,
	now: number,
): GroupChoice {
	const { fleet } = ctx
	const unavailable = new Set<number>()
	const isUnfit = (group: string) =>
		candidate.work?.unfitGroups.has(group) ?? false
	for (const [number, group] of fleet.groups.entries())
		if (isGroupClosed(ctx.closures, group, now) || isUnfit(group))
			unavailable.add(number)
	const closed = new Set(unavailable)
	let bestFraction: number | undefined
	const accepts = (group: number, freeSlots: number) => {
		const { fraction, isAdmitted } = decideAdmission(
			fleet,
			group,
			freeSlots,
			candidate,
		)
		if (fraction !== undefined && !closed.has(group))
			bestFraction = Math.max(bestFraction ?? fraction, fraction)
		return isAdmitted
	}
	const full = listFullGroups(fleet.table, accepts, fleet.peerScale)
	for (const number of full) unavailable.add(number)
	return { unavailable, bestFraction }
}
