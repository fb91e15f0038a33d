/** Sends a request to an acquired server and evaluates the head of its response. */

import type { ListedServer } from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { trackInFlight } from './fleet.ts'
import type { AttemptResult, Job } from './job.ts'
import type { Send } from './send.ts'
import { evaluateAnswer, recordUnanswered } from './sendOutcome.ts'
import { trackRequest, untrackRequest } from './sentRequests.ts'
import type { CallResult } from './serverCall.ts'
import { callServer } from './serverCall.ts'
import { buildServerHeaders } from './serverHeaders.ts'
import { serveQueues } from './serverQueue.ts'
import { canEndBeforeExit } from './shutdownGate.ts'
import { beginWork, endWork } from './workState.ts'

/** No attempt is made with less time left than this, ms. */
const MIN_LEFT_MS = 5
/**
 * Margin of the head timeout over the request's remaining time, ms, so that the request's
 * own timeout fires first and reports the specific error.
 */
const HEAD_TIMEOUT_MARGIN_MS = 500
/** Head timeout of a repeatable request before a retry, as a share of its target. */
const HEAD_TIMEOUT_SHARE = 0.5
/** The same as a multiple of the server's usual service time; the longer one applies. */
const HEAD_TIMEOUT_FACTOR = 4

/** Sends a request to an acquired server. */
export async function sendToServer(
	ctx: GatewayContext,
	job: Job,
	serverId: string,
): Promise<AttemptResult> {
	const { fleet } = ctx
	const row = fleet.table.rowOf.get(serverId)
	const server = row === undefined ? undefined : fleet.servers[row]
	if (!server || fleet.table.open[row!] !== 1) {
		// It was removed or closed in the event-loop turn in which it was granted.
		returnServer(ctx, serverId)
		return { kind: 'notRun', reason: 'server no longer open' }
	}
	const untilTimeoutMs = job.request.timeoutAt - readElapsed()
	if (untilTimeoutMs < MIN_LEFT_MS || job.signal.aborted) {
		returnServer(ctx, serverId)
		return { kind: 'refused', error: 'startBudget' }
	}
	if (!canEndBeforeExit(ctx, job.request)) {
		returnServer(ctx, serverId)
		return { kind: 'refused', error: 'entryLeaving' }
	}
	const send = beginSend(ctx, job, server)
	const result = await call(ctx, send, untilTimeoutMs)
	if (result.kind === 'answer') return evaluateAnswer(ctx, send, result.answer)
	return recordUnanswered(ctx, send, result)
}

/** Frees the slot of an acquired server. */
export function returnServer(ctx: GatewayContext, serverId: string): void {
	trackInFlight(ctx.fleet, serverId, -1)
	serveQueues(ctx)
}

function beginSend(ctx: GatewayContext, job: Job, server: ListedServer): Send {
	job.tried.add(server.id)
	job.sends++
	const mayHaveRunBefore = job.mayHaveRun
	// Assumed until disproved, since the request may time out before that.
	job.mayHaveRun = true
	const sentRequest = trackRequest(ctx.sentRequests, server.id, job.request)
	const work = beginWork(ctx, job, server)
	return {
		job,
		server,
		sentRequest,
		sentAt: readNow(),
		sentAtElapsed: readElapsed(),
		mayHaveRunBefore,
		work,
		releaseSlot: () => {
			if (work) endWork(ctx, work)
			untrackRequest(ctx.sentRequests, server.id, sentRequest)
			returnServer(ctx, server.id)
		},
	}
}

function call(
	ctx: GatewayContext,
	{ job, server }: Send,
	untilTimeoutMs: number,
): Promise<CallResult> {
	const { request } = job
	const leftMs = Math.floor(request.deadlineAt - readElapsed())
	return callServer({
		address: server.address,
		method: request.method,
		path: request.path,
		headers: buildServerHeaders(ctx, job, server.name, leftMs),
		body: request.body,
		id: request.id,
		idHeader: ctx.wire.requestId,
		agent: request.repeatable ? ctx.pool.keepAlive : ctx.pool.oneShot,
		headTimeoutMs: Math.min(
			untilTimeoutMs + HEAD_TIMEOUT_MARGIN_MS,
			headTimeoutMs(ctx, job),
		),
		signal: job.signal,
	})
}

/**
 * Returns how long a server may take to start its response before another server is
 * tried, ms. Unlimited for the last attempt, for streams and for requests that must not
 * be repeated.
 */
function headTimeoutMs(ctx: GatewayContext, job: Job): number {
	const { route } = job.request
	const isLast = job.sends - job.refusedSends >= route.maxAttempts
	if (route.kind !== 'repeatable' || isLast) return Number.POSITIVE_INFINITY
	const row = ctx.fleet.table.rowOf.get([...job.tried].at(-1) ?? '')
	const usualMs = row === undefined ? 0 : ctx.fleet.table.serviceMs[row]!
	return Math.max(
		route.targetMs * HEAD_TIMEOUT_SHARE,
		usualMs * HEAD_TIMEOUT_FACTOR,
	)
}
