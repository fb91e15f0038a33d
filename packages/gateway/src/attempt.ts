/** One attempt: a server with room, a call to it, and what its head proves. */

import { readElapsed } from '@juniperhook/runtime'
import { isServiceClosed, maxClosedWaitMs } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import type { AttemptResult, Job } from './job.ts'
import { pressureOf, waitBudgetMs } from './pressure.ts'
import { acquireServer } from './serverQueue.ts'
import { sendToServer } from './serverSend.ts'
import type { Grant } from './waiter.ts'

/** A request that was sent before may wait for this part of its target time. */
const AGAIN_WAIT_SHARE = 0.2

/** Makes one attempt. */
export async function makeAttempt(
	ctx: GatewayContext,
	job: Job,
): Promise<AttemptResult> {
	const askedAt = readElapsed()
	const grant = await askForServer(ctx, job, askedAt)
	ctx.metrics.waiting.observe((readElapsed() - askedAt) / 1_000)
	switch (grant.kind) {
		case 'full':
			return { kind: 'refused', error: 'overloaded' }
		case 'limited':
			return { kind: 'refused', error: 'rateLimited' }
		case 'resting':
			return { kind: 'refused', error: 'resting' }
		case 'none':
			return { kind: 'refused', error: 'noServer' }
		case 'server':
			return await sendToServer(ctx, job, grant.id)
		default:
			return grant satisfies never
	}
}

function askForServer(
	ctx: GatewayContext,
	job: Job,
	now: number,
): Promise<Grant> {
	const { request, service } = job
	const isClosed = isServiceClosed(ctx, service)
	const waitMs = isClosed
		? maxClosedWaitMs(ctx, service, request)
		: waitFor(ctx, job, now)
	return acquireServer(ctx, {
		service,
		team: request.team?.name ?? '',
		priority: request.priority,
		tried: job.tried,
		// What was begun goes before what was not.
		admissionDraw: job.sends > 0 ? 0 : job.admissionDraw,
		waitMs: Math.min(waitMs, request.timeoutAt - now),
		slotsFreeOneByOne: !isClosed,
		signal: job.signal,
	})
}

/** How long a request may wait for a server with room, ms. */
function waitFor(ctx: GatewayContext, job: Job, now: number): number {
	const { targetMs } = job.request.route
	const elapsedMs = now - job.request.arrivedAt
	const spare = waitBudgetMs(
		pressureOf(ctx.pressures, job.service),
		targetMs,
		elapsedMs,
	)
	// What was begun, and is late already, is not given up for want of a moment.
	return job.sends > 0 ? Math.max(spare, targetMs * AGAIN_WAIT_SHARE) : spare
}
