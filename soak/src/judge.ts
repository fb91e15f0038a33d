/** Judges what backend servers run and what callers get, as it happens. */

import type { IncomingMessage } from 'node:http'
import { WIRE } from '../../platform/src/index.ts'
import type { RequestRecord, Run, SoakRecord } from './types.ts'
import { count, recordViolation } from './types.ts'

/** Notes a run and judges whether it may be. */
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
		recordViolation(record, 'UNASKED', `${serverId} runs ${id}, never sent`)
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
			`${id} was changed on its way: ${req.url}`,
		)
	if (request.kind === 'once' && runs.length > 0)
		recordViolation(record, 'TWICE', `${id} runs at ${serverId} again`)
	if (request.promisedNotRunAt !== undefined && request.kind === 'once')
		recordViolation(record, 'REFUSED', `${id} runs after "not run" was said`)
	return run
}

/** What a caller got; `status` 0 when the connection ended without an answer. */
export interface CallerAnswer {
	readonly status: number
	readonly seal: string | undefined
	readonly requestId: string | undefined
	readonly retryAfter: string | undefined
	readonly body: string
	/** Whether the answer ended as its framing says. */
	readonly complete: boolean
}

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/** Judges an answer; those that broke off are judged by the caller. */
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
			`${id} got the answer to ${answer.requestId}`,
		)
	if (answer.status === 200 && answer.complete) {
		const [run] = record.runs.get(id) ?? []
		if (!run || !answer.seal)
			recordViolation(record, 'MIXED', `${id} was never run`)
		if (answer.body !== expected)
			recordViolation(
				record,
				request.kind === 'stream' ? 'ORDER' : 'MIXED',
				`${id} got ${answer.body.length} bytes, not ${expected.length}`,
			)
	}
	if (!NOT_RUN_STATUSES.has(answer.status)) return
	request.promisedNotRunAt = performance.now()
	const runs = record.runs.get(id) ?? []
	if (request.kind === 'once' && runs.length > 0)
		recordViolation(record, 'REFUSED', `${id} got ${answer.status} but ran`)
	if (
		answer.status === 503 &&
		!answer.retryAfter &&
		!answer.body.includes('noConfig')
	)
		count(record, 'refusals that say no time to come back')
}

/** Whether a stream that broke off has lost, doubled or mixed events. */
export function checkPartialStream(
	record: SoakRecord,
	request: RequestRecord,
	body: string,
	expected: string,
): void {
	if (!expected.startsWith(body))
		recordViolation(record, 'ORDER', `${request.id} got other events: ${body}`)
}
