/**
 * What a backend server says of itself in an answer, as events of the admission. Here the
 * header names are the product's own, which its operators' backend servers may use.
 */

import type { AdmissionEvent, AdmissionState } from '@juniperhook/core'
import { parseDecimal, parseRetryAfterMs } from '@juniperhook/core'
import { readMoment } from '@juniperhook/runtime'

const TOO_MANY = 429
const UNAVAILABLE = 503
const REST = 'retry-after'
const LIMIT = 'server-limit'
const LEAVING = 'server-leaving'

/** `unsure`: a connection to it failed. `gone`: nothing listens there. */
export type ServerLife = 'up' | 'leaving' | 'unsure' | 'gone'

/** Headers of an answer. */
export type AnswerHeaders = Record<string, string | string[]>

/** What an answer to a request that was started at `startedAt`, ms, tells the agent. */
export function readServerSignals(
	status: number,
	headers: AnswerHeaders,
	startedAt: number,
): AdmissionEvent[] {
	const turnsAway = status === UNAVAILABLE || status === TOO_MANY
	const events = [
		turnsAway ? readRest(headers) : ({ type: 'taken', startedAt } as const),
		readLimit(headers, startedAt),
		readLeaving(headers),
	]
	return events.filter(event => event !== undefined)
}

/** Elsewhere `Retry-After` does not speak of the server. */
function readRest(headers: AnswerHeaders): AdmissionEvent | undefined {
	const text = textOf(headers, REST)
	const forMs = text === undefined ? undefined : parseRetryAfterMs(text)
	return forMs === undefined ? undefined : { type: 'rest', forMs }
}

/** An answer that names no limit ends one; an unreadable one changes nothing. */
function readLimit(
	headers: AnswerHeaders,
	startedAt: number,
): AdmissionEvent | undefined {
	const text = textOf(headers, LIMIT)
	const perSecond = text === undefined ? undefined : parseDecimal(text)
	if (text !== undefined && perSecond === undefined) return undefined
	return { type: 'limit', perSecond, startedAt }
}

function readLeaving(headers: AnswerHeaders): AdmissionEvent | undefined {
	const leaves = textOf(headers, LEAVING)?.trim() === '1'
	return leaves ? { type: 'serverLeaves' } : undefined
}

function textOf(headers: AnswerHeaders, name: string): string | undefined {
	const value = headers[name]
	return Array.isArray(value) ? value[0] : value
}

/** What an agent holds of its backend server's words, for logs and operators. */
export function describeServer({
	backoffUntil: restsUntil,
	limit,
	serverLeaves,
}: AdmissionState): string {
	const rests = restsUntil > readMoment().now
	return [
		rests && `rests until ${Math.round(restsUntil)}`,
		limit && `takes ${limit.perSecond} a second`,
		serverLeaves && 'leaves',
	]
		.filter(Boolean)
		.join(', ')
}
