/** Serves a caller's request: reads it, makes attempts and writes the response. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ErrorKind } from '@juniperhook/core'
import { pickService, recordRequest } from '@juniperhook/core'
import { awaitTurn, readElapsed, readNow } from '@juniperhook/runtime'
import { isEventStream } from './answerFault.ts'
import { makeAttempt } from './attempt.ts'
import { logAttempt, logServed } from './attemptLog.ts'
import { readCallerRequest } from './callerRequest.ts'
import { isGrouped } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { awaitCrashCheck } from './crashDetector.ts'
import { countArrival } from './entryDemand.ts'
import { failRequest } from './failRequest.ts'
import type { CountedBody } from './heldBodies.ts'
import { readCountedBody, receiveCountedBody } from './heldBodies.ts'
import type {
	AnswerEnd,
	AttemptResult,
	CallerRequest,
	CancelReason,
	CancelRequest,
	Job,
	NextStep,
} from './job.ts'
import { isSendable, judgeSettledParts, refuseByPart } from './partGate.ts'
import { isQuarantined, isSuspected } from './quarantineGate.ts'
import { writeAnswer, writeFailure } from './reply.ts'
import { mayRetry, retryWindowOf } from './retryDecision.ts'
import { isReturning } from './returnRecognition.ts'
import { recordDuration } from './shutdownGate.ts'
import { relayStream } from './streamRelay.ts'
import type { AdmissionCandidate } from './waiter.ts'

const SERVER_ERROR = 500
/** Errors of a cancelled request: if a server may have run it, and otherwise. */
const CANCEL_ERRORS = {
	timeout: ['noAnswer', 'startBudget'],
	quarantined: ['linkLost', 'quarantined'],
	leaving: ['linkLost', 'entryLeaving'],
} as const satisfies Record<CancelReason, readonly [ErrorKind, ErrorKind]>

/** Serves one request of a caller. */
export async function serveCaller(
	ctx: GatewayContext,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	const arrivedAt = readElapsed()
	const body = receiveCountedBody(ctx, req, res)
	if (!ctx.routes) body.refuse('noConfig')
	if (!(await awaitTurn(ctx.connections, req, res))) {
		const id = req.headers[ctx.wire.requestId]
		ctx.log.write('request not begun', { req: id, reason: 'connection closed' })
		return
	}
	ctx.openRequests++
	res.once('close', () => {
		ctx.openRequests--
	})
	const read = await readCallerRequest(ctx, req, body, arrivedAt)
	switch (read.kind) {
		case 'disconnected':
			break
		case 'refused':
			refuseRequest(ctx, req, res, read.error)
			break
		case 'request':
			await serveRequest(ctx, read.request, res)
			break
		default:
			read satisfies never
	}
}

function refuseRequest(
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
		candidate: describeCandidate(
			request,
			ctx.random(),
			isReturning(ctx, service, request),
		),
		sends: 0,
		refusedSends: 0,
		groupRefusals: 0,
		mayHaveRun: false,
		lastEventId: request.lastEventId,
		times: { startMs: 0, longestPauseMs: 0 },
		eventsRelayed: 0,
		hasUnnumberedEvents: false,
	}
	const cancel: CancelRequest = reason => {
		if (reason === 'leaving' && job.mayHaveRun) return
		const [mayHaveRunError, notRunError] = CANCEL_ERRORS[reason]
		failRequest(ctx, job, res, job.mayHaveRun ? mayHaveRunError : notRunError)
		control.abort()
	}
	const leftMs = request.timeoutAt - readElapsed()
	const timer = setTimeout(() => cancel('timeout'), leftMs)
	ctx.cancelByRequest.set(request, cancel)
	res.on('close', () => {
		ctx.cancelByRequest.delete(request)
		clearTimeout(timer)
		if (!res.writableFinished) control.abort()
	})
	const refusal = await findQuarantine(ctx, job)
	if (job.signal.aborted) return
	if (refusal) {
		failRequest(ctx, job, res, refusal)
		return
	}
	// Quarantined requests count neither as demand nor towards the retry budget.
	recordRequest(retryWindowOf(ctx, service), ctx.settings.retries, readNow())
	countArrival(ctx.fleet, service, job.candidate)
	await runAttempts(ctx, job, res)
}

