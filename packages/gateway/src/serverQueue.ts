/** Requests that wait for a server with room, by priority and then by team. */

import {
	chooseRow,
	dequeue,
	enqueue,
	type FairQueue,
	isGroupClosed,
	listFullGroups,
	markBlocked,
	markUnblocked,
	predictWaitMs,
	recordBackoffProbe,
	recordDispatch,
	removeQueued,
	tryEnterGroup,
} from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import type { AvailabilityForecast } from './availabilityForecast.ts'
import { forecastAvailability, forecastWaitMs } from './availabilityForecast.ts'
import type { GatewayContext } from './context.ts'
import { isAdmitted, isRationed } from './entryDemand.ts'
import { groupOf, meterOf, queueOf, trackInFlight } from './fleet.ts'
import { listLimited, spendPermit } from './permitGate.ts'
import { requestPermits } from './permitRequest.ts'
import type { Pressure } from './pressure.ts'
import { pressureOf } from './pressure.ts'
import { listBackingOff } from './serverBackoffs.ts'
import type { AcquireOptions, Grant, Waiter } from './waiter.ts'

/**
 * Requests that an engine may hold beyond its slots: none. One that waits there
 * waits for the end of one of a few streams; here, for that of any stream.
 */
const ENGINE_QUEUE_ROOM = 0
/** Requests that a plain server may hold beyond its slots. */
const PLAIN_QUEUE_ROOM = 6

/** Gets a server with room; the caller gives it back with `noteHeld`. */
export function acquireServer(
	ctx: GatewayContext,
	wish: AcquireOptions,
): Promise<Grant> {
	const queue = queueOf(ctx.fleet, wish.service)
	const pressure = pressureOf(ctx.pressures, wish.service)
	const now = readNow()
	const callers = queue.waiting.length + 1
	askAhead(ctx, wish.service, callers, 0)
	if (queue.waiting.length === 0) {
		const grant = choose(ctx, wish.service, wish.tried, wish.admissionDraw)
		if (grant.kind === 'server') {
			recordDispatch(pressure.flow, now)
			// One that is taken of many that are not does not end a full spell.
			if (!isRationed(ctx.fleet, wish.service))
				markUnblocked(pressure.full, now)
		}
		if (grant.kind !== 'full') return Promise.resolve(grant)
	}
	markBlocked(pressure.full, now)
	askAhead(ctx, wish.service, callers, wish.waitMs)
	const outlook = forecastAvailability(ctx, wish.service)
	if (waitsTooLong(queue, wish, pressure, outlook, now))
		return Promise.resolve({ kind: outlook?.kind ?? 'full' })
	return waitInQueue(ctx, queue, wish, now)
}

/** Waits until a server has room, and no longer than is wished. */
function waitInQueue(
	ctx: GatewayContext,
	queue: FairQueue<Waiter>,
	wish: AcquireOptions,
	now: number,
): Promise<Grant> {
	return new Promise(resolve => {
		const leave = (grant: Grant) => {
			clearTimeout(timer)
			wish.signal.removeEventListener('abort', giveUp)
			removeQueued(queue, waiter)
			resolve(grant)
		}
		const giveUp = () =>
			leave({ kind: forecastAvailability(ctx, wish.service)?.kind ?? 'full' })
		const waiter: Waiter = {
			...wish,
			until: now + wish.waitMs,
			weight: 1,
			virtualStart: 0,
			order: 0,
			grant: leave,
		}
		const timer = setTimeout(giveUp, wish.waitMs)
		wish.signal.addEventListener('abort', giveUp)
		enqueue(queue, waiter)
	})
}

/** One that surely waits too long is told so now, not when its time is over. */
function waitsTooLong(
	queue: FairQueue<Waiter>,
	wish: AcquireOptions,
	{ flow }: Pressure,
	outlook: AvailabilityForecast | undefined,
	now: number,
): boolean {
	const before = queue.waiting.filter(one => one.priority <= wish.priority)
	if (outlook) return forecastWaitMs(outlook, before.length) > wish.waitMs
	if (!wish.slotsFreeOneByOne) return wish.waitMs <= 0
	return predictWaitMs(flow, before.length, now) > wish.waitMs
}

