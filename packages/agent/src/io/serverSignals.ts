/**
 * Reads the signals in a backend server's answer and converts them into admission events.
 * The header names are the product's own, for the backend servers of its operators.
 */

import type { AdmissionEvent, AdmissionState } from '@juniperhook/core'
import { parseDecimal, parseRetryAfterMs } from '@juniperhook/core'
import { readMoment } from '@juniperhook/runtime'

const TOO_MANY = 429
const UNAVAILABLE = 503
const RETRY_AFTER = 'retry-after'
const SERVER_LIMIT = 'server-limit'
const SERVER_LEAVING = 'server-leaving'

/**
 * State of a backend server. `unsure`: a connection to it failed. `gone`: nothing listens
 * at its address.
 */
export type BackendState = 'up' | 'leaving' | 'unsure' | 'gone'

/** Headers of an answer. */
export type AnswerHeaders = Record<string, string | string[]>

/** Returns the events for an answer to a request that was started at `startedAt`, ms. */
export function readServerSignals(
	status: number,
	headers: AnswerHeaders,
	startedAt: number,
): AdmissionEvent[] {
	const isRefusal = status === UNAVAILABLE || status === TOO_MANY
	const events = [
		isRefusal ? readBackoff(headers) : ({ type: 'taken', startedAt } as const),
		readLimit(headers, startedAt),
		readLeaving(headers),
	]
	return events.filter(event => event !== undefined)
}

/** Reads `Retry-After` of a 429 or 503; with other statuses it is not about the server. */
function readBackoff(headers: AnswerHeaders): AdmissionEvent | undefined {
	const text = textOf(headers, RETRY_AFTER)
	const forMs = text === undefined ? undefined : parseRetryAfterMs(text)
	return forMs === undefined ? undefined : { type: 'rest', forMs }
}

/** An answer without a limit lifts it; an unreadable limit changes nothing. */
function readLimit(
	headers: AnswerHeaders,
	startedAt: number,
): AdmissionEvent | undefined {
	const text = textOf(headers, SERVER_LIMIT)
	const perSecond = text === undefined ? undefined : parseDecimal(text)
	if (text !== undefined && perSecond === undefined) return undefined
	return { type: 'limit', perSecond, startedAt }
}

function readLeaving(headers: AnswerHeaders): AdmissionEvent | undefined {
	const leaves = textOf(headers, SERVER_LEAVING)?.trim() === '1'
	return leaves ? { type: 'serverLeaves' } : undefined
}

function textOf(headers: AnswerHeaders, name: string): string | undefined {
	const value = headers[name]
	return Array.isArray(value) ? value[0] : value
}

/** Describes the signals of the backend server in force, for logs and operators. */
export function describeServer({
	backoffUntil,
	limit,
	serverLeaves,
}: AdmissionState): string {
	const isBackingOff = backoffUntil > readMoment().now
	return [
		isBackingOff && `rests until ${Math.round(backoffUntil)}`,
		limit && `takes ${limit.perSecond} a second`,
		serverLeaves && 'leaves',
	]
		.filter(Boolean)
		.join(', ')
}
