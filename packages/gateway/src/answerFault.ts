/**
 * Checks the head of an answer before any of it is passed on: a faulty server, or one that
 * answers another request, may send any status, header and body.
 */

import type { IncomingMessage } from 'node:http'
import type { CallerRequest, Job } from './job.ts'
import type { WireNames } from './ports.ts'

/** Why an answer must not be passed on. */
export type AnswerFault =
	/** It does not bear exactly one seal. */
	| 'not sealed'
	/** It cannot follow the events that the caller has already received. */
	| 'not a stream'
	/** Its status promises that the request has not run, but it is not marked so. */
	| 'unmarked refusal'
	/** Its status is an interim one. */
	| 'not final'
	/** Its body is encoded in a way that the caller did not ask for. */
	| 'encoded'
	/** The process has no memory for the rest of it. */
	| 'too large'

const OK = 200
const IDENTITY = 'identity'
const ANY_ENCODING = '*'
/** Statuses with which callers are promised that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503])
const STREAM_TYPE = 'text/event-stream'

/** Returns what is wrong with an answer that is not a refusal; undefined if nothing is. */
export function findAnswerFault(
	names: WireNames,
	{ request, eventsRelayed }: Job,
	message: IncomingMessage,
): AnswerFault | undefined {
	if (!isSealed(names, message)) return 'not sealed'
	if (isEncoded(request, message)) return 'encoded'
	const status = message.statusCode ?? 0
	if (status < OK) return 'not final'
	if (NOT_RUN_STATUSES.has(status)) return 'unmarked refusal'
	if (eventsRelayed > 0 && !isEventStream(message)) return 'not a stream'
	return undefined
}

/** Whether an answer is a stream of events, which is relayed as it arrives. */
export function isEventStream({
	statusCode,
	headers,
}: IncomingMessage): boolean {
	const type = headers['content-type'] ?? ''
	return statusCode === OK && type.includes(STREAM_TYPE)
}

function isEncoded(
	{ acceptedEncodings }: CallerRequest,
	{ headers }: IncomingMessage,
): boolean {
	const encoding = headers['content-encoding']?.trim().toLowerCase()
	if (!encoding || encoding === IDENTITY) return false
	const accepted = [encoding, ANY_ENCODING]
	return !accepted.some(one => acceptedEncodings.includes(one))
}

/** Several seals prove as little as none: one server gives one. */
function isSealed(names: WireNames, message: IncomingMessage): boolean {
	const seals = message.headersDistinct[names.seal] ?? []
	return seals.length === 1 && seals[0]!.trim() !== ''
}
