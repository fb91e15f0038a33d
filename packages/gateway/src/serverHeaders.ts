/** The headers that a server is sent. */

import type { GatewayContext } from './context.ts'
import type { Job } from './job.ts'
import { listEndToEndHeaders } from './reply.ts'

/** Least urgent priority that servers know. */
const LAST_PRIORITY = 9

/**
 * The caller's end-to-end headers, in turn, with those that an entry sets: what
 * is left of the time, the team, and the only server that may run it.
 */
export function buildServerHeaders(
	ctx: GatewayContext,
	job: Job,
	serverName: string,
	leftMs: number,
): string[] {
	const { wire } = ctx
	const { request } = job
	const own = new Set([
		'authorization',
		'expect',
		wire.team,
		wire.deadlineMs,
		wire.expectServer,
		wire.lastEventId,
		wire.priority,
	])
	const headers = listEndToEndHeaders(request.rawHeaders, own)
	headers.push(wire.deadlineMs, String(leftMs))
	headers.push(wire.expectServer, serverName)
	headers.push(wire.priority, String(Math.min(LAST_PRIORITY, request.priority)))
	if (request.team) headers.push(wire.team, request.team.name)
	if (job.lastEventId !== undefined)
		headers.push(wire.lastEventId, job.lastEventId)
	if (request.body.length > 0 || request.method === 'POST')
		headers.push('Content-Length', String(request.body.length))
	headers.push('Connection', request.repeatable ? 'keep-alive' : 'close')
	return headers
}
