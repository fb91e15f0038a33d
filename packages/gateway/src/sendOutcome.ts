/** What the outcome of a send proves, and what it changes for those that follow. */

import type { AttemptOutcome } from '@juniperhook/core'
import { recordAttempt } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import { logAttempt } from './attemptLog.ts'
import {
	handleGroupOpened,
	handleGroupRefusal,
	isGrouped,
	isGroupRefusal,
} from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import {
	recordBrokenConnection,
	recordServerAlive,
	scheduleCrashCheck,
} from './crashDetector.ts'
import { groupOf } from './fleet.ts'
import type { AnswerEnd, AttemptResult } from './job.ts'
import { pressureOf, recordFirstByte } from './pressure.ts'
import { isSuspected, recordServed } from './quarantineGate.ts'
import type { Send } from './send.ts'
import { trackAbandoned } from './sentRequests.ts'
import { recordAccepted } from './serverBackoffs.ts'
import type { CallResult, ServerAnswer } from './serverCall.ts'
import { serveQueues } from './serverQueue.ts'
import { dropDisplaced } from './serverRecords.ts'
import { applyStatement } from './serverStatement.ts'

/** The address belongs to another server now. */
const MISDIRECTED = 421
/** How a call fails when no process listens at the address. */
const REFUSED = 'ECONNREFUSED'
/** How a call fails when the server closes its connection. */
const CLOSED_THERE: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE'])

/** Notes a send to which no answer came. */
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
		noteResult(ctx, send, { kind: isSent ? 'failed' : 'unreached' })
	if (!isSent) recordNotRun(send)
	// A rank without a process: its group stands still and will refuse.
	if (reason === REFUSED && isGrouped(ctx, job.service))
		handleGroupRefusal(ctx, groupOf(server))
	logAttempt(ctx, job, server.id, result.kind, reason)
	return isSent ? result : { kind: 'notRun', reason }
}

/** Judges the head of an answer; its body is still to come. */
export function judgeAnswer(
	ctx: GatewayContext,
	send: Send,
	answer: ServerAnswer,
): AttemptResult {
	const { status, message } = answer
	const saysNotRun = message.headers[ctx.wire.notRun] !== undefined
	const isMisdirected = status === MISDIRECTED
	// What another server says is not said of the one that was asked.
	if (!isMisdirected)
		applyStatement(
			ctx,
			{
				server: send.server.id,
				sentAt: send.sentAtElapsed,
				ran: !saysNotRun,
			},
			ctx.readStatement(status, message.headers),
		)
	if (saysNotRun || isMisdirected) return recordRefusal(ctx, send, answer)
	return beginAnswer(ctx, send, answer)
}

function recordRefusal(
	ctx: GatewayContext,
	send: Send,
	{ status, message }: ServerAnswer,
): AttemptResult {
	const { job, server } = send
	if (status === MISDIRECTED) dropDisplaced(ctx, server.id)
	message.resume()
	recordNotRun(send)
	send.releaseSlot()
	if (isGroupRefusal(ctx, server, status)) {
		job.groupRefusals++
		handleGroupRefusal(ctx, groupOf(server))
	}
	// A full server is told by its load; it has not failed.
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
		release: end => endAnswer(ctx, send, end),
	}
}

function endAnswer(ctx: GatewayContext, send: Send, end: AnswerEnd): void {
	const { job, server, sentAt } = send
	const { request } = job
	switch (end) {
		case 'good':
			recordServed(ctx, request)
			recordServerAlive(ctx, server.id)
			break
		case 'broken':
			recordBrokenConnection(ctx, server)
			break
		case 'left':
			leave(ctx, send)
			break
		case 'failed':
			break
		default:
			end satisfies never
	}
	send.releaseSlot()
	const isPlain = request.route.kind !== 'stream'
	const tookMs = isPlain ? readNow() - sentAt : undefined
	const isSound = end === 'good' || end === 'left'
	noteResult(ctx, send, isSound ? { kind: 'good', tookMs } : { kind: 'failed' })
}

function noteResult(
	{ fleet }: GatewayContext,
	{ server }: Send,
	result: AttemptOutcome,
): void {
	const row = fleet.table.rowOf.get(server.id)
	if (row !== undefined) recordAttempt(fleet.table, row, result, readNow())
}

/** A connection that the server closed, or that this entry did. */
function recordLost(ctx: GatewayContext, send: Send, reason: string): void {
	if (CLOSED_THERE.has(reason)) recordBrokenConnection(ctx, send.server)
	else leave(ctx, send)
}

function leave(ctx: GatewayContext, { server, run }: Send): void {
	trackAbandoned(ctx.sentRequests, server.id, run)
	if (isSuspected(ctx, run.request)) scheduleCrashCheck(ctx, server)
}

function recordNotRun({ job, mayHaveRunBefore }: Send): void {
	job.mayHaveRun = mayHaveRunBefore
	job.refusedSends++
}
