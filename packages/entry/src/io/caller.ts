/**
 * The answer to a caller. Answers that are not streams are buffered up to a limit until
 * they are complete, so that a failed attempt can be repeated; streams are forwarded
 * chunk by chunk.
 */

import type { ServerResponse } from 'node:http'
import type { Outcome, PartCollector } from '@juniperhook/core'
import {
	addPart,
	clearParts,
	createPartCollector,
	ERRORS,
	listParts,
} from '@juniperhook/core'
import { endAfterRequest } from '@juniperhook/runtime'

/** Maximum size of an answer that is buffered until it is complete, bytes. */
const MAX_BUFFERED_BYTES = 262_144
const MS_PER_SECOND = 1_000
/** Response header with the outcome of a failed request. */
export const OUTCOME_HEADER = 'x-request-outcome'

/** An answer in progress. */
export interface CallerAnswer {
	readonly res: ServerResponse
	head:
		| { status: number; headers: Record<string, string | string[]> }
		| undefined
	/** What has not been written yet. */
	readonly buffered: PartCollector
	isStream: boolean
}

/** Creates an answer of which nothing has been written. */
export function createCallerAnswer(res: ServerResponse): CallerAnswer {
	return {
		res,
		head: undefined,
		buffered: createPartCollector(),
		isStream: false,
	}
}

/** Whether part of the answer has been sent to the caller. */
export function isAnswerStarted(answer: CallerAnswer): boolean {
	return answer.res.headersSent
}

/** Sets the backend server's status and headers; starts sending if it is a stream. */
export function setHead(
	answer: CallerAnswer,
	status: number,
	headers: Record<string, string | string[]>,
): void {
	answer.head = { status, headers }
	const type = String(headers['content-type'] ?? '')
	answer.isStream = type.includes('text/event-stream')
	if (answer.isStream) flush(answer)
}

/** Buffers or writes a chunk; returns false if the caller's socket buffer is full. */
export function writeChunk(answer: CallerAnswer, data: Uint8Array): boolean {
	if (answer.res.headersSent) return answer.res.write(data)
	addPart(answer.buffered, data)
	return answer.buffered.bytes <= MAX_BUFFERED_BYTES || flush(answer)
}

/** Discards what is buffered, before another attempt. */
export function resetAnswer(answer: CallerAnswer): void {
	answer.head = undefined
	clearParts(answer.buffered)
}

/** Writes the rest of a complete answer and ends it. */
export function endAnswer(answer: CallerAnswer): void {
	const { res, head } = answer
	if (!res.headersSent && head) {
		res.writeHead(head.status, {
			...head.headers,
			...(head.status !== 204 &&
				head.status !== 304 && { 'content-length': answer.buffered.bytes }),
		})
		for (const data of listParts(answer.buffered)) res.write(data)
	}
	res.end()
}

/** Ends a failed answer such that the caller can tell a partial one from a complete one. */
export function failAnswer(
	answer: CallerAnswer,
	outcome: Exclude<Outcome, { outcome: 'answered' }>,
	detail = '',
): void {
	const { res } = answer
	const body = describeFailure(outcome, detail)
	if (res.headersSent) {
		if (answer.isStream) res.write(`data: ${body}\n\n`)
		// Without the final chunk of chunked encoding, clients detect the truncation.
		if (answer.isStream) res.end()
		else res.destroy()
		return
	}
	// The rest of the request is not used, so the connection cannot be reused.
	if (!res.req.complete) res.setHeader('connection', 'close')
	const seconds = Math.ceil(outcome.retryAfterMs / MS_PER_SECOND)
	res.writeHead(ERRORS[outcome.kind].status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(body),
		[OUTCOME_HEADER]: outcome.outcome,
		...(seconds > 0 && { 'retry-after': String(seconds) }),
	})
	endAfterRequest(res, body)
}

/** Returns the error body in the format that clients of model servers expect. */
function describeFailure(
	outcome: Exclude<Outcome, { outcome: 'answered' }>,
	detail: string,
): string {
	const { text, type } = ERRORS[outcome.kind]
	const message = detail ? `${text} ${detail}` : text
	return JSON.stringify({
		error: {
			message,
			type,
			code: outcome.kind,
			param: null,
			outcome: outcome.outcome,
			retry_after_ms: outcome.retryAfterMs,
		},
	})
}

function flush(answer: CallerAnswer): boolean {
	const { res, head } = answer
	if (!head) return true
	res.writeHead(head.status, head.headers)
	res.flushHeaders()
	let canWrite = true
	for (const data of listParts(answer.buffered)) canWrite = res.write(data)
	clearParts(answer.buffered)
	return canWrite
}
