/** Request headers for servers. */

import type { GatewayContext } from './context.ts'
import type { Job } from './job.ts'
import { listEndToEndHeaders } from './reply.ts'

/** Least urgent priority that servers accept. */
const LOWEST_PRIORITY = 9

/**
 * Builds the headers of a request to a server, as alternating names and values: the
 * caller's end-to-end headers and those that the entry sets, such as the remaining
 * time, the team and the only server that may run the request.
 */
export function buildServerHeaders(
	ctx: GatewayContext,
	job: Job,
	serverName: string,
	leftMs: number,
): string[] {
	const { wire } = ctx
	const { request } = job
	const entryHeaders = new Set([
		'authorization',
		'expect',
		wire.team,
		wire.deadlineMs,
		wire.expectServer,
		wire.lastEventId,
		wire.priority,
	])
	const headers = listEndToEndHeaders(request.rawHeaders, entryHeaders)
	headers.push(wire.deadlineMs, String(leftMs))
	headers.push(wire.expectServer, serverName)
	headers.push(
		wire.priority,
		String(Math.min(LOWEST_PRIORITY, request.priority)),
	)
	if (request.team) headers.push(wire.team, request.team.name)
	if (job.lastEventId !== undefined)
		headers.push(wire.lastEventId, job.lastEventId)
	if (request.body.length > 0 || request.method === 'POST')
		headers.push('Content-Length', String(request.body.length))
	headers.push('Connection', request.repeatable ? 'keep-alive' : 'close')
	return headers
}
