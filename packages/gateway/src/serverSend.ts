/** Sends a request to a server that was granted, and judges the head of its answer. */

import type { ListedServer } from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { trackInFlight } from './fleet.ts'
import type { AttemptResult, Job } from './job.ts'
import type { Send } from './send.ts'
import { judgeAnswer, recordUnanswered } from './sendOutcome.ts'
import { trackRequest, untrackRequest } from './sentRequests.ts'
import type { CallResult } from './serverCall.ts'
import { callServer } from './serverCall.ts'
import { buildServerHeaders } from './serverHeaders.ts'
import { serveQueues } from './serverQueue.ts'

/** An attempt with less time left than this is not made, ms. */
const MIN_LEFT_MS = 5
/** The request's own end comes first, with the right answer, ms. */
const AFTER_GIVEN_UP_MS = 500
/** A repeatable request is tried elsewhere after this part of its target. */
const PATIENCE_SHARE = 0.5
/** Or after so many times what its server usually takes, if that is longer. */
const PATIENCE_TIMES = 4

/** Sends a request to a server that was granted. */
export async function sendToServer(
	ctx: GatewayContext,
	job: Job,
	serverId: string,
): Promise<AttemptResult> {
	const { fleet } = ctx
	const row = fleet.table.rowOf.get(serverId)
	const server = row === undefined ? undefined : fleet.servers[row]
	if (!server) {
		// It was granted in the turn in which news took the server out.
		giveBack(ctx, serverId)
		return { kind: 'notRun', reason: 'server gone' }
	}
	const untilGivenUp = job.request.timeoutAt - readElapsed()
	if (untilGivenUp < MIN_LEFT_MS || job.signal.aborted) {
		giveBack(ctx, serverId)
		return { kind: 'refused', error: 'startBudget' }
	}
	const send = beginSend(ctx, job, server)
	const result = await call(ctx, send, untilGivenUp)
	if (result.kind === 'answer') return judgeAnswer(ctx, send, result.answer)
	return recordUnanswered(ctx, send, result)
}

function giveBack(ctx: GatewayContext, serverId: string): void {
	trackInFlight(ctx.fleet, serverId, -1)
	serveQueues(ctx)
}

function beginSend(ctx: GatewayContext, job: Job, server: ListedServer): Send {
	job.tried.add(server.id)
	job.sends++
	const mayHaveRunBefore = job.mayHaveRun
	// Until the opposite is proved: the time may run out before.
	job.mayHaveRun = true
	const run = trackRequest(ctx.sentRequests, server.id, job.request)
	return {
		job,
		server,
		run,
		sentAt: readNow(),
		sentAtElapsed: readElapsed(),
		mayHaveRunBefore,
		releaseSlot: () => {
			untrackRequest(ctx.sentRequests, server.id, run)
			giveBack(ctx, server.id)
		},
	}
}

function call(
	ctx: GatewayContext,
	{ job, server }: Send,
	untilGivenUp: number,
): Promise<CallResult> {
	const { request } = job
	const left = Math.floor(request.deadlineAt - readElapsed())
	return callServer({
		address: server.address,
		method: request.method,
		path: request.path,
		headers: buildServerHeaders(ctx, job, server.name, left),
		body: request.body,
		id: request.id,
		idHeader: ctx.wire.requestId,
		agent: request.repeatable ? ctx.pool.keepAlive : ctx.pool.oneShot,
		headMs: Math.min(untilGivenUp + AFTER_GIVEN_UP_MS, patienceFor(ctx, job)),
		signal: job.signal,
	})
}

/**
 * How long a server may take to begin its answer before another is tried, ms:
 * only where there is another try, and the whole answer comes at once.
 */
function patienceFor(ctx: GatewayContext, job: Job): number {
	const { route } = job.request
	const isLast = job.sends - job.refusedSends >= route.maxAttempts
	if (route.kind !== 'repeatable' || isLast) return Number.POSITIVE_INFINITY
	const row = ctx.fleet.table.rowOf.get([...job.tried].at(-1) ?? '')
	const usual = row === undefined ? 0 : ctx.fleet.table.serviceMs[row]!
	return Math.max(route.targetMs * PATIENCE_SHARE, usual * PATIENCE_TIMES)
}
