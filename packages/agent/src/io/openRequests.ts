/**
 * Periodic work on open requests: timeouts, heartbeats, cancellation of unread answers and
 * eviction of finished ones.
 */

import { scopeKey } from '@juniperhook/core'
import { packFrame, readMoment } from '@juniperhook/runtime'
import { sendHeartbeat } from './answerLog.ts'
import { stepTable } from './requests.ts'
import type { OpenRequest, RequestTable } from './requestTable.ts'

/** Retention of a finished answer for a reader that lost its connection, ms. */
const ANSWER_RETENTION_MS = 5_000
/** Time without a reader of its answer after which a request is cancelled, ms. */
const UNREAD_TIMEOUT_MS = 10_000
const HEARTBEAT = packFrame({ t: 'beat' })

/** Applies timeouts, cancels unread requests and evicts finished answers. */
export function tickRequests(table: RequestTable): void {
	stepTable(table, { type: 'tick' })
	const { now } = readMoment()
	for (const [id, request] of table.open) {
		if (request.finishedAt !== undefined) evictFinished(table, id, request, now)
		else if (request.answer.readers.size > 0) request.unreadSince = undefined
		else cancelUnread(table, request, now)
	}
}

/** Sends heartbeats on all open answers. */
export function sendHeartbeats(table: RequestTable): void {
	for (const request of table.open.values())
		if (request.finishedAt === undefined)
			sendHeartbeat(request.answer, HEARTBEAT)
}

/** Whether no request is running or waiting and no answer is still being sent. */
export function isIdle(table: RequestTable): boolean {
	for (const request of table.open.values()) {
		if (request.finishedAt === undefined) return false
		if (request.answer.readers.size > 0) return false
	}
	return true
}

function cancelUnread(
	table: RequestTable,
	request: OpenRequest,
	now: number,
): void {
	request.unreadSince ??= now
	if (now - request.unreadSince < UNREAD_TIMEOUT_MS) return
	request.unreadSince = now
	stepTable(table, { type: 'cancel', name: request.name })
}

function evictFinished(
	table: RequestTable,
	id: string,
	request: OpenRequest,
	now: number,
): void {
	const { key, team, service = '' } = request.meta
	const { keys } = table.admission
	if (key !== undefined && keys.has(scopeKey(team, service, key))) return
	if (request.answer.readers.size > 0) return
	const age = now - (request.finishedAt ?? now)
	if (age > ANSWER_RETENTION_MS) table.open.delete(id)
}
