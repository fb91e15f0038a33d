/** HTTP listeners by h3 on Node's server, with bounds on slow callers. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer, STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'
import type { ErrorKind } from '@juniperhook/core'
import { ERRORS, splitAddress } from '@juniperhook/core'
import { type EventHandler, fromNodeHandler, H3, toNodeHandler } from 'h3'
import { kindOfClientError } from '../utils/clientError.ts'
import type { Metrics } from './metrics.ts'

/** Largest headers taken, in bytes. */
export const MAX_HEADER_BYTES = 16_384
const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 60_000
const KEEP_ALIVE_TIMEOUT_MS = 65_000
const TIMEOUT_CHECK_INTERVAL_MS = 1_000

/** Answers of the operators' listener that differ by daemon. */
export interface OperatorHandlers {
	readonly metrics: Metrics
	/** Whether new requests are welcome. */
	isReady(): boolean
	/** What the process holds, for `juniperhook status`. */
	status(): object
}

/** Bounds of a listener, and who hears of requests that never came whole. */
export interface ListenOptions {
	readonly maxHeaderSize?: number
	onBadRequest?(kind: ErrorKind): void
}

/** Listens for requests to `app`. */
export function listen(
	app: H3,
	address: string,
	options: ListenOptions = {},
): Promise<Server> {
	const { ip, port } = splitAddress(address)
	const server = createServer(
		{
			maxHeaderSize: options.maxHeaderSize ?? MAX_HEADER_BYTES,
			headersTimeout: HEADERS_TIMEOUT_MS,
			requestTimeout: REQUEST_TIMEOUT_MS,
			keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
			connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
		},
		toNodeHandler(app),
	)
	server.on('clientError', (err: NodeJS.ErrnoException, socket: Duplex) => {
		const kind = kindOfClientError(err.code)
		if (socket.writable && kind) answerBadRequest(socket, kind)
		else socket.destroy()
		if (kind) options.onBadRequest?.(kind)
	})
	return new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(port, ip, () => resolve(server))
	})
}

function answerBadRequest(socket: Duplex, kind: ErrorKind): void {
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

/** A route that answers on Node's own objects, as streams of chunks want. */
export function handleNode(
	handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
): EventHandler {
	return fromNodeHandler(async (req, res) => {
		const response = res as ServerResponse
		await handle(req as IncomingMessage, response)
		// h3 ends what is still open when the promise resolves.
		if (!response.writableFinished && !response.destroyed)
			await new Promise(resolve => response.once('close', resolve))
		ignoreFurtherEnds(response)
	})
}

/** h3 ends a response that is over once more; Node would make an error of it. */
function ignoreFurtherEnds(res: ServerResponse): void {
	res.end = (...args: unknown[]) => {
		const done = args.at(-1)
		if (typeof done === 'function') done()
		return res
	}
}

/** The operators' listener: `/healthz`, `/readyz`, `/metrics`, `/status`. */
export function listenOperators(
	address: string,
	handlers: OperatorHandlers,
): Promise<Server> {
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
	return listen(app, address)
}

/** Reads a whole body, or gives `undefined` when it is longer than `limit`. */
export async function readBody(
	req: IncomingMessage,
	limit: number,
): Promise<Buffer | undefined> {
	const parts: Buffer[] = []
	let size = 0
	for await (const part of req) {
		size += part.length
		if (size > limit) return undefined
		parts.push(part)
	}
	return Buffer.concat(parts)
}
