/** Queues requests for a server with a free slot, by priority and fairly by team. */

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
import { countStart, listSpentRows } from './coldGate.ts'
import type { GatewayContext } from './context.ts'
import { isAdmitted, isRationed } from './entryDemand.ts'
import { groupOf, meterOf, queueOf, trackInFlight } from './fleet.ts'
import { consumePermitFor, listLimited } from './permitGate.ts'
import { requestPermits } from './permitRequest.ts'
import type { Pressure } from './pressure.ts'
import { pressureOf } from './pressure.ts'
import { listBackingOff } from './serverBackoffs.ts'
import type {
	AcquireOptions,
	AdmissionCandidate,
	Grant,
	Waiter,
} from './waiter.ts'

/**
 * Requests that an engine may queue beyond its slots: none. A request queued there
 * waits until one of that engine's few streams ends; in the queue here, until any
 * stream of the service ends.
 */
const ENGINE_QUEUE_CAPACITY = 0
/** Requests that a plain server may queue beyond its slots. */
const PLAIN_QUEUE_CAPACITY = 6

/** Acquires a server with a free slot, to be freed with {@link trackInFlight}. */
export function acquireServer(
	ctx: GatewayContext,
	options: AcquireOptions,
): Promise<Grant> {
	const queue = queueOf(ctx.fleet, options.service)
	const pressure = pressureOf(ctx.pressures, options.service)
	const now = readNow()
	const demand = queue.waiting.length + 1
	requestPermitsAhead(ctx, options.service, demand, 0)
	if (queue.waiting.length === 0) {
		const grant = chooseServer(
			ctx,
			options.service,
			options.tried,
			options.candidate,
		)
		if (grant.kind === 'server') {
			recordDispatch(pressure.dispatchRate, now)
			// A blockage goes on while the service admits only a fraction of requests.
			if (!isRationed(ctx.fleet, options.service))
				markUnblocked(pressure.blockage, now)
		}
		if (grant.kind !== 'full') return Promise.resolve(grant)
	}
	markBlocked(pressure.blockage, now)
	requestPermitsAhead(ctx, options.service, demand, options.waitMs)
	const forecast = forecastAvailability(ctx, options.service)
	if (willExceedWait(queue, options, pressure, forecast, now))
		return Promise.resolve({ kind: forecast?.kind ?? 'full' })
	return waitInQueue(ctx, queue, options, now)
}

/** Waits in the queue until a server has a free slot, for `waitMs` at most. */
function waitInQueue(
	ctx: GatewayContext,
	queue: FairQueue<Waiter>,
	options: AcquireOptions,
	now: number,
): Promise<Grant> {
	return new Promise(resolve => {
		const settle = (grant: Grant) => {
			clearTimeout(timer)
			options.signal.removeEventListener('abort', stopWaiting)
			removeQueued(queue, waiter)
			resolve(grant)
		}
		const stopWaiting = () =>
			settle({
				kind: forecastAvailability(ctx, options.service)?.kind ?? 'full',
			})
		const waiter: Waiter = {
			...options,
			until: now + options.waitMs,
			weight: 1,
			virtualStart: 0,
			order: 0,
			grant: settle,
		}
		const timer = setTimeout(stopWaiting, options.waitMs)
		options.signal.addEventListener('abort', stopWaiting)
		enqueue(queue, waiter)
	})
}

/** Predicts whether a request would exceed its maximum wait, to refuse it at once. */
function willExceedWait(
	queue: FairQueue<Waiter>,
	options: AcquireOptions,
	{ dispatchRate }: Pressure,
	forecast: AvailabilityForecast | undefined,
	now: number,
): boolean {
	const before = queue.waiting.filter(
		other => other.priority <= options.priority,
	)
	if (forecast) return forecastWaitMs(forecast, before.length) > options.waitMs
	if (!options.slotsFreeOneByOne) return options.waitMs <= 0
	return predictWaitMs(dispatchRate, before.length, now) > options.waitMs
}

/** Assigns servers with free slots to waiting requests. */
export function serveQueues(ctx: GatewayContext): void {
	for (const queue of ctx.fleet.queues.values()) serveQueue(ctx, queue)
}

function serveQueue(ctx: GatewayContext, queue: FairQueue<Waiter>): void {
	for (let next = queue.waiting[0]; next; next = queue.waiting[0]) {
		const grant = chooseServer(ctx, next.service, next.tried, next.candidate)
		if (grant.kind === 'full') {
			refuseLate(ctx, queue)
			return
		}
		dequeue(queue)
		if (grant.kind === 'server')
			recordDispatch(
				pressureOf(ctx.pressures, next.service).dispatchRate,
				readNow(),
			)
		next.grant(grant)
	}
}

/** Requests permits in advance; permits that arrive later go to waiting requests. */
function requestPermitsAhead(
	ctx: GatewayContext,
	service: string,
	demand: number,
	withinMs: number,
): void {
	requestPermits(ctx, service, { count: demand, withinMs }, () =>
		serveQueue(ctx, queueOf(ctx.fleet, service)),
	)
}

/** Requests permits for the queue and refuses requests that cannot be served in time. */
function refuseLate(ctx: GatewayContext, queue: FairQueue<Waiter>): void {
	const waiting = [...queue.waiting]
	const { service } = waiting[0]!
	const now = readNow()
	const longestWaitMs = Math.max(...waiting.map(({ until }) => until - now))
	requestPermitsAhead(ctx, service, waiting.length, longestWaitMs)
	const forecast = forecastAvailability(ctx, service)
	if (!forecast) return
	for (const [before, { until, grant }] of waiting.entries())
		if (forecastWaitMs(forecast, before) > until - now)
			grant({ kind: forecast.kind })
}

function chooseServer(
	ctx: GatewayContext,
	service: string,
	triedIds: ReadonlySet<string>,
	candidate: AdmissionCandidate,
): Grant {
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
	const query = {
		rows: fleet.rowsByService.get(service) ?? [],
		tried,
		queueCapacity: isEngine ? ENGINE_QUEUE_CAPACITY : PLAIN_QUEUE_CAPACITY,
		closedGroups: listUnavailableGroups(ctx, candidate, now),
		localRows: fleet.localRows,
		unreportedSends: meterOf(fleet, service).unreportedSends,
		permitted,
		withheld: new Set([
			...exhausted,
			...listBackingOff(ctx, service),
			...spent,
		]),
	}
	const choice = chooseRow(fleet.table, query, now, ctx.random)
	if (choice.kind === 'none' && query.rows.length > 0)
		return { kind: 'evacuated' }
	if (choice.kind !== 'row') return choice
	const server = fleet.servers[choice.row]!
	if (!tryEnterGroup(ctx.closures, groupOf(server), now))
		return { kind: 'full' }
	const { id } = server
	consumePermitFor(ctx, id)
	countStart(ctx, id)
	recordBackoffProbe(ctx.backoffs, id, readElapsed())
	trackInFlight(fleet, id, 1)
	return { kind: 'server', id }
}

function listUnavailableGroups(
	ctx: GatewayContext,
	candidate: AdmissionCandidate,
	now: number,
): Set<number> {
	const unavailable = new Set<number>()
	for (const [number, group] of ctx.fleet.groups.entries())
		if (isGroupClosed(ctx.closures, group, now)) unavailable.add(number)
	const { fleet } = ctx
	const accepts = (group: number, freeSlots: number) =>
		isAdmitted(fleet, group, freeSlots, candidate)
	const full = listFullGroups(fleet.table, accepts, fleet.peerScale)
	for (const number of full) unavailable.add(number)
	return unavailable
}
