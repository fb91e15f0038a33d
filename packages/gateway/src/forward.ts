/** A request from its reading to its last byte: attempts until one is final. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ErrorKind } from '@juniperhook/core'
import { ERRORS, pickService, recordRequest } from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import { makeAttempt } from './attempt.ts'
import { logAttempt, logServed } from './attemptLog.ts'
import { readCallerRequest } from './callerRequest.ts'
import { isGrouped } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { awaitCrashCheck } from './crashDetector.ts'
import { countArrival } from './entryDemand.ts'
import type {
	AnswerEnd,
	AttemptResult,
	CallerRequest,
	CancelRequest,
	Job,
	NextStep,
} from './job.ts'
import {
	isQuarantined,
	isSuspected,
	quarantinedForMs,
} from './quarantineGate.ts'
import { writeAnswer, writeFailure } from './reply.ts'
import { chooseRetryAfterMs } from './retryAfter.ts'
import { mayRetry, retryWindowOf } from './retryDecision.ts'
import { readAnswerBody } from './serverCall.ts'
import { relayStream } from './streamRelay.ts'

const SERVER_ERROR = 500
/** What a request that is given up gets if it may have run, and if it has not. */
const GIVEN_UP = {
	timeOver: ['noAnswer', 'startBudget'],
	quarantined: ['linkLost', 'quarantined'],
} as const

/** Serves one request of a caller. */
export async function serveCaller(
	ctx: GatewayContext,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	ctx.openRequests++
	try {
		const intake = await readCallerRequest(ctx, req)
		switch (intake.kind) {
			case 'gone':
				break
			case 'refused':
				refuseIntake(ctx, req, res, intake.error)
				break
			case 'request':
				await serveRequest(ctx, intake.request, res)
				break
			default:
				intake satisfies never
		}
	} finally {
		ctx.openRequests--
	}
}

function refuseIntake(
	ctx: GatewayContext,
	req: IncomingMessage,
	res: ServerResponse,
	error: ErrorKind,
): void {
	const id = String(req.headers[ctx.wire.requestId] ?? '')
	ctx.log.write('request refused', {
		req: id,
		error,
		host: req.headers.host,
		config: ctx.routes?.config.version,
	})
	// The rest of a body is not read: the connection cannot be used again.
	if (!req.complete) res.shouldKeepAlive = false
	writeFailure(ctx, res, error, id || undefined)
}

async function serveRequest(
	ctx: GatewayContext,
	request: CallerRequest,
	res: ServerResponse,
): Promise<void> {
	const service = pickService(request.route.shares, ctx.random)
	const control = new AbortController()
	const job: Job = {
		request,
		service,
		signal: control.signal,
		tried: new Set(),
		admissionDraw: ctx.random(),
		sends: 0,
		refusedSends: 0,
		groupRefusals: 0,
		mayHaveRun: false,
		lastEventId: request.lastEventId,
		times: { startMs: 0, longestPauseMs: 0 },
	}
	const giveUp: CancelRequest = why => {
		const [ran, notRun] = GIVEN_UP[why]
		finish(ctx, job, res, job.mayHaveRun ? ran : notRun)
		control.abort()
	}
	if (isQuarantined(ctx, request)) {
		giveUp('quarantined')
		return
	}
	// What is sent to no server is no demand, and earns no second sends.
	recordRequest(retryWindowOf(ctx, service), ctx.settings.retries, readNow())
	countArrival(ctx.fleet, service)
	const left = request.timeoutAt - readElapsed()
	const timer = setTimeout(() => giveUp('timeOver'), left)
	ctx.cancelByRequest.set(request, giveUp)
	res.on('close', () => {
		ctx.cancelByRequest.delete(request)
		clearTimeout(timer)
		if (!res.writableFinished) control.abort()
	})
	await runAttempts(ctx, job, res)
}

/** Ends a request that gets no server's answer. */
function finish(
	ctx: GatewayContext,
	job: Job,
	res: ServerResponse,
	error: ErrorKind,
): void {
	if (res.writableEnded || res.destroyed) return
	const { request } = job
	const leftMs = request.deadlineAt - readElapsed()
	ctx.log.write('request failed', {
		req: request.id,
		route: request.route.name,
		service: job.service,
		error,
		sends: job.sends,
		tried: [...job.tried],
		tookMs: Math.round(readElapsed() - request.arrivedAt),
		begun: res.headersSent,
		config: request.routes.config.version,
		fingerprint: request.fingerprint,
	})
	const retryAfterMs = chooseRetryAfter(ctx, job, error, leftMs)
	writeFailure(ctx, res, error, request.id, retryAfterMs)
}

