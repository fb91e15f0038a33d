/** Answers towards a caller: a server's own, or a refusal. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ErrorKind } from '@juniperhook/core'
import { ERRORS } from '@juniperhook/core'
import type { GatewayContext } from './context.ts'

/** Unit in which times are told, and how many there are in a second. */
const CENTISECOND_MS = 10
const CENTISECONDS = 100
/** Headers that concern one connection only. */
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
const NO_BODY = new Set([204, 304])

/** Headers of a message without those of one connection, in turn. */
export function listEndToEndHeaders(
	rawHeaders: readonly string[],
	leaveOut: ReadonlySet<string> = new Set(),
): string[] {
	const named = namedByConnection(rawHeaders)
	const kept: string[] = []
	for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
		const name = rawHeaders[at]!.toLowerCase()
		if (HOP_HEADERS.has(name) || named.has(name) || leaveOut.has(name)) continue
		kept.push(rawHeaders[at]!, rawHeaders[at + 1]!)
	}
	return kept
}

function namedByConnection(rawHeaders: readonly string[]): Set<string> {
	const named = new Set<string>()
	for (let at = 0; at + 1 < rawHeaders.length; at += 2)
		if (rawHeaders[at]!.toLowerCase() === 'connection')
			for (const name of rawHeaders[at + 1]!.toLowerCase().split(/[\s,]+/))
				named.add(name)
	return named
}

/** Writes a server's whole answer. */
export function writeAnswer(
	ctx: GatewayContext,
	res: ServerResponse,
	message: IncomingMessage,
	body: Buffer,
	method: string,
): void {
	const status = message.statusCode ?? 0
	const headers = listEndToEndHeaders(message.rawHeaders)
	const told = message.headers['content-length']
	if (method === 'HEAD') {
		if (told !== undefined) headers.push('Content-Length', told)
	} else if (!NO_BODY.has(status))
		headers.push('Content-Length', String(body.length))
	addClose(ctx, headers)
	ctx.metrics.answers.inc({ status })
	res.writeHead(status, headers)
	res.end(method === 'HEAD' ? undefined : body)
}

/** Writes the head of a stream, whose events follow. */
export function writeStreamHead(
	ctx: GatewayContext,
	res: ServerResponse,
	message: IncomingMessage,
): void {
	const status = message.statusCode ?? 0
	const headers = listEndToEndHeaders(message.rawHeaders)
	addClose(ctx, headers)
	ctx.metrics.answers.inc({ status })
	res.writeHead(status, headers)
}

/** Writes a refusal or a failure of juniperhook's own. */
export function writeFailure(
	ctx: GatewayContext,
	res: ServerResponse,
	kind: ErrorKind,
	id: string | undefined,
	retryAfterMs = ERRORS[kind].retryAfterMs,
): void {
	ctx.metrics.refusals.inc({ kind })
	if (res.headersSent || res.destroyed) {
		// Without its last chunk, no client takes the answer for whole.
		res.destroy()
		return
	}
	const { status, ran, text } = ERRORS[kind]
	const body = JSON.stringify({ error: kind, message: text, ran })
	const headers = ['Content-Type', 'application/json']
	headers.push('Content-Length', String(Buffer.byteLength(body)))
	if (id) headers.push(ctx.wire.requestId, id)
	if (retryAfterMs > 0) headers.push('Retry-After', formatSeconds(retryAfterMs))
	addClose(ctx, headers)
	ctx.metrics.answers.inc({ status })
	res.writeHead(status, headers)
	res.end(body)
}

/** Rounded up: who comes back sooner comes in vain. */
function formatSeconds(ms: number): string {
	return (Math.ceil(ms / CENTISECOND_MS) / CENTISECONDS).toFixed(2)
}

function addClose(ctx: GatewayContext, headers: string[]): void {
	if (ctx.stopping) headers.push('Connection', 'close')
}
