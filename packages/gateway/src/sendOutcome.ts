/** Evaluates the outcome of a send and updates the state of servers and groups. */

import type { AttemptOutcome } from '@juniperhook/core'
import { recordAttempt } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { AnswerFault } from './answerFault.ts'
import { findAnswerFault } from './answerFault.ts'
import { recordComplete } from './answerProof.ts'
import { logAttempt } from './attemptLog.ts'
import {
	handleGroupOpened,
	handleGroupRefusal,
	isGrouped,
	isGroupRefusal,
} from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { recordBrokenConnection, scheduleCrashCheck } from './crashDetector.ts'
import { groupOf } from './fleet.ts'
import type { AnswerEnd, AttemptResult } from './job.ts'
import { pressureOf, recordFirstByte } from './pressure.ts'
import { isAnySuspected } from './quarantineGate.ts'
import type { Send } from './send.ts'
import { trackAbandoned } from './sentRequests.ts'
import { recordAccepted } from './serverBackoffs.ts'
import type { CallResult, ServerAnswer } from './serverCall.ts'
import { discardBody } from './serverCall.ts'
import { serveQueues } from './serverQueue.ts'
import { dropDisplaced } from './serverRecords.ts'
import { applyStatement } from './serverStatement.ts'

/** Status with which another server at the same address refuses a request. */
const MISDIRECTED = 421
/** Error code when no process listens at the address. */
const CONNECTION_REFUSED = 'ECONNREFUSED'
/** Error codes when the server closes the connection. */
const CLOSED_BY_SERVER: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE'])

/** Records a send without a response. */
export function recordUnanswered(
	ctx: GatewayContext,
	send: Send,
	result: Exclude<CallResult, { kind: 'answer' }>,
): AttemptResult {
	const { job, server } = send
	const { reason } = result
	const isSent = result.kind === 'lost'
	if (isSent) recordLost(ctx, send, reason)
	send.releaseSlot()
	if (!job.signal.aborted)
		recordResult(ctx, send, { kind: isSent ? 'failed' : 'unreached' })
	if (!isSent) recordNotRun(send)
	// A rank without a process stops its whole group, which will refuse requests.
	if (reason === CONNECTION_REFUSED && isGrouped(ctx, job.service))
		handleGroupRefusal(ctx, groupOf(server))
	logAttempt(ctx, job, server.id, result.kind, reason)
	return isSent ? result : { kind: 'notRun', reason }
}

/** Evaluates the head of a response, before its body is read. */
export function evaluateAnswer(
	ctx: GatewayContext,
	send: Send,
	answer: ServerAnswer,
): AttemptResult {
	const { status, message } = answer
	const isMarkedNotRun = message.headers[ctx.wire.notRun] !== undefined
	const isMisdirected = status === MISDIRECTED
	const isRefusal = isMarkedNotRun || isMisdirected
	const fault = isRefusal
		? undefined
		: findAnswerFault(ctx.wire, send.job, message)
	if (fault) return recordInvalid(ctx, send, answer, fault)
	// A misdirected response comes from another server than the one addressed.
	if (!isMisdirected)
		applyStatement(
			ctx,
			{
				server: send.server.id,
				sentAt: send.sentAtElapsed,
				ran: !isMarkedNotRun,
			},
			ctx.readStatement(status, message.headers),
		)
	if (isRefusal) return recordRefusal(ctx, send, answer)
	return beginAnswer(ctx, send, answer)
}

/** Records a response that proves nothing; what it says about its server is not believed. */
function recordInvalid(
	ctx: GatewayContext,
	send: Send,
	{ status, closeConnection }: ServerAnswer,
	fault: AnswerFault,
): AttemptResult {
	const { job, server } = send
	closeConnection()
	send.releaseSlot()
	recordResult(ctx, send, { kind: 'failed' })
	ctx.metrics.invalidAnswers.inc({ fault })
	logAttempt(ctx, job, server.id, 'invalid', `${fault}, status ${status}`)
	return { kind: 'invalid', fault }
}

function recordRefusal(
	ctx: GatewayContext,
	send: Send,
	answer: ServerAnswer,
): AttemptResult {
	const { status, message } = answer
	const { job, server } = send
	if (status === MISDIRECTED) dropDisplaced(ctx, server.id)
	discardBody(answer)
	recordNotRun(send)
	send.releaseSlot()
	if (isGroupRefusal(ctx, server, status)) {
		job.groupRefusals++
		handleGroupRefusal(ctx, groupOf(server))
	}
	// A refusal is not a failure: a full server is recognized by its reported load.
	const fault = message.headers[ctx.wire.atFault]?.toString() ?? ''
	logAttempt(ctx, job, server.id, 'notRun', `${status} ${fault}`)
	return { kind: 'notRun', reason: `status ${status}` }
}

function beginAnswer(
	ctx: GatewayContext,
	send: Send,
	answer: ServerAnswer,
): AttemptResult {
	const { job, server, sentAt } = send
	recordAccepted(ctx, server.id, send.sentAtElapsed)
	if (handleGroupOpened(ctx, groupOf(server), 'answer')) serveQueues(ctx)
	recordFirstByte(pressureOf(ctx.pressures, job.service), readNow() - sentAt)
	return {
		kind: 'answer',
		answer,
		serverId: server.id,
		work: send.work,
		release: end => endAnswer(ctx, send, answer, end),
	}
}

function endAnswer(
	ctx: GatewayContext,
	send: Send,
	answer: ServerAnswer,
	end: AnswerEnd,
): void {
	const { job, server, sentAt } = send
	const { request } = job
	switch (end) {
		case 'good':
			recordComplete(ctx, send, answer)
			break
		case 'broken':
			recordBrokenConnection(ctx, server)
			break
		case 'abandoned':
			recordAbandoned(ctx, send)
			break
		case 'failed':
			break
		default:
			end satisfies never
	}
	send.releaseSlot()
	const isPlain = request.route.kind !== 'stream'
	const tookMs = isPlain ? readNow() - sentAt : undefined
	const isSuccess = end === 'good' || end === 'abandoned'
	recordResult(
		ctx,
		send,
		isSuccess ? { kind: 'good', tookMs } : { kind: 'failed' },
	)
}

function recordResult(
	{ fleet }: GatewayContext,
	{ server }: Send,
	result: AttemptOutcome,
): void {
	const row = fleet.table.rowOf.get(server.id)
	if (row !== undefined) recordAttempt(fleet.table, row, result, readNow())
}

/** Records a connection that was closed by the server or by this entry. */
function recordLost(ctx: GatewayContext, send: Send, reason: string): void {
	if (CLOSED_BY_SERVER.has(reason)) recordBrokenConnection(ctx, send.server)
	else recordAbandoned(ctx, send)
}

function recordAbandoned(
	ctx: GatewayContext,
	{ server, sentRequest }: Send,
): void {
	trackAbandoned(ctx.sentRequests, server.id, sentRequest)
	if (isAnySuspected(ctx, sentRequest.request)) scheduleCrashCheck(ctx, server)
}

function recordNotRun({ job, mayHaveRunBefore }: Send): void {
	job.mayHaveRun = mayHaveRunBefore
	job.refusedSends++
}