function chooseRetryAfter(
	ctx: GatewayContext,
	job: Job,
	error: ErrorKind,
	leftMs: number,
): number {
	if (error === 'quarantined') return quarantinedForMs(ctx, job.request)
	return ERRORS[error].ran === 'no'
		? chooseRetryAfterMs(ctx, job.service, leftMs)
		: 0
}

async function runAttempts(
	ctx: GatewayContext,
	job: Job,
	res: ServerResponse,
): Promise<void> {
	for (;;) {
		const result = await makeAttempt(ctx, job)
		if (job.signal.aborted) {
			if (result.kind === 'answer') result.answer.cut()
			if (result.kind === 'answer') result.release('left')
			return
		}
		const next = await settle(ctx, job, res, result)
		if (next.kind === 'done') return
		if (next.kind === 'again') {
			await awaitVerdict(ctx, job)
			if (job.signal.aborted) return
			ctx.metrics.retries.inc({ reason: next.reason })
			continue
		}
		finish(ctx, job, res, next.error)
		return
	}
}

/**
 * Where a server's end says more than that: a request under which others ended before
 * is not sent on in doubt, and what a rank of a group broke off waits to know whether
 * the whole group stands still. A round trip, mostly.
 */
async function awaitVerdict(ctx: GatewayContext, job: Job): Promise<void> {
	const server = [...job.tried].at(-1)
	if (server === undefined) return
	if (isSuspected(ctx, job.request) || isGrouped(ctx, job.service))
		await awaitCrashCheck(ctx, server)
}

async function settle(
	ctx: GatewayContext,
	job: Job,
	res: ServerResponse,
	result: AttemptResult,
): Promise<NextStep> {
	switch (result.kind) {
		case 'refused':
			return {
				kind: 'failed',
				error: job.mayHaveRun ? 'linkLost' : result.error,
			}
		case 'notRun':
			if (mayRetry(ctx, job)) return { kind: 'again', reason: 'notRun' }
			return {
				kind: 'failed',
				error: job.mayHaveRun ? 'linkLost' : 'unreachable',
			}
		case 'lost':
			if (mayRetry(ctx, job)) return { kind: 'again', reason: 'lost' }
			return { kind: 'failed', error: 'linkLost' }
		case 'answer':
			return await takeAnswer(ctx, job, res, result)
		default:
			return result satisfies never
	}
}

async function takeAnswer(
	ctx: GatewayContext,
	job: Job,
	res: ServerResponse,
	result: Extract<AttemptResult, { kind: 'answer' }>,
): Promise<NextStep> {
	const { answer, serverId } = result
	const { message, status } = answer
	const type = String(message.headers['content-type'] ?? '')
	const isStream = status === 200 && type.includes('text/event-stream')
	if (isStream) return await relayStream(ctx, job, res, result)
	const body = await readAnswerBody(answer)
	const sealed = message.headers[ctx.wire.seal] !== undefined
	const usable = body.kind === 'whole' && (sealed || status >= 300)
	const good = usable && status < SERVER_ERROR
	result.release(judgeEnd(job, good, body.kind === 'whole'))
	if (job.signal.aborted) return { kind: 'done' }
	if (!good) {
		const reason = body.kind === 'broken' ? body.reason : `status ${status}`
		logAttempt(ctx, job, serverId, 'failed', reason)
		if (mayRetry(ctx, job)) return { kind: 'again', reason: 'failed' }
	}
	if (!usable) return { kind: 'failed', error: 'truncated' }
	const { arrivedAt, method } = job.request
	job.times.startMs = readElapsed() - arrivedAt
	ctx.metrics.firstByte.observe(job.times.startMs / 1_000)
	logServed(ctx, job, serverId, String(status))
	writeAnswer(ctx, res, message, body.body, method)
	return { kind: 'done' }
}

function judgeEnd(job: Job, isGood: boolean, isWhole: boolean): AnswerEnd {
	if (job.signal.aborted) return 'left'
	if (isGood) return 'good'
	return isWhole ? 'failed' : 'broken'
}
