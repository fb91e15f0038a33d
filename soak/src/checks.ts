/** Checks each run at a backend server and each answer to a caller as it happens. */

import type { IncomingMessage } from 'node:http'
import { WIRE } from '../../platform/src/index.ts'
import type { RequestRecord, Run, SoakRecord } from './types.ts'
import { count, recordViolation } from './types.ts'

/** Records a run and checks whether it is permitted. */
export function checkRun(
	record: SoakRecord,
	serverId: string,
	req: IncomingMessage,
	body: string,
): Run {
	const id = String(req.headers[WIRE.requestId] ?? '')
	const run: Run = {
		id,
		serverId,
		startedAt: performance.now(),
		deadlineMs: Number(req.headers[WIRE.deadlineMs]),
		endedAt: undefined,
	}
	const runs = record.runs.get(id) ?? []
	record.runs.set(id, [...runs, run])
	count(record, 'runs')
	const request = record.requests.get(id)
	if (!request) {
		recordViolation(
			record,
			'UNASKED',
			`${serverId} runs ${id}, which no caller sent`,
		)
		return run
	}
	const isAsSent =
		req.url === request.path &&
		body === request.body &&
		req.headers[WIRE.team] === request.team &&
		req.headers.authorization === undefined
	if (!isAsSent)
		recordViolation(
			record,
			'UNASKED',
			`${id} was changed in transit: ${req.url}`,
		)
	if (request.kind === 'once' && runs.length > 0)
		recordViolation(record, 'TWICE', `${id} runs a second time, at ${serverId}`)
	if (request.promisedNotRunAt !== undefined && request.kind === 'once')
		recordViolation(
			record,
			'REFUSED',
			`${id} runs after its caller was told that it has not run`,
		)
	return run
}

/**
 * An answer as its caller received it; `status` 0 if the connection closed without one.
 */
export interface CallerAnswer {
	readonly status: number
	readonly seal: string | undefined
	readonly requestId: string | undefined
	readonly retryAfter: string | undefined
	readonly body: string
	/** Whether the body is complete by its framing. */
	readonly complete: boolean
}

/** Statuses by which an entry promises that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/** Checks an answer; truncated ones are checked by the caller. */
export function checkAnswer(
	record: SoakRecord,
	request: RequestRecord,
	answer: CallerAnswer,
	expected: string,
): void {
	count(record, `answers with ${answer.status}`)
	const { id } = request
	if (answer.requestId !== undefined && answer.requestId !== id)
		recordViolation(
			record,
			'MIXED',
			`${id} received the answer to ${answer.requestId}`,
		)
	if (answer.status === 200 && answer.complete) {
		const [run] = record.runs.get(id) ?? []
		if (!run || !answer.seal)
			recordViolation(record, 'MIXED', `${id} was answered 200 without a run`)
		if (answer.body !== expected)
			recordViolation(
				record,
				request.kind === 'stream' ? 'ORDER' : 'MIXED',
				`${id} received ${answer.body.length} bytes that differ from the ${expected.length} expected`,
			)
	}
	if (!NOT_RUN_STATUSES.has(answer.status)) return
	request.promisedNotRunAt = performance.now()
	const runs = record.runs.get(id) ?? []
	if (request.kind === 'once' && runs.length > 0)
		recordViolation(
			record,
			'REFUSED',
			`${id} was answered ${answer.status} but ran`,
		)
	if (
		answer.status === 503 &&
		!answer.retryAfter &&
		!answer.body.includes('noConfig')
	)
		count(record, 'refusals without Retry-After')
}

/** Checks that a truncated stream has no lost, duplicated or foreign events. */
export function checkPartialStream(
	record: SoakRecord,
	request: RequestRecord,
	body: string,
	expected: string,
): void {
	if (!expected.startsWith(body))
		recordViolation(
			record,
			'ORDER',
			`${request.id} received other events: ${body}`,
		)
}
