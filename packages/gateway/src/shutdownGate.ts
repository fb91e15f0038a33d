/** Applies the decision on what a stopping entry still takes. */

import type { TrafficRoute } from '@juniperhook/core'
import {
	addSample,
	canEndInTime,
	createRecentSamples,
	quantileOf,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { CallerRequest } from './job.ts'

/** Share of the latest requests of a route that took no longer than its usual duration. */
const USUAL_SHARE = 0.9

/** A request, as far as its end can be predicted. */
type TimedRequest = Pick<CallerRequest, 'route' | 'takenAt' | 'timeoutAt'>

/** Whether a request can end before this entry does; always true unless it stops. */
export function canEndBeforeExit(
	ctx: GatewayContext,
	{ route, takenAt, timeoutAt }: TimedRequest,
): boolean {
	const { shutdown } = ctx
	if (!shutdown) return true
	const usualMs = usualDurationMs(ctx, route)
	const candidate = { takenAt, timeoutAt, usualMs }
	return canEndInTime(shutdown, candidate, readElapsed())
}

/** Records how long a request took that has been served. */
export function recordDuration(
	{ durations }: GatewayContext,
	{ route, takenAt }: CallerRequest,
): void {
	const known = durations.get(route.name)
	const samples = known ?? createRecentSamples()
	if (!known) durations.set(route.name, samples)
	addSample(samples, readElapsed() - takenAt)
}

function usualDurationMs(
	{ durations }: GatewayContext,
	{ name }: TrafficRoute,
): number | undefined {
	const samples = durations.get(name)
	return samples && quantileOf(samples, USUAL_SHARE)
}
