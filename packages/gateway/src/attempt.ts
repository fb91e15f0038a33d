/** One attempt: acquires a server with a free slot and sends the request to it. */

import { readElapsed } from '@juniperhook/runtime'
import { isServiceClosed, maxClosedWaitMs } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import type { AttemptResult, Job } from './job.ts'
import type { PartVerdict } from './partGate.ts'
import {
	awaitEvidence,
	isSendable,
	judgeParts,
	refuseByPart,
} from './partGate.ts'
import { pressureOf, waitBudgetMs } from './pressure.ts'
import { acquireServer } from './serverQueue.ts'
import { returnServer, sendToServer } from './serverSend.ts'
import type { AdmissionCandidate, Grant } from './waiter.ts'
import { weighRequest } from './workDecision.ts'

/** Minimum wait of a retried request, as a share of the route's target time. */
const MIN_RETRY_WAIT_SHARE = 0.2

/** Makes one attempt; refuses the request if no server has a free slot in time. */
export async function makeAttempt(
	ctx: GatewayContext,
	job: Job,
): Promise<AttemptResult> {
	const requestedAt = readElapsed()
	const leftMs = job.request.timeoutAt - requestedAt
	const decision = weighRequest(ctx, job, leftMs)
	if (decision.kind === 'refused') return decision
	const candidate = { ...job.candidate, work: decision.work }
	const grant = await requestServer(ctx, job, candidate, requestedAt)
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
			return await sendUnlessSuspected(ctx, job, grant.id)
		default:
			return grant satisfies never
	}
}

/**
 * Sends a request to an acquired server unless a part of its prompt has become suspected
 * while it waited.
 */
async function sendUnlessSuspected(
	ctx: GatewayContext,
	job: Job,
	serverId: string,
): Promise<AttemptResult> {
	const verdict = judgeParts(ctx, job.request)
	if (isSendable(verdict)) {
		logTrial(ctx, job, serverId, verdict)
		return await sendToServer(ctx, job, serverId)
	}
	returnServer(ctx, serverId)
	if (verdict.kind !== 'pending')
		return { kind: 'refused', error: refuseByPart(job, verdict) }
	await awaitEvidence(verdict)
	return await makeAttempt(ctx, job)
}

function logTrial(
	{ log }: GatewayContext,
	{ request }: Job,
	server: string,
	verdict: PartVerdict,
): void {
	if (verdict.kind !== 'trial') return
	log.write('parts tried', { req: request.id, parts: verdict.parts, server })
}

function requestServer(
	ctx: GatewayContext,
	job: Job,
	candidate: AdmissionCandidate,
	now: number,
): Promise<Grant> {
	const { request, service } = job
	const isClosed = isServiceClosed(ctx, service)
	const waitMs = isClosed
		? maxClosedWaitMs(ctx, service, request, job.candidate.isReturn)
		: maxWaitMs(ctx, job, now)
	return acquireServer(ctx, {
		service,
		team: request.team?.name ?? '',
		priority: request.priority,
		tried: job.tried,
		// With a draw of 0, a retried request is admitted before those never sent.
		candidate: job.sends > 0 ? { ...candidate, draw: 0 } : candidate,
		waitMs: Math.min(waitMs, request.timeoutAt - now),
		startWithinMs: startBudgetMs(ctx, job, now),
		slotsFreeOneByOne: !isClosed,
		signal: job.signal,
	})
}

/** Returns how long a request may wait for a server with a free slot, ms. */
function maxWaitMs(ctx: GatewayContext, job: Job, now: number): number {
	const budget = startBudgetMs(ctx, job, now)
	// A retried request that is late already is still worth a short wait.
	return job.sends > 0
		? Math.max(budget, job.request.route.targetMs * MIN_RETRY_WAIT_SHARE)
		: budget
}

/** Returns the time in which a request has to start to meet its target, ms. */
function startBudgetMs(ctx: GatewayContext, job: Job, now: number): number {
	const { route, arrivedAt } = job.request
	const pressure = pressureOf(ctx.pressures, job.service)
	return waitBudgetMs(pressure, route.targetMs, now - arrivedAt)
}
