/**
 * Passes a stream's events on as they come, whole and in order. A stream that
 * breaks off goes on at another server within the same answer.
 */

import type { ServerResponse } from 'node:http'
import { readElapsed, readNow } from '@juniperhook/runtime'
import { logAttempt, logServed } from './attemptLog.ts'
import type { GatewayContext } from './context.ts'
import type { StreamEvent } from './eventSplitter.ts'
import { createEventSplitter, splitEvents } from './eventSplitter.ts'
import type { AnswerEnd, AttemptResult, Job, NextStep } from './job.ts'
import { writeStreamHead } from './reply.ts'
import { mayRetry } from './retryDecision.ts'

/** Relays one server's part of a stream. */
export function relayStream(
	ctx: GatewayContext,
	job: Job,
	res: ServerResponse,
	result: Extract<AttemptResult, { kind: 'answer' }>,
): Promise<NextStep> {
	const { answer, serverId } = result
	const { message } = answer
	const splitter = createEventSplitter()
	let lastAt = readNow()
	let sound = true
	const notePause = (ms: number) => {
		ctx.metrics.pauses.observe(ms / 1_000)
		job.times.longestPauseMs = Math.max(job.times.longestPauseMs, ms)
	}
	const pass = (event: StreamEvent) => {
		if (!isNext(job.lastEventId, event.id)) {
			sound = false
			answer.cut()
			return
		}
		const now = readNow()
		if (res.headersSent) notePause(now - lastAt)
		else {
			writeStreamHead(ctx, res, message)
			job.times.startMs = readElapsed() - job.request.arrivedAt
			ctx.metrics.firstByte.observe(job.times.startMs / 1_000)
		}
		lastAt = now
		res.write(event.bytes)
		if (event.id !== undefined) job.lastEventId = event.id
	}
	return new Promise(resolve => {
		message.on('data', (data: Buffer) => {
			for (const event of splitEvents(splitter, data)) if (sound) pass(event)
		})
		message.on('close', () => {
			const whole = answer.isWhole() && sound && splitter.pending.length === 0
			result.release(judgeEnd(job, whole, answer.isWhole()))
			if (job.signal.aborted) {
				resolve({ kind: 'done' })
				return
			}
			if (whole) {
				if (!res.headersSent) writeStreamHead(ctx, res, message)
				res.end()
				logServed(ctx, job, serverId, 'stream ended')
				resolve({ kind: 'done' })
				return
			}
			logAttempt(ctx, job, serverId, 'broken', `after ${job.lastEventId}`)
			if (!mayRetry(ctx, job)) {
				resolve({ kind: 'failed', error: 'truncated' })
				return
			}
			ctx.metrics.resumes.inc()
			resolve({ kind: 'again', reason: 'broken' })
		})
	})
}

/** How a stream's connection ended. */
function judgeEnd(job: Job, isWhole: boolean, isFramed: boolean): AnswerEnd {
	if (job.signal.aborted) return 'left'
	if (isWhole) return 'good'
	return isFramed ? 'failed' : 'broken'
}

/** Whether an event's id follows the last one; ids are rising numbers. */
function isNext(last: string | undefined, id: string | undefined): boolean {
	if (last === undefined || id === undefined) return true
	return Number(id) > Number(last)
}
