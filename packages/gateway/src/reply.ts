/** Writes responses to callers: those of servers, and errors of the entry. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ErrorKind } from '@juniperhook/core'
import { ERRORS } from '@juniperhook/core'
import { endAfterRequest, isFollowed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { CallerRequest } from './job.ts'
import { deliverBody } from './responseQueue.ts'

/** `Retry-After` is sent in hundredths of a second. */
const CENTISECOND_MS = 10
const CENTISECONDS_PER_SECOND = 100
/** Hop-by-hop headers, and `content-length`, which is set anew. */
const HOP_HEADERS = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'content-length',
])
const NO_BODY_STATUSES = new Set([204, 304])

/**
 * Returns the alternating names and values of a message's end-to-end headers, without
 * those in `excluded`.
 */
export function listEndToEndHeaders(
	rawHeaders: readonly string[],
	excluded: ReadonlySet<string> = new Set(),
): string[] {
	const connectionNames = listConnectionNames(rawHeaders)
	const endToEnd: string[] = []
	for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
		const name = rawHeaders[at]!.toLowerCase()
		if (
			HOP_HEADERS.has(name) ||
			connectionNames.has(name) ||
			excluded.has(name)
		)
			continue
		endToEnd.push(rawHeaders[at]!, rawHeaders[at + 1]!)
	}
	return endToEnd
}

function listConnectionNames(rawHeaders: readonly string[]): Set<string> {
	const connectionNames = new Set<string>()
	for (let at = 0; at + 1 < rawHeaders.length; at += 2)
		if (rawHeaders[at]!.toLowerCase() === 'connection')
			for (const name of rawHeaders[at + 1]!.toLowerCase().split(/[\s,]+/))
				connectionNames.add(name)
	return connectionNames
}

/** Writes a server's response with its complete body. */
export function writeAnswer(
	ctx: GatewayContext,
	res: ServerResponse,
	message: IncomingMessage,
	parts: readonly Buffer[],
	request: CallerRequest,
): void {
	const { method } = request
	const status = message.statusCode ?? 0
	const length = parts.reduce((sum, part) => sum + part.length, 0)
	const headers = listEndToEndHeaders(message.rawHeaders)
	const contentLength = message.headers['content-length']
	if (method === 'HEAD') {
		if (contentLength !== undefined)
			headers.push('Content-Length', contentLength)
	} else if (!NO_BODY_STATUSES.has(status))
		headers.push('Content-Length', String(length))
	addConnectionClose(ctx, res, headers)
	ctx.metrics.answers.inc({ status })
	res.writeHead(status, headers)
	if (method === 'HEAD') {
		res.end()
		return
	}
	if (deliverBody(ctx, res, request, parts)) return
	// Joining the parts would hold them twice.
	res.cork()
	for (const part of parts) res.write(part)
	res.end()
	res.uncork()
}

/** Writes the response head of a stream, without events. */
export function writeStreamHead(
	ctx: GatewayContext,
	res: ServerResponse,
	message: IncomingMessage,
): void {
	const status = message.statusCode ?? 0
	const headers = listEndToEndHeaders(message.rawHeaders)
	addConnectionClose(ctx, res, headers)
	ctx.metrics.answers.inc({ status })
	res.writeHead(status, headers)
}

/**
 * Writes an error response of the entry. A response that has already begun is cut off
 * instead.
 */
export function writeFailure(
	ctx: GatewayContext,
	res: ServerResponse,
	kind: ErrorKind,
	id: string | undefined,
	retryAfterMs = ERRORS[kind].retryAfterMs,
): void {
	ctx.metrics.refusals.inc({ kind })
	if (res.headersSent || res.destroyed) {
		// Without the last chunk, clients recognize that the response is incomplete.
		res.destroy()
		return
	}
	const { status, ran, text } = ERRORS[kind]
	const body = JSON.stringify({ error: kind, message: text, ran })
	const headers = ['Content-Type', 'application/json']
	headers.push('Content-Length', String(Buffer.byteLength(body)))
	if (id) headers.push(ctx.wire.requestId, id)
	if (retryAfterMs > 0) headers.push('Retry-After', formatSeconds(retryAfterMs))
	// The rest of the request is not used, so the connection cannot be reused.
	if (!res.req.complete) headers.push('Connection', 'close')
	else addConnectionClose(ctx, res, headers)
	ctx.metrics.answers.inc({ status })
	res.writeHead(status, headers)
	endAfterRequest(res, body)
}

/** Formats a time in seconds, rounded up: an earlier retry would be refused again. */
function formatSeconds(ms: number): string {
	return (Math.ceil(ms / CENTISECOND_MS) / CENTISECONDS_PER_SECOND).toFixed(2)
}

function addConnectionClose(
	{ shutdown, connections }: GatewayContext,
	res: ServerResponse,
	headers: string[],
): void {
	if (shutdown && !isFollowed(connections, res))
		headers.push('Connection', 'close')
}