/** Gives waiting requests the servers that have room now. */
export function serveQueues(ctx: GatewayContext): void {
	for (const queue of ctx.fleet.queues.values()) serveQueue(ctx, queue)
}

function serveQueue(ctx: GatewayContext, queue: FairQueue<Waiter>): void {
	for (let next = queue.waiting[0]; next; next = queue.waiting[0]) {
		const grant = choose(ctx, next.service, next.tried, next.admissionDraw)
		if (grant.kind === 'full') {
			refuseHopeless(ctx, queue)
			return
		}
		dequeue(queue)
		if (grant.kind === 'server')
			recordDispatch(pressureOf(ctx.pressures, next.service).flow, readNow())
		next.grant(grant)
	}
}

/** Asks for permits; an answer that comes later finds those who wait. */
function askAhead(
	ctx: GatewayContext,
	service: string,
	callers: number,
	withinMs: number,
): void {
	requestPermits(ctx, service, { count: callers, withinMs }, () =>
		serveQueue(ctx, queueOf(ctx.fleet, service)),
	)
}

/** Asks for permits for those who wait, and refuses whom no server can take in time. */
function refuseHopeless(ctx: GatewayContext, queue: FairQueue<Waiter>): void {
	const waiting = [...queue.waiting]
	const { service } = waiting[0]!
	const now = readNow()
	const longest = Math.max(...waiting.map(({ until }) => until - now))
	askAhead(ctx, service, waiting.length, longest)
	const outlook = forecastAvailability(ctx, service)
	if (!outlook) return
	for (const [before, { until, grant }] of waiting.entries())
		if (forecastWaitMs(outlook, before) > until - now)
			grant({ kind: outlook.kind })
}

function choose(
	ctx: GatewayContext,
	service: string,
	triedIds: ReadonlySet<string>,
	luck: number,
): Grant {
	const { fleet, routes } = ctx
	const tried = new Set<number>()
	for (const id of triedIds) {
		const row = fleet.table.rowOf.get(id)
		if (row !== undefined) tried.add(row)
	}
	const now = readNow()
	const isEngine = routes?.services.get(service)?.engine !== undefined
	const { permitted, exhausted: spent } = listLimited(ctx, service)
	const query = {
		rows: fleet.rowsByService.get(service) ?? [],
		tried,
		queueCapacity: isEngine ? ENGINE_QUEUE_ROOM : PLAIN_QUEUE_ROOM,
		closedGroups: listShutGroups(ctx, luck, now),
		localRows: fleet.localRows,
		unreportedSends: meterOf(fleet, service).sentSinceReport,
		permitted,
		withheld: new Set([...spent, ...listBackingOff(ctx, service)]),
	}
	const choice = chooseRow(fleet.table, query, now, ctx.random)
	if (choice.kind !== 'row') return choice
	const server = fleet.servers[choice.row]!
	if (!tryEnterGroup(ctx.closures, groupOf(server), now))
		return { kind: 'full' }
	const { id } = server
	spendPermit(ctx, id)
	recordBackoffProbe(ctx.backoffs, id, readElapsed())
	trackInFlight(fleet, id, 1)
	return { kind: 'server', id }
}

function listShutGroups(
	ctx: GatewayContext,
	luck: number,
	now: number,
): Set<number> {
	const shut = new Set<number>()
	for (const [number, group] of ctx.fleet.groups.entries())
		if (isGroupClosed(ctx.closures, group, now)) shut.add(number)
	const { fleet } = ctx
	const isOpen = (group: number, room: number) =>
		isAdmitted(fleet, group, room, luck)
	const full = listFullGroups(fleet.table, isOpen, fleet.peerScale)
	for (const number of full) shut.add(number)
	return shut
}
