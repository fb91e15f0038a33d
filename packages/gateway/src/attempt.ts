/** One attempt: acquires a server with a free slot and sends the request to it. */

import { readElapsed } from '@juniperhook/runtime'
import { isServiceClosed, maxClosedWaitMs } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import type { AttemptResult, Job } from './job.ts'
import { pressureOf, waitBudgetMs } from './pressure.ts'
import { acquireServer } from './serverQueue.ts'
import { sendToServer } from './serverSend.ts'
import type { Grant } from './waiter.ts'

/** Minimum wait of a retried request, as a share of the route's target time. */
const MIN_RETRY_WAIT_SHARE = 0.2

/** Makes one attempt; refuses the request if no server has a free slot in time. */
export async function makeAttempt(
	ctx: GatewayContext,
	job: Job,
): Promise<AttemptResult> {
	const requestedAt = readElapsed()
	const grant = await requestServer(ctx, job, requestedAt)
	ctx.metrics.waiting.observe((readElapsed() - requestedAt) / 1_000)
	switch (grant.kind) {
		case 'full':
			return { kind: 'refused', error: 'overloaded' }
		case 'limited':
			return { kind: 'refused', error: 'rateLimited' }
		case 'resting':
			return { kind: 'refused', error: 'resting' }
		case 'evacuated':
			return { kind: 'refused', error: 'evacuated' }
		case 'none':
			return { kind: 'refused', error: 'noServer' }
		case 'server':
			return await sendToServer(ctx, job, grant.id)
		default:
			return grant satisfies never
	}
}

function requestServer(
	ctx: GatewayContext,
	job: Job,
	now: number,
): Promise<Grant> {
	const { request, service } = job
	const isClosed = isServiceClosed(ctx, service)
	const waitMs = isClosed
		? maxClosedWaitMs(ctx, service, request)
		: maxWaitMs(ctx, job, now)
	return acquireServer(ctx, {
		service,
		team: request.team?.name ?? '',
		priority: request.priority,
		tried: job.tried,
		// With a draw of 0, a retried request is admitted before those never sent.
		candidate: job.sends > 0 ? { ...job.candidate, draw: 0 } : job.candidate,
		waitMs: Math.min(waitMs, request.timeoutAt - now),
		slotsFreeOneByOne: !isClosed,
		signal: job.signal,
	})
}

/** Returns how long a request may wait for a server with a free slot, ms. */
function maxWaitMs(ctx: GatewayContext, job: Job, now: number): number {
	const { targetMs } = job.request.route
	const elapsedMs = now - job.request.arrivedAt
	const budget = waitBudgetMs(
		pressureOf(ctx.pressures, job.service),
		targetMs,
		elapsedMs,
	)
	// A retried request that is late already is still worth a short wait.
	return job.sends > 0
		? Math.max(budget, targetMs * MIN_RETRY_WAIT_SHARE)
		: budget
}
