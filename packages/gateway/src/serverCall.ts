/** One call to a server, up to the head of its answer. */

import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import { request } from 'node:http'
import type { Socket } from 'node:net'

/** A connection that takes longer than this to come up counts as dead, ms. */
const CONNECT_MS = 200

/** What is sent. */
export interface ServerRequest {
	/** `IP:port` of the server. */
	readonly address: string
	readonly method: string
	readonly path: string
	/** Names and values in turn. */
	readonly headers: readonly string[]
	readonly body: Buffer
	/** Id that the answer must carry, and the header it carries it in. */
	readonly id: string
	readonly idHeader: string
	readonly agent: Agent
	/** Time to the first byte of the answer, ms. */
	readonly headMs: number
	readonly signal: AbortSignal
}

/** How a call went, up to the head of an answer. */
export type CallResult =
	| { readonly kind: 'answer'; readonly answer: ServerAnswer }
	/** Proved: not a byte of the request went out. */
	| { readonly kind: 'notSent'; readonly reason: string }
	/** The request may have been read. */
	| { readonly kind: 'lost'; readonly reason: string }

/** The head of an answer, its body still to come. */
export interface ServerAnswer {
	readonly status: number
	readonly message: IncomingMessage
	/** Whether the body came to its end; to be asked once it is closed. */
	isWhole(): boolean
	/** Cuts the connection, so that the server stops its work. */
	cut(): void
}

/** Calls a server. */
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
		let over = false
		const settle = (result: CallResult) => {
			if (over) return
			over = true
			clearTimeout(headTimer)
			clearTimeout(connectTimer)
			resolve(result)
		}
		const fail = (reason: string) => {
			settle(connected ? { kind: 'lost', reason } : { kind: 'notSent', reason })
			req.destroy()
		}
		const headTimer = setTimeout(() => fail('no answer in time'), call.headMs)
		let connectTimer: NodeJS.Timeout | undefined
		req.on('socket', (socket: Socket) => {
			if (!socket.connecting) {
				connected = true
				return
			}
			connectTimer = setTimeout(() => fail('no connection'), CONNECT_MS)
			socket.once('connect', () => {
				connected = true
				clearTimeout(connectTimer)
			})
		})
		const abort = () => {
			fail('the caller left')
			req.destroy()
		}
		call.signal.addEventListener('abort', abort, { once: true })
		req.on('close', () => call.signal.removeEventListener('abort', abort))
		req.on('error', err => fail(describe(err)))
		req.on('response', message => {
			const answer = takeHead(call, req, message)
			if (typeof answer === 'string') fail(answer)
			else settle({ kind: 'answer', answer })
		})
		req.end(call.body.length > 0 ? call.body : undefined)
	})
}

/** The answer, or why its bytes are not the answer to this request. */
function takeHead(
	call: ServerRequest,
	req: ClientRequest,
	message: IncomingMessage,
): ServerAnswer | string {
	const id = message.headers[call.idHeader]
	if (id !== undefined && id !== call.id) return 'an answer to another request'
	// What is left of a body must not be followed by another request.
	const early = !req.writableFinished
	if (early) message.once('end', () => req.destroy())
	message.on('error', () => {})
	// Node takes an answer without a length for whole when it is reset.
	let isReset = false
	const noteReset = () => {
		isReset = true
	}
	const { socket } = message
	// A reset may also be read as a plain end; then the peer has no name left.
	const noteEnd = () => {
		if (socket.remoteAddress === undefined) isReset = true
	}
	socket.once('error', noteReset)
	socket.prependOnceListener('end', noteEnd)
	message.once('close', () => {
		socket.removeListener('error', noteReset)
		socket.removeListener('end', noteEnd)
	})
	return {
		status: message.statusCode ?? 0,
		message,
		isWhole: () => message.complete && !isReset,
		cut: () => req.destroy(),
	}
}

function describe(err: NodeJS.ErrnoException): string {
	return err.code ?? err.message
}

/** How an answer's body ended. */
export type BodyResult =
	| { readonly kind: 'whole'; readonly body: Buffer }
	| { readonly kind: 'broken'; readonly reason: string }

/** Reads a body to its end. */
export function readAnswerBody(answer: ServerAnswer): Promise<BodyResult> {
	const { message } = answer
	return new Promise(resolve => {
		const parts: Buffer[] = []
		message.on('data', (part: Buffer) => parts.push(part))
		message.on('close', () => {
			if (answer.isWhole())
				resolve({ kind: 'whole', body: Buffer.concat(parts) })
			else resolve({ kind: 'broken', reason: 'the answer broke off' })
		})
	})
}
