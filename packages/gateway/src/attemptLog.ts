/** What is written and counted of each attempt. */

import { backoffLeftMs, rateLimitOf } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { Job } from './job.ts'
import { classifyTimeliness } from './timeliness.ts'

/** Writes how an attempt went. */
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
		restMs: Math.round(backoffLeftMs(ctx.backoffs, serverId, now)) || undefined,
		...inputs,
	})
}

/** Writes and counts that a request was answered, and whether in time. */
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
	logAttempt(ctx, job, serverId, 'answered', reason, {
		route: route.name,
		timeliness,
		startMs: Math.round(startMs),
		longestPauseMs: Math.round(longestPauseMs),
	})
}
