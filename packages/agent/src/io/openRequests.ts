/**
 * What happens to open requests by time alone: heartbeats, work that nobody waits for,
 * and answers that are forgotten.
 */

import { scopeKey } from '@juniperhook/core'
import { packFrame, readMoment } from '@juniperhook/runtime'
import { sendBeat } from './answerLog.ts'
import { stepTable } from './requests.ts'
import type { OpenRequest, RequestTable } from './requestTable.ts'

/** How long a finished answer stays for a reader who lost its link, in ms. */
const KEEP_ANSWER_MS = 5_000
/** How long work goes on although nobody reads its answer, in ms. */
const UNREAD_MS = 10_000
const BEAT = packFrame({ t: 'beat' })

/** Runs the periodic systems: time-outs, heartbeats, forgetting. */
export function tickRequests(table: RequestTable): void {
	stepTable(table, { type: 'tick' })
	const { now } = readMoment()
	for (const [id, request] of table.open) {
		if (request.finishedAt !== undefined) dropFinished(table, id, request, now)
		else if (request.answer.readers.size > 0) request.unreadSince = undefined
		else cancelUnread(table, request, now)
	}
}

/** Sends heartbeats on open answers. */
export function beatRequests(table: RequestTable): void {
	for (const request of table.open.values())
		if (request.finishedAt === undefined) sendBeat(request.answer, BEAT)
}

/** Whether nothing runs, waits or is still being sent. */
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
	if (now - request.unreadSince < UNREAD_MS) return
	request.unreadSince = now
	stepTable(table, { type: 'cancel', name: request.name })
}

function dropFinished(
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
	if (age > KEEP_ANSWER_MS) table.open.delete(id)
}
