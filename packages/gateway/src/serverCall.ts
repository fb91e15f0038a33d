/** One HTTP call to a server, up to the head of its response. */

import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import { request } from 'node:http'
import type { Socket } from 'node:net'
import { addPart, createPartCollector, listParts } from '@juniperhook/core'
import { limitInterimResponses } from '@juniperhook/runtime'

const CONNECT_TIMEOUT_MS = 200
/** Size and time within which the rest of an unused response is read. */
const MAX_DISCARD_BYTES = 65_536
const MAX_DISCARD_MS = 1_000

/** A request to a server. */
export interface ServerRequest {
	/** `IP:port` of the server. */
	readonly address: string
	readonly method: string
	readonly path: string
	/** Alternating names and values. */
	readonly headers: readonly string[]
	readonly body: Buffer
	/** Request id, which the response must repeat. */
	readonly id: string
	/** Header that carries the id in the response. */
	readonly idHeader: string
	readonly agent: Agent
	/** Timeout for the response head, ms. */
	readonly headTimeoutMs: number
	readonly signal: AbortSignal
}

/** Result of a call, up to the head of the response. */
export type CallResult =
	| { readonly kind: 'answer'; readonly answer: ServerAnswer }
	/** No byte of the request was sent. */
	| { readonly kind: 'notSent'; readonly reason: string }
	/** The server may have received the request. */
	| { readonly kind: 'lost'; readonly reason: string }

/** A response whose body has not been read yet. */
export interface ServerAnswer {
	readonly status: number
	readonly message: IncomingMessage
	/** Returns whether the body is complete; valid once `message` is closed. */
	isComplete(): boolean
	/** Closes the connection, so that the server stops its work. */
	closeConnection(): void
}

/** Sends a request to a server; resolves with the head of its response. */
export function callServer(call: ServerRequest): Promise<CallResult> {
	const [host, port] = call.address.split(':')
	return new Promise(resolve => {
		const req = request({
			host,
			port,
			agent: call.agent,
			method: call.method,
			path: call.path,
			headers: call.headers as string[],
			setHost: false,
		})
		let connected = false
		let settled = false
		const settle = (result: CallResult) => {
			if (settled) return
			settled = true
			clearTimeout(headTimer)
			clearTimeout(connectTimer)
			resolve(result)
		}
		const fail = (reason: string) => {
			settle(connected ? { kind: 'lost', reason } : { kind: 'notSent', reason })
			req.destroy()
		}
		const headTimer = setTimeout(
			() => fail('no answer in time'),
			call.headTimeoutMs,
		)
		let connectTimer: NodeJS.Timeout | undefined
		req.on('socket', (socket: Socket) => {
			if (!socket.connecting) {
				connected = true
				return
			}
			connectTimer = setTimeout(() => fail('no connection'), CONNECT_TIMEOUT_MS)
			socket.once('connect', () => {
				connected = true
				clearTimeout(connectTimer)
			})
		})
		const abort = () => {
			fail('request aborted')
			req.destroy()
		}
		call.signal.addEventListener('abort', abort, { once: true })
		req.on('close', () => {
			call.signal.removeEventListener('abort', abort)
			// A switch to another protocol ends without an error or a response.
			if (!settled) fail('connection closed')
		})
		limitInterimResponses(req)
		let response: IncomingMessage | undefined
		req.on('error', err => {
			// Bytes after a whole response are not part of it; Node closes their connection.
			if (!response?.complete) fail(codeOf(err))
		})
		req.on('response', message => {
			response = message
			const answer = readHead(call, req, message)
			if (typeof answer === 'string') fail(answer)
			else settle({ kind: 'answer', answer })
		})
		req.end(call.body.length > 0 ? call.body : undefined)
	})
}

/** Returns the response, or the reason why it does not belong to this request. */
function readHead(
	call: ServerRequest,
	req: ClientRequest,
	message: IncomingMessage,
): ServerAnswer | string {
	// Bytes on a kept-alive connection may belong to an earlier request.
	if (message.headers[call.idHeader] !== call.id)
		return 'response lacks the request id'
	// After a partly written body, the connection must not be reused.
	const answeredEarly = !req.writableFinished
	if (answeredEarly) message.once('end', () => req.destroy())
	message.on('error', () => {})
	// Node reports a response without a length as complete when the connection is reset.
	let isReset = false
	const recordReset = () => {
		isReset = true
	}
	const { socket } = message
	// A reset may also appear as a regular end; then the socket has no remote address.
	const checkEnd = () => {
		if (socket.remoteAddress === undefined) isReset = true
	}
	socket.once('error', recordReset)
	socket.prependOnceListener('end', checkEnd)
	message.once('close', () => {
		socket.removeListener('error', recordReset)
		socket.removeListener('end', checkEnd)
	})
	return {
		status: message.statusCode ?? 0,
		message,
		isComplete: () => message.complete && !isReset,
		closeConnection: () => req.destroy(),
	}
}

/** Whether the end of a response's body is marked only by the end of its connection. */
export function endsWithConnection({ headers }: IncomingMessage): boolean {
	return (
		headers['content-length'] === undefined &&
		headers['transfer-encoding'] === undefined
	)
}

function codeOf(err: NodeJS.ErrnoException): string {
	return err.code ?? err.message
}

/**
 * Reads the rest of a response that is not used, so that its connection can be reused. It
 * is closed instead if that takes long.
 */
export function discardBody({ message, closeConnection }: ServerAnswer): void {
	let bytes = 0
	const timer = setTimeout(closeConnection, MAX_DISCARD_MS)
	message.on('data', (part: Buffer) => {
		bytes += part.length
		if (bytes > MAX_DISCARD_BYTES) closeConnection()
	})
	message.once('close', () => clearTimeout(timer))
}

/** A response body, or how it failed. */
export type BodyResult =
	| { readonly kind: 'complete'; readonly parts: readonly Buffer[] }
	| { readonly kind: 'broken'; readonly reason: string }

/** Reads the body of a response to its end; `onGrowth` gets the memory taken for it. */
export function readAnswerBody(
	answer: ServerAnswer,
	onGrowth?: (bytes: number) => void,
): Promise<BodyResult> {
	const { message } = answer
	return new Promise(resolve => {
		const collector = createPartCollector()
		message.on('data', (part: Buffer) => {
			const growth = addPart(collector, part)
			if (growth > 0) onGrowth?.(growth)
		})
		message.on('close', () => {
			if (answer.isComplete())
				resolve({ kind: 'complete', parts: listParts(collector) })
			else resolve({ kind: 'broken', reason: 'response body truncated' })
		})
	})
}
