/** HTTP listeners with h3 on Node's server, with timeouts for slow callers. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { STATUS_CODES } from 'node:http'
import type { Socket } from 'node:net'
import type { ErrorKind } from '@juniperhook/core'
import { ERRORS } from '@juniperhook/core'
import { type EventHandler, fromNodeHandler, H3, toNodeHandler } from 'h3'
import { kindOfClientError } from '../utils/clientError.ts'
import { readElapsed, sleep } from '../utils/clock.ts'
import { fail } from '../utils/fail.ts'
import type { BindOptions } from './bind.ts'
import { bindServer } from './bind.ts'
import type { HttpConnections } from './httpConnections.ts'
import {
	closeIdle,
	countUndelivered,
	createServerInTurn,
	endMalformed,
	listOverdue,
	listPartial,
	stopAccepting,
} from './httpConnections.ts'
import type { Metrics } from './metrics.ts'
import type { BodyLimits, RequestBody } from './requestBody.ts'
import { receiveBody } from './requestBody.ts'

/** Maximum size of a request's headers, bytes. */
export const MAX_HEADER_BYTES = 16_384
const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 60_000
const KEEP_ALIVE_TIMEOUT_MS = 65_000
const TIMEOUT_CHECK_INTERVAL_MS = 1_000
const CLOSE_CHECK_INTERVAL_MS = 50
/** Time for the rest of a body to arrive once a process stops, ms. */
const BODY_ARRIVAL_MS = 1_000

/** Handlers of the operators' listener that differ by process kind. */
export interface OperatorHandlers {
	readonly metrics: Metrics
	/** Whether the process accepts new requests. */
	isReady(): boolean
	/** Returns the process's state, for `juniperhook status`. */
	status(): object
}

/** Options of a listener. */
export interface ListenOptions {
	readonly maxHeaderSize?: number
	/** What it receives of bodies, for `awaitBody`; undefined to read none. */
	readonly bodies?: BodyLimits
	/** Called for each request that is refused because Node's parser rejected it. */
	onBadRequest?(kind: ErrorKind): void
}

/** Bodies of the requests to all listeners. */
const bodies = new WeakMap<IncomingMessage, RequestBody>()
/** Those of requests that have begun. */
const awaitedBodies = new Set<RequestBody>()

/** An HTTP server that listens. */
export interface Listener {
	readonly server: Server
	readonly connections: HttpConnections
}

/**
 * Starts an HTTP server for `app`; resolves once its address is bound, or undefined if the
 * process stops before.
 */
export async function listen(
	app: H3,
	address: string,
	bind: BindOptions,
	options: ListenOptions = {},
): Promise<Listener | undefined> {
	const connections: HttpConnections = new Map()
	const { bodies: limits } = options
	const receive = (req: IncomingMessage, res: ServerResponse) => {
		if (limits) bodies.set(req, receiveBody(req, res, limits))
	}
	const server = createServerInTurn(
		connections,
		{
			maxHeaderSize: options.maxHeaderSize ?? MAX_HEADER_BYTES,
			headersTimeout: HEADERS_TIMEOUT_MS,
			requestTimeout: REQUEST_TIMEOUT_MS,
			keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
			connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
		},
		toNodeHandler(app),
		limits && receive,
	)
	server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
		const kind = kindOfClientError(err.code)
		const onRefused = () => kind && options.onBadRequest?.(kind)
		answerClientError(connections, socket as Socket, kind, onRefused)
	})
	const isBound = await bindServer(server, address, bind)
	return isBound ? { server, connections } : undefined
}

/**
 * Accepts no more connections. Resolves once all that was read has been answered; a
 * request whose head or body does not arrive is refused.
 */
export async function closeListener({
	server,
	connections,
}: Listener): Promise<void> {
	stopAccepting(server)
	const overdueAt = readElapsed() + BODY_ARRIVAL_MS
	for (;;) {
		if (readElapsed() >= overdueAt)
			for (const body of awaitedBodies) body.refuse('entryLeaving')
		const hasIdle = closeIdle(connections)
		for (const socket of listOverdue(connections))
			if (socket.writable) answerBadRequest(socket, 'entryLeaving')
		const open = countUndelivered(connections) + listPartial(connections).length
		if (open === 0 && !hasIdle) return
		await sleep(CLOSE_CHECK_INTERVAL_MS)
	}
}

function answerClientError(
	connections: HttpConnections,
	socket: Socket,
	kind: ErrorKind | undefined,
	onRefused: () => void,
): void {
	if (!kind || !socket.writable) {
		socket.destroy()
		return
	}
	endMalformed(connections, socket, () => {
		onRefused()
		answerBadRequest(socket, kind)
	})
}

function answerBadRequest(socket: Socket, kind: ErrorKind): void {
	const { status, text, type } = ERRORS[kind]
	const body = JSON.stringify({
		error: { message: text, type, code: kind, param: null, outcome: 'notRun' },
	})
	const head = [
		`HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
		'content-type: application/json',
		`content-length: ${Buffer.byteLength(body)}`,
		'x-request-outcome: notRun',
		'connection: close',
	]
	socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
}

/**
 * Adapts a handler that writes to Node's response itself, as handlers of chunked
 * streams do.
 */
export function handleNode(
	handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
): EventHandler {
	return fromNodeHandler(async (req, res) => {
		const response = res as ServerResponse
		await handle(req as IncomingMessage, response)
		// h3 ends a response that is still open when the promise resolves.
		if (!response.writableFinished && !response.destroyed)
			await new Promise(resolve => response.once('close', resolve))
		ignoreFurtherEnds(response)
	})
}

/** h3 ends a finished response a second time, which Node treats as an error. */
function ignoreFurtherEnds(res: ServerResponse): void {
	res.end = (...args: unknown[]) => {
		const done = args.at(-1)
		if (typeof done === 'function') done()
		return res
	}
}

/** Starts the operators' listener: `/healthz`, `/readyz`, `/metrics`, `/status`. */
export function listenOperators(
	address: string,
	handlers: OperatorHandlers,
	bind: BindOptions,
): Promise<Listener | undefined> {
	const app = new H3()
	app.get('/healthz', () => 'ok\n')
	app.get('/readyz', event => {
		if (handlers.isReady()) return 'ready\n'
		event.res.status = 503
		return 'not ready\n'
	})
	app.get('/metrics', event => {
		const { registry } = handlers.metrics
		event.res.headers.set('content-type', registry.contentType)
		return registry.metrics()
	})
	app.get('/status', () => handlers.status())
	return listen(app, address, bind)
}

/**
 * Waits for the body of a request to a listener with {@link ListenOptions.bodies}; throws
 * if it is refused, or not complete within `timeoutMs`.
 */
export async function awaitBody(
	req: IncomingMessage,
	timeoutMs: number,
): Promise<Buffer> {
	const body = bodies.get(req) ?? fail('internal', 'no body is received')
	const timer = setTimeout(() => body.refuse('requestTimeout'), timeoutMs)
	awaitedBodies.add(body)
	const end = await body.ended
	awaitedBodies.delete(body)
	clearTimeout(timer)
	switch (end.kind) {
		case 'complete':
			return end.bytes
		case 'refused':
			return fail(end.error, describeRefusal(end.error, body))
		case 'disconnected':
			return fail('callerGone', '')
		default:
			return end satisfies never
	}
}

function describeRefusal(error: ErrorKind, { maxBytes }: RequestBody): string {
	return error === 'tooLarge' ? `At most ${maxBytes} bytes.` : ''
}
