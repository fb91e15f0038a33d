/**
 * The answer towards a caller. Whole answers are held back until their end is
 * seen, as far as a bound allows; streams go out as they come.
 */

import type { ServerResponse } from 'node:http'
import type { Outcome } from '@juniperhook/core'
import { ERRORS } from '@juniperhook/core'

/** Largest answer that is held back until it is whole, in bytes. */
const HOLD_BYTES = 262_144
const MS = 1_000
/** Response header that tells the outcome of a failed request. */
export const OUTCOME_HEADER = 'x-request-outcome'

/** An answer being written. */
export interface CallerAnswer {
	readonly res: ServerResponse
	head:
		| { status: number; headers: Record<string, string | string[]> }
		| undefined
	/** Chunks held back. */
	held: Uint8Array[]
	heldBytes: number
	stream: boolean
}

/** Makes an answer of which nothing is written. */
export function createCallerAnswer(res: ServerResponse): CallerAnswer {
	return { res, head: undefined, held: [], heldBytes: 0, stream: false }
}

/** Whether the caller has been sent a part. */
export function isTold(answer: CallerAnswer): boolean {
	return answer.res.headersSent
}

/** Takes the backend server's status and headers. */
export function takeHead(
	answer: CallerAnswer,
	status: number,
	headers: Record<string, string | string[]>,
): void {
	answer.head = { status, headers }
	const type = String(headers['content-type'] ?? '')
	answer.stream = type.includes('text/event-stream')
	if (answer.stream) flush(answer)
}

/** Takes a chunk; false when the caller's socket is full. */
export function takeChunk(answer: CallerAnswer, data: Uint8Array): boolean {
	if (answer.res.headersSent) return answer.res.write(data)
	answer.held.push(data)
	answer.heldBytes += data.length
	return answer.heldBytes <= HOLD_BYTES || flush(answer)
}

/** Forgets what is held back, before another try. */
export function resetAnswer(answer: CallerAnswer): void {
	answer.head = undefined
	answer.held = []
	answer.heldBytes = 0
}

/** Ends a whole answer. */
export function endAnswer(answer: CallerAnswer): void {
	const { res, head } = answer
	if (!res.headersSent && head) {
		res.writeHead(head.status, {
			...head.headers,
			...(head.status !== 204 &&
				head.status !== 304 && { 'content-length': answer.heldBytes }),
		})
		for (const data of answer.held) res.write(data)
	}
	res.end()
}

/** Ends a failed answer; a part is never passed off as whole. */
export function failAnswer(
	answer: CallerAnswer,
	outcome: Exclude<Outcome, { outcome: 'answered' }>,
	detail = '',
): void {
	const { res } = answer
	const body = describeFailure(outcome, detail)
	if (res.headersSent) {
		if (answer.stream) res.write(`data: ${body}\n\n`)
		// Without the last chunk of the coding, no client takes it for whole.
		if (answer.stream) res.end()
		else res.destroy()
		return
	}
	const seconds = Math.ceil(outcome.retryAfterMs / MS)
	res.writeHead(ERRORS[outcome.kind].status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(body),
		[OUTCOME_HEADER]: outcome.outcome,
		...(seconds > 0 && { 'retry-after': String(seconds) }),
	})
	res.end(body)
}

/** The error body that clients of model servers expect. */
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
	let room = true
	for (const data of answer.held) room = res.write(data)
	answer.held = []
	return room
}
