/**
 * Relays the events of a stream as they arrive, complete and in order. A truncated
 * stream is resumed at another server within the same response.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { readElapsed, readNow } from '@juniperhook/runtime'
import { createStreamProgress, recordProgress } from './answerProof.ts'
import { logAttempt, logServed } from './attemptLog.ts'
import type { GatewayContext } from './context.ts'
import type { StreamEvent } from './eventSplitter.ts'
import {
	createEventSplitter,
	isEventTooLarge,
	isWithinEvent,
	splitEvents,
} from './eventSplitter.ts'
import { paceSource, queueOf, setSource } from './heldResponses.ts'
import type { AnswerEnd, AttemptResult, Job, NextStep } from './job.ts'
import { writeStreamHead } from './reply.ts'
import { endQueue, queueEvent } from './responseQueue.ts'
import { mayRetry } from './retryDecision.ts'
import { endsWithConnection } from './serverCall.ts'
import { recordDuration } from './shutdownGate.ts'
import {
	continueBacklog,
	createStreamBacklog,
	createStreamSource,
	flushBacklog,
	paceBacklog,
	writeEvent,
} from './streamBacklog.ts'
import { recordAnswer, recordWorkEvent } from './workState.ts'

/** Relays the part of a stream that one server sends. */
export function relayStream(
	ctx: GatewayContext,
	job: Job,
	res: ServerResponse,
	result: Extract<AttemptResult, { kind: 'answer' }>,
): Promise<NextStep> {
	const { answer, serverId } = result
	const { message } = answer
	const splitter = createEventSplitter()
	const queue = queueOf(ctx, res, job.request)
	const backlog = createStreamBacklog(res)
	let lastAt = readNow()
	let inOrder = true
	const progress = createStreamProgress()
	const recordPause = (ms: number) => {
		ctx.metrics.pauses.observe(ms / 1_000)
		job.times.longestPauseMs = Math.max(job.times.longestPauseMs, ms)
	}
	const isContinuation = job.eventsRelayed > 0
	const relay = (event: StreamEvent) => {
		if (!isNext(job.lastEventId, event, isContinuation)) {
			inOrder = false
			answer.closeConnection()
			return
		}
		const now = readNow()
		if (res.headersSent) recordPause(now - lastAt)
		else {
			writeStreamHead(ctx, res, message)
			job.times.startMs = readElapsed() - job.request.arrivedAt
			ctx.metrics.firstByte.observe(job.times.startMs / 1_000)
		}
		lastAt = now
		recordProgress(ctx, job.request, progress, now)
		job.eventsRelayed++
		if (result.work) recordWorkEvent(ctx, result.work)
		if (queue) queueEvent(ctx, queue, event.bytes)
		else writeEvent(backlog, event.bytes)
		if (event.id !== undefined) job.lastEventId = event.id
		else if (!event.isComment) job.hasUnnumberedEvents = true
	}
	const source = createStreamSource(message, pausedMs => {
		lastAt = Math.min(readNow(), lastAt + pausedMs)
	})
	const onDrain = () => continueBacklog(backlog, source)
	if (queue) setSource(queue, source)
	else res.on('drain', onDrain)
	return new Promise(resolve => {
		message.on('data', (data: Buffer) => {
			for (const event of splitEvents(splitter, data)) if (inOrder) relay(event)
			if (isEventTooLarge(splitter) && inOrder) {
				inOrder = false
				ctx.metrics.invalidAnswers.inc({ fault: 'too large' })
				answer.closeConnection()
			}
			if (queue) paceSource(ctx, queue)
			else paceBacklog(backlog, source)
		})
		message.on('close', () => {
			if (queue) setSource(queue, undefined)
			res.off('drain', onDrain)
			flushBacklog(backlog)
			const isFramingComplete =
				answer.isComplete() && !isUnstarted(job, message)
			const isComplete =
				isFramingComplete && inOrder && !isWithinEvent(splitter)
			result.release(classifyEnd(job, isComplete, isFramingComplete))
			if (job.signal.aborted) {
				resolve({ kind: 'done' })
				return
			}
			if (isComplete) {
				if (!res.headersSent) writeStreamHead(ctx, res, message)
				if (queue) endQueue(ctx, queue)
				else res.end()
				recordAnswer(ctx, job)
				recordDuration(ctx, job.request)
				logServed(ctx, job, serverId, 'stream ended')
				resolve({ kind: 'done' })
				return
			}
			logAttempt(ctx, job, serverId, 'broken', `after ${job.lastEventId}`)
			if (job.hasUnnumberedEvents || !mayRetry(ctx, job)) {
				resolve({ kind: 'failed', error: 'truncated' })
				return
			}
			ctx.metrics.resumes.inc()
			resolve({ kind: 'retry', reason: 'broken' })
		})
	})
}

/**
 * Whether a connection ended before the first event of a stream without framing. It looks
 * complete then, but the server has sent nothing.
 */
function isUnstarted(
	{ eventsRelayed, lastEventId }: Job,
	message: IncomingMessage,
): boolean {
	const hasBegun = eventsRelayed > 0 || lastEventId !== undefined
	return !hasBegun && endsWithConnection(message)
}

/** Classifies the end of a stream's connection. */
function classifyEnd(
	job: Job,
	isComplete: boolean,
	isFramingComplete: boolean,
): AnswerEnd {
	if (job.signal.aborted) return 'abandoned'
	if (isComplete) return 'good'
	return isFramingComplete ? 'failed' : 'broken'
}

/**
 * Returns whether an event follows the last one; ids are ascending numbers. What continues
 * another server's events needs an id to show that it was not among them.
 */
function isNext(
	last: string | undefined,
	{ id, isComment }: StreamEvent,
	isContinuation: boolean,
): boolean {
	if (id === undefined) return isComment || !isContinuation
	return last === undefined || Number(id) > Number(last)
}
