/** Decides by a request's size and its groups' pace whether it is sent, and where to. */

import type { EngineProfile, ErrorKind, PaceEstimate } from '@juniperhook/core'
import {
	estimateEvents,
	estimatePace,
	forecastCompletion,
	fullPassMs,
	isGroupClosed,
	isOversize,
	loadPerUnreadToken,
	remainingEvents,
	takeTrial,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { Job } from './job.ts'
import type { CandidateWork } from './waiter.ts'
import { lengthsOf, weighedEngineOf } from './workState.ts'

/** Inputs of a forecast, for the log. */
export interface WorkForecast {
	/** Least and likely number of events. */
	readonly events: number
	readonly likelyEvents: number
	/** Shortest time between events of the service's groups, ms. */
	readonly paceMs: number
	/** Time left until the timeout, ms. */
	readonly leftMs: number
}

/** Result of weighing a request's work. */
export type WorkDecision =
	/** `work` is undefined for a service whose requests are not weighed. */
	| { readonly kind: 'admitted'; readonly work: CandidateWork | undefined }
	| { readonly kind: 'refused'; readonly error: ErrorKind }

/** Weighs a request before it is sent; `leftMs` is the time until its timeout. */
export function weighRequest(
	ctx: GatewayContext,
	job: Job,
	leftMs: number,
): WorkDecision {
	const engine = weighedEngineOf(ctx, job.service)
	if (!engine) return { kind: 'admitted', work: undefined }
	const { size, route } = job.request
	const unreadLoad = loadPerUnreadToken(engine, route.targetMs)
	// A request that a server has begun is not refused for its size.
	if (job.sends > 0)
		return { kind: 'admitted', work: { unreadLoad, unfitGroups: new Set() } }
	if (isOversize(size, engine)) return { kind: 'refused', error: 'oversize' }
	const unfitGroups =
		route.kind === 'stream'
			? listUnfitGroups(ctx, job, engine, leftMs)
			: new Set<string>()
	if (unfitGroups === 'all') return { kind: 'refused', error: 'cannotFinish' }
	return { kind: 'admitted', work: { unreadLoad, unfitGroups } }
}

/** Returns the groups at which a stream surely cannot end in time. */
function listUnfitGroups(
	ctx: GatewayContext,
	job: Job,
	engine: EngineProfile,
	leftMs: number,
): ReadonlySet<string> | 'all' {
	const unfit = new Set<string>()
	const paces = listPaces(ctx, job.service)
	if (paces.size === 0) return unfit
	const { size, lastEventId } = job.request
	const estimate = estimateEvents(
		lengthsOf(ctx.work, job.service),
		size,
		engine,
	)
	const remaining = {
		events: remainingEvents(estimate.lower, lastEventId),
		leftMs,
	}
	const usualMs = fullPassMs(engine)
	for (const [group, pace] of paces) {
		const forecast = forecastCompletion(remaining, pace, usualMs)
		if (forecast.kind === 'impossible') unfit.add(group)
	}
	if (unfit.size === 0) return unfit
	const known = [...paces.values()].map(pace => pace?.paceMs ?? 0)
	job.forecast = {
		events: remaining.events,
		likelyEvents: estimate.likely,
		paceMs: Math.round(Math.min(...known)),
		leftMs: Math.round(leftMs),
	}
	if (unfit.size < paces.size) return unfit
	const trial = [...unfit].find(group =>
		takeTrial(ctx.work.paces.get(group)!, readNow()),
	)
	if (trial === undefined) return 'all'
	ctx.log.write('pace trial', {
		req: job.request.id,
		group: trial,
		...job.forecast,
	})
	unfit.delete(trial)
	return unfit
}

/** Returns the paces of a service's groups that accept requests, as far as known. */
function listPaces(
	{ fleet, closures, work }: GatewayContext,
	service: string,
): Map<string, PaceEstimate | undefined> {
	const now = readNow()
	const numbers = new Set(
		(fleet.rowsByService.get(service) ?? [])
			.filter(row => fleet.table.open[row] === 1)
			.map(row => fleet.table.group[row]!),
	)
	const paces = new Map<string, PaceEstimate | undefined>()
	for (const number of numbers) {
		const group = fleet.groups[number]
		if (group === undefined || isGroupClosed(closures, group, now)) continue
		const pace = work.paces.get(group)
		paces.set(group, pace && estimatePace(pace, now))
	}
	return paces
}
