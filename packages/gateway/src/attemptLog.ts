/** Log events and metrics of attempts. */

import { backoffLeftMs, rateLimitOf } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { featuresOf } from './features.ts'
import type { Job } from './job.ts'
import { classifyTimeliness } from './timeliness.ts'
import { weighedEngineOf } from './workState.ts'

/** Logs the outcome of an attempt. */
export function logAttempt(
	ctx: GatewayContext,
	job: Job,
	serverId: string,
	outcome: string,
	reason: string,
	inputs: object = {},
): void {
	const { request } = job
	const now = readElapsed()
	ctx.log.write('attempt', {
		req: request.id,
		server: serverId,
		service: job.service,
		send: job.sends,
		outcome,
		reason,
		tookMs: Math.round(now - request.arrivedAt),
		config: request.routes.config.version,
		list: ctx.list.revision.revision,
		term: ctx.list.revision.term || undefined,
		perSecond: rateLimitOf(ctx.rateLimits, serverId),
		returned: job.candidate.isReturn || undefined,
		fingerprint: job.candidate.isReturn ? request.fingerprint : undefined,
		restMs: Math.round(backoffLeftMs(ctx.backoffs, serverId, now)) || undefined,
		...inputs,
	})
}

/** Logs and counts a served request, with the timeliness of its response. */
export function logServed(
	ctx: GatewayContext,
	job: Job,
	serverId: string,
	reason: string,
): void {
	const { route } = job.request
	const { startMs, longestPauseMs } = job.times
	const timeliness = classifyTimeliness(route, job.times)
	ctx.metrics.served.inc({ kind: route.kind, timeliness })
	if (job.candidate.isReturn) ctx.metrics.returns.inc({ outcome: 'served' })
	logAttempt(ctx, job, serverId, 'answered', reason, {
		route: route.name,
		...describeClass(ctx, job),
		timeliness,
		startMs: Math.round(startMs),
		longestPauseMs: Math.round(longestPauseMs),
		...describeLength(ctx, job),
	})
}

/** Returns urgency and team, where room is allocated by them. */
export function describeClass({ features }: GatewayContext, job: Job): object {
	if (!featuresOf(features, job.service).urgency) return {}
	return { urgency: job.request.urgency, team: job.request.team?.name }
}

/** Returns the events of a stream and its caller's hint, where work is weighed. */
function describeLength(ctx: GatewayContext, job: Job): object {
	const { route, size } = job.request
	if (route.kind !== 'stream' || !weighedEngineOf(ctx, job.service)) return {}
	return { events: job.eventsRelayed, hintTokens: size.answerHintTokens }
}
