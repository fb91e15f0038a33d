/** Judges what backend servers run and what callers get, as it happens. */

import type { IncomingMessage } from 'node:http'
import { WIRE } from '../../platform/src/index.ts'
import type { Asked, Record, Run } from './types.ts'
import { breakPromise, count } from './types.ts'

/** Notes a run and judges whether it may be. */
export function judgeRun(
	record: Record,
	serverId: string,
	req: IncomingMessage,
	body: string,
): Run {
	const id = String(req.headers[WIRE.requestId] ?? '')
	const run: Run = {
		id,
		serverId,
		startedAt: performance.now(),
		givenMs: Number(req.headers[WIRE.deadlineMs]),
		endedAt: undefined,
	}
	const runs = record.runs.get(id) ?? []
	record.runs.set(id, [...runs, run])
	count(record, 'runs')
	const asked = record.asked.get(id)
	if (!asked) {
		breakPromise(record, 'UNASKED', `${serverId} runs ${id}, never sent`)
		return run
	}
	const isAsSent =
		req.url === asked.path &&
		body === asked.body &&
		req.headers[WIRE.team] === asked.team &&
		req.headers.authorization === undefined
	if (!isAsSent)
		breakPromise(record, 'UNASKED', `${id} was changed on its way: ${req.url}`)
	if (asked.kind === 'once' && runs.length > 0)
		breakPromise(record, 'TWICE', `${id} runs at ${serverId} again`)
	if (asked.promisedAt !== undefined && asked.kind === 'once')
		breakPromise(record, 'REFUSED', `${id} runs after "not run" was said`)
	return run
}

/** What a caller got; `status` 0 when the connection ended without an answer. */
export interface Got {
	readonly status: number
	readonly seal: string | undefined
	readonly answeredId: string | undefined
	readonly retryAfter: string | undefined
	readonly body: string
	/** Whether the answer ended as its framing says. */
	readonly whole: boolean
}

/** Statuses that promise that the request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503])

/** Judges an answer; those that broke off are judged by the caller. */
export function judgeAnswer(
	record: Record,
	asked: Asked,
	got: Got,
	expected: string,
): void {
	count(record, `answers with ${got.status}`)
	const { id } = asked
	if (got.answeredId !== undefined && got.answeredId !== id)
		breakPromise(record, 'MIXED', `${id} got the answer to ${got.answeredId}`)
	if (got.status === 200 && got.whole) {
		const [run] = record.runs.get(id) ?? []
		if (!run || !got.seal) breakPromise(record, 'MIXED', `${id} was never run`)
		if (got.body !== expected)
			breakPromise(
				record,
				asked.kind === 'stream' ? 'ORDER' : 'MIXED',
				`${id} got ${got.body.length} bytes, not ${expected.length}`,
			)
	}
	if (!PROMISES.has(got.status)) return
	asked.promisedAt = performance.now()
	const runs = record.runs.get(id) ?? []
	if (asked.kind === 'once' && runs.length > 0)
		breakPromise(record, 'REFUSED', `${id} got ${got.status} but ran`)
	if (got.status === 503 && !got.retryAfter && !got.body.includes('noConfig'))
		count(record, 'refusals that say no time to come back')
}

/** Whether a stream that broke off has lost, doubled or mixed events. */
export function judgePart(
	record: Record,
	asked: Asked,
	body: string,
	expected: string,
): void {
	if (!expected.startsWith(body))
		breakPromise(record, 'ORDER', `${asked.id} got other events: ${body}`)
}
