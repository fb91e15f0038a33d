/** The listener for callers. */

import type { Server } from 'node:http'
import { createServer, STATUS_CODES } from 'node:http'
import type { Socket } from 'node:net'
import type { ErrorKind } from '@juniperhook/core'
import { ERRORS } from '@juniperhook/core'
import {
	describeFault,
	endMalformed,
	faults,
	kindOfClientError,
	trackConnections,
} from '@juniperhook/runtime'
import { guardConnections } from './connectionGate.ts'
import type { GatewayContext } from './context.ts'
import { serveCaller } from './forward.ts'

/** Limit of the HTTP parser; the configuration's limit is lower. */
const MAX_HEADER_BYTES = 65_536
/** Timeouts until a configuration is known, ms. */
const INITIAL_HEADER_TIMEOUT_MS = 10_000
const INITIAL_IDLE_TIMEOUT_MS = 15_000
/** Kept-alive connections outlive the published idle timeout by this, ms. */
const IDLE_MARGIN_MS = 2_000
const CONNECTIONS_CHECK_MS = 500

/** Creates the listener; it does not listen yet. */
export function createCallerListener(ctx: GatewayContext): Server {
	const server = createServer(
		{
			maxHeaderSize: MAX_HEADER_BYTES,
			headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
			requestTimeout: 0,
			keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS,
			connectionsCheckingInterval: CONNECTIONS_CHECK_MS,
			noDelay: true,
		},
		(req, res) => {
			serveCaller(ctx, req, res).catch(err => {
				faults.count++
				ctx.log.write('internal fault', { detail: describeFault(err) })
				res.destroy()
			})
		},
	)
	guardConnections(ctx, server)
	trackConnections(ctx.connections, server)
	server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
		answerClientError(ctx, err, socket as Socket),
	)
	return server
}

/** Applies the published timeouts. */
export function applyTimeouts(ctx: GatewayContext, server: Server): void {
	const limits = ctx.routes?.config.limits
	if (!limits) return
	server.headersTimeout = limits.headerTimeoutMs
	server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
}

function answerClientError(
	ctx: GatewayContext,
	err: NodeJS.ErrnoException,
	socket: Socket,
): void {
	const kind = kindOfClientError(err.code)
	if (!kind || !socket.writable) {
		socket.destroy()
		return
	}
	endMalformed(ctx.connections, socket, () => refuseUnread(ctx, socket, kind))
}

/** Answers a request of which not even the head could be read, and ends its connection. */
export function refuseUnread(
	ctx: GatewayContext,
	socket: Socket,
	kind: ErrorKind,
): void {
	ctx.metrics.refusals.inc({ kind })
	const { status, text } = ERRORS[kind]
	const body = JSON.stringify({ error: kind, message: text, ran: 'no' })
	const head = [
		`HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
		'Content-Type: application/json',
		`Content-Length: ${Buffer.byteLength(body)}`,
		'Connection: close',
	]
	socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
}
