/** Evaluates the outcome of a send and updates the state of servers and groups. */

import type { TryResult } from '@juniperhook/core'
import { noteTry } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import { logAttempt } from './attemptLog.ts'
import {
	closeGroup,
	isGrouped,
	isGroupRefusal,
	openGroup,
} from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { groupOf } from './fleet.ts'
import type { AnswerEnd, AttemptResult } from './job.ts'
import { noteFirst, pressureOf } from './pressure.ts'
import { isSuspected, noteServed } from './quarantineGate.ts'
import { leaveRun } from './runs.ts'
import type { Send } from './send.ts'
import type { CallResult, ServerAnswer } from './serverCall.ts'
import { noteAlive, noteBroken, watchLeft } from './serverEnds.ts'
import { dropDisplaced } from './serverRecords.ts'
import { noteTaken } from './serverRests.ts'
import { takeStatement } from './serverStatement.ts'
import { serveWaiting } from './waiting.ts'

/** Status with which another server at the same address refuses a request. */
const MISDIRECTED = 421
/** Error code when no process listens at the address. */
const CONNECTION_REFUSED = 'ECONNREFUSED'
/** Error codes when the server closes the connection. */
const CLOSED_BY_SERVER: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE'])

/** Records a send without a response. */
export function noteUnanswered(
	ctx: GatewayContext,
	send: Send,
	result: Exclude<CallResult, { kind: 'answer' }>,
): AttemptResult {
	const { job, server } = send
	const { reason } = result
	const isSent = result.kind === 'lost'
	if (isSent) noteLost(ctx, send, reason)
	send.free()
	if (!job.signal.aborted)
		noteResult(ctx, send, { kind: isSent ? 'failed' : 'unreached' })
	if (!isSent) noteNotRun(send)
	// A rank without a process stops its whole group, which will refuse requests.
	if (reason === CONNECTION_REFUSED && isGrouped(ctx, job.service))
		closeGroup(ctx, groupOf(server))
	logAttempt(ctx, job, server.id, result.kind, reason)
	return isSent ? result : { kind: 'notRun', reason }
}

/** Evaluates the head of a response, before its body is read. */
export function judgeAnswer(
	ctx: GatewayContext,
	send: Send,
	answer: ServerAnswer,
): AttemptResult {
	const { status, message } = answer
	const saysNotRun = message.headers[ctx.wire.notRun] !== undefined
	const isMisdirected = status === MISDIRECTED
	// A misdirected response comes from another server than the one addressed.
	if (!isMisdirected)
		takeStatement(
			ctx,
			{
				server: send.server.id,
				sentAt: send.sentAtElapsed,
				ran: !saysNotRun,
			},
			ctx.readStatement(status, message.headers),
		)
	if (saysNotRun || isMisdirected) return noteRefusal(ctx, send, answer)
	return beginAnswer(ctx, send, answer)
}

function noteRefusal(
	ctx: GatewayContext,
	send: Send,
	{ status, message }: ServerAnswer,
): AttemptResult {
	const { job, server } = send
	if (status === MISDIRECTED) dropDisplaced(ctx, server.id)
	message.resume()
	noteNotRun(send)
	send.free()
	if (isGroupRefusal(ctx, server, status)) {
		job.groupRefusals++
		closeGroup(ctx, groupOf(server))
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
	noteTaken(ctx, server.id, send.sentAtElapsed)
	if (openGroup(ctx, groupOf(server), 'answer')) serveWaiting(ctx)
	noteFirst(pressureOf(ctx.pressures, job.service), readNow() - sentAt)
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
			noteServed(ctx, request)
			noteAlive(ctx, server.id)
			break
		case 'broken':
			noteBroken(ctx, server)
			break
		case 'left':
			noteAbandoned(ctx, send)
			break
		case 'failed':
			break
		default:
			end satisfies never
	}
	send.free()
	const isPlain = request.route.kind !== 'stream'
	const tookMs = isPlain ? readNow() - sentAt : undefined
	const isGood = end === 'good' || end === 'left'
	noteResult(ctx, send, isGood ? { kind: 'good', tookMs } : { kind: 'failed' })
}

function noteResult(
	{ fleet }: GatewayContext,
	{ server }: Send,
	result: TryResult,
): void {
	const row = fleet.table.rowOf.get(server.id)
	if (row !== undefined) noteTry(fleet.table, row, result, readNow())
}

/** Records a connection that was closed by the server or by this entry. */
function noteLost(ctx: GatewayContext, send: Send, reason: string): void {
	if (CLOSED_BY_SERVER.has(reason)) noteBroken(ctx, send.server)
	else noteAbandoned(ctx, send)
}

function noteAbandoned(ctx: GatewayContext, { server, run }: Send): void {
	leaveRun(ctx.runs, server.id, run)
	if (isSuspected(ctx, run.request)) watchLeft(ctx, server)
}

function noteNotRun({ job, mayHaveRunBefore }: Send): void {
	job.mayHaveRun = mayHaveRunBefore
	job.refusedSends++
}