/** Returns the error of a request that is quarantined, or a part of whose prompt is. */
async function findQuarantine(
	ctx: GatewayContext,
	job: Job,
): Promise<ErrorKind | undefined> {
	if (isQuarantined(ctx, job.request)) return 'quarantined'
	const verdict = await judgeSettledParts(ctx, job)
	return isSendable(verdict) ? undefined : refuseByPart(job, verdict)
}

function describeCandidate(
	{ urgency, team, size }: CallerRequest,
	draw: number,
	isReturn: boolean,
): AdmissionCandidate {
	return { draw, urgency, team: team?.name ?? '', size, isReturn }
}

async function runAttempts(
	ctx: GatewayContext,
	job: Job,
	res: ServerResponse,
): Promise<void> {
	for (;;) {
		const result = await makeAttempt(ctx, job)
		if (job.signal.aborted) {
			if (result.kind === 'answer') result.answer.closeConnection()
			if (result.kind === 'answer') result.release('abandoned')
			return
		}
		const next = await handleResult(ctx, job, res, result)
		if (next.kind === 'done') return
		if (next.kind === 'retry') {
			await awaitServerState(ctx, job)
			if (job.signal.aborted) return
			ctx.metrics.retries.inc({ reason: next.reason })
			continue
		}
		failRequest(ctx, job, res, next.error)
		return
	}
}

/**
 * Waits for the crash check of the last server where a retry depends on its result: a
 * poison request could crash the next server too, and the crash of a rank closes its
 * whole group. Usually this takes one round trip.
 */
async function awaitServerState(ctx: GatewayContext, job: Job): Promise<void> {
	const server = [...job.tried].at(-1)
	if (server === undefined) return
	const { request, service } = job
	const mayBePoison =
		request.sharedParts.length > 0 || isSuspected(ctx, request)
	if (mayBePoison || isGrouped(ctx, service)) await awaitCrashCheck(ctx, server)
}

async function handleResult(
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
			if (mayRetry(ctx, job)) return { kind: 'retry', reason: 'notRun' }
			return {
				kind: 'failed',
				error: job.mayHaveRun ? 'linkLost' : 'unreachable',
			}
		case 'lost':
			if (mayRetry(ctx, job)) return { kind: 'retry', reason: 'lost' }
			return { kind: 'failed', error: 'linkLost' }
		case 'invalid':
			if (mayRetry(ctx, job)) return { kind: 'retry', reason: 'invalid' }
			return { kind: 'failed', error: 'invalidAnswer' }
		case 'answer':
			return await handleAnswer(ctx, job, res, result)
		default:
			return result satisfies never
	}
}

async function handleAnswer(
	ctx: GatewayContext,
	job: Job,
	res: ServerResponse,
	result: Extract<AttemptResult, { kind: 'answer' }>,
): Promise<NextStep> {
	const { answer, serverId } = result
	const { message, status } = answer
	if (isEventStream(message)) return await relayStream(ctx, job, res, result)
	const body = await readCountedBody(ctx, answer)
	const isGood = body.kind === 'complete' && status < SERVER_ERROR
	result.release(classifyEnd(job, isGood, body.kind))
	if (job.signal.aborted) return { kind: 'done' }
	if (!isGood) {
		if (body.kind === 'tooLarge')
			ctx.metrics.invalidAnswers.inc({ fault: 'too large' })
		logAttempt(ctx, job, serverId, 'failed', describeFailure(body, status))
		if (mayRetry(ctx, job)) return { kind: 'retry', reason: 'failed' }
	}
	if (body.kind === 'tooLarge')
		return { kind: 'failed', error: 'invalidAnswer' }
	if (body.kind === 'broken') return { kind: 'failed', error: 'truncated' }
	const { request } = job
	job.times.startMs = readElapsed() - request.arrivedAt
	ctx.metrics.firstByte.observe(job.times.startMs / 1_000)
	recordDuration(ctx, request)
	logServed(ctx, job, serverId, String(status))
	writeAnswer(ctx, res, message, body.parts, request)
	return { kind: 'done' }
}

function describeFailure(body: CountedBody, status: number): string {
	switch (body.kind) {
		case 'complete':
			return `status ${status}`
		case 'broken':
			return body.reason
		case 'tooLarge':
			return `too large, broken off after ${body.bytes} bytes`
		default:
			return body satisfies never
	}
}

function classifyEnd(
	job: Job,
	isGood: boolean,
	body: CountedBody['kind'],
): AnswerEnd {
	if (job.signal.aborted) return 'abandoned'
	if (isGood) return 'good'
	return body === 'broken' ? 'broken' : 'failed'
}
