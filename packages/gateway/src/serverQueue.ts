/**
 * Queues requests for a server with a free slot: by priority and fairly by team, or by
 * urgency and time left where room is allocated by urgency.
 */

import {
	currentIntervalMs,
	enqueue,
	type FairQueue,
	markBlocked,
	markUnblocked,
	orderWaiting,
	recordDispatch,
	removeQueued,
	startQueued,
} from '@juniperhook/core'
import { actOnAll, readNow } from '@juniperhook/runtime'
import { forecastAvailability, forecastWaitMs } from './availabilityForecast.ts'
import type { GatewayContext } from './context.ts'
import { queueOf } from './fleet.ts'
import { isRationed } from './groupAdmission.ts'
import { requestPermits } from './permitRequest.ts'
import { pressureOf } from './pressure.ts'
import { chooseServer } from './serverChoice.ts'
import type { AcquireOptions, Grant, Waiter } from './waiter.ts'
import {
	isOrderedByUrgency,
	isRefusedByLevel,
	willExceedWait,
} from './waitForecast.ts'

/** Acquires a server with a free slot, to be freed with `trackInFlight`. */
export function acquireServer(
	ctx: GatewayContext,
	options: AcquireOptions,
): Promise<Grant> {
	const queue = queueOf(ctx.fleet, options.service)
	const pressure = pressureOf(ctx.pressures, options.service)
	const now = readNow()
	const demand = queue.waiting.length + 1
	requestPermitsAhead(ctx, options.service, demand, 0)
	const isByUrgency = isOrderedByUrgency(ctx, options.service)
	if (isByUrgency) serveQueue(ctx, queue)
	let bestFraction: number | undefined
	if (isByUrgency || queue.waiting.length === 0) {
		const { service, tried, candidate } = options
		const choice = chooseServer(ctx, service, tried, candidate)
		bestFraction = choice.bestFraction
		const { grant } = choice
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
	const isHopeless = isByUrgency && isRefusedByLevel(ctx, options, bestFraction)
	if (
		isHopeless ||
		willExceedWait(ctx, queue, options, pressure, forecast, now)
	)
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
			urgency: options.candidate.urgency,
			startBy: now + (options.startWithinMs ?? options.waitMs),
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

/** Assigns servers with free slots to waiting requests. */
export function serveQueues(ctx: GatewayContext): void {
	actOnAll(ctx.fleet.queues.values(), queue => serveQueue(ctx, queue))
}

function serveQueue(ctx: GatewayContext, queue: FairQueue<Waiter>): void {
	const [first] = queue.waiting
	if (!first) return
	const isByUrgency = isOrderedByUrgency(ctx, first.service)
	for (const next of orderQueue(ctx, queue, isByUrgency)) {
		// Permits that arrive while a request starts may start others.
		if (!queue.waiting.includes(next)) continue
		const { service, tried, candidate } = next
		const { grant } = chooseServer(ctx, service, tried, candidate)
		if (grant.kind === 'full') {
			// Those behind it may be admitted, or may be sent to other servers.
			if (isByUrgency) continue
			break
		}
		startQueued(queue, next)
		if (grant.kind === 'server')
			recordDispatch(pressureOf(ctx.pressures, service).dispatchRate, readNow())
		next.grant(grant)
	}
	if (queue.waiting.length > 0) refuseLate(ctx, queue)
}

/** Returns the waiting requests in the order in which they start. */
function orderQueue(
	ctx: GatewayContext,
	{ waiting }: FairQueue<Waiter>,
	isByUrgency: boolean,
): Waiter[] {
	if (!isByUrgency) return [...waiting]
	const now = readNow()
	const { dispatchRate } = pressureOf(ctx.pressures, waiting[0]!.service)
	return orderWaiting(waiting, now, currentIntervalMs(dispatchRate, now))
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
