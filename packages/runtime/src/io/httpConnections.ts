/**
 * Connections of an HTTP server. The requests of a connection are served one after the
 * other: one that arrives while an earlier response is under way waits, so that it is not
 * run in vain if the connection ends with that response. What each connection waits for is
 * known, so that a stopping process can tell which ones to close.
 */

import type {
	IncomingMessage,
	RequestListener,
	Server,
	ServerOptions,
	ServerResponse,
} from 'node:http'
import { createServer } from 'node:http'
import type { Socket } from 'node:net'
import { Server as NetServer } from 'node:net'
import type { ByteHold } from '@juniperhook/core'
import {
	closeHold,
	createByteBudget,
	growHold,
	openHold,
	shrinkHold,
} from '@juniperhook/core'
import { readElapsed } from '../utils/clock.ts'
import { hasBody } from './requestBody.ts'

/** Time for a request's head to arrive once its first bytes have, ms: one retransmission. */
const ARRIVAL_MS = 1_000

/** Maximum number of requests that wait on a connection. */
const MAX_WAITING = 100
/** Memory that a waiting request takes besides its headers and its body, bytes. */
const WAITING_REQUEST_BYTES = 8_192
/** Memory that a header takes besides its name and its value, bytes. */
const HEADER_BYTES = 64
/** Maximum memory of all requests that wait, without their bodies, bytes. */
const MAX_WAITING_BYTES = 16_777_216

/** Time after a response in which callers that go on send their next request, ms. */
const IDLE_CLOSE_MS = 500

/** A request whose response has not been delivered. */
interface Turn {
	readonly res: ServerResponse
	/** Called when its turn comes; false if it can no longer be answered. */
	begin(canAnswer: boolean): void
}

/** State of one connection. */
interface HttpConnection {
	readonly turns: Turn[]
	/** Bytes read when its last request was complete. */
	requestBytes: number
	/** When it was opened, or its last response delivered, ms. */
	idleSince: number
	/** When part of a request's head was first noticed, ms; undefined if none was. */
	partialSince: number | undefined
	/** Memory of its requests that wait; undefined while none has. */
	waiting: ByteHold | undefined
}

/** Requests of all connections that wait for their turn. */
const waiting = createByteBudget(MAX_WAITING_BYTES)

/** Connections of callers, for metrics. */
export interface ConnectionCounts {
	/** Connections closed because too many requests waited on them. */
	waitingClosed: number
}

/** Connections of this process. */
export const connectionCounts: ConnectionCounts = { waitingClosed: 0 }

/** Open connections of a server. */
export type HttpConnections = Map<Socket, HttpConnection>

/** Tracks the connections of a server from now on. */
export function trackConnections(
	connections: HttpConnections,
	server: Server,
): void {
	server.on('connection', (socket: Socket) => {
		connections.set(socket, {
			turns: [],
			requestBytes: 0,
			idleSince: readElapsed(),
			partialSince: undefined,
			waiting: undefined,
		})
		socket.once('close', () => {
			const hold = connections.get(socket)?.waiting
			if (hold) closeHold(waiting, hold)
			connections.delete(socket)
		})
	})
}

/**
 * Creates a server that handles the requests of each connection in turn. `receive` is
 * called for each request as soon as its head has arrived; without it, bodies are not read,
 * and a connection with one is closed after the response.
 */
export function createServerInTurn(
	connections: HttpConnections,
	options: ServerOptions,
	handle: RequestListener,
	receive: RequestListener = ignoreBody,
): Server {
	const server = createServer(options, (req, res) => {
		receive(req, res)
		void awaitTurn(connections, req, res).then(canAnswer => {
			if (canAnswer) handle(req, res)
		})
	})
	trackConnections(connections, server)
	return server
}

function ignoreBody(req: IncomingMessage, res: ServerResponse): void {
	if (hasBody(req)) res.setHeader('connection', 'close')
	req.resume()
}

/**
 * Waits until the responses to earlier requests of the connection have been delivered.
 * Resolves to false if it has been closed, or was to close after one of them. A connection
 * on which requests arrive without end is closed.
 */
export function awaitTurn(
	connections: HttpConnections,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<boolean> {
	const { socket } = req
	const connection = connections.get(socket)
	if (!connection) return Promise.resolve(false)
	const { turns } = connection
	const close = () => {
		connectionCounts.waitingClosed++
		socket.destroy()
	}
	if (turns.length >= MAX_WAITING) {
		close()
		return Promise.resolve(false)
	}
	const bytes = turns.length > 0 ? waitingBytes(req) : 0
	if (bytes > 0) {
		connection.waiting ??= openHold(waiting, close)
		growHold(waiting, connection.waiting, bytes)
	}
	connection.partialSince = undefined
	res.once('close', () => {
		connection.idleSince = readElapsed()
	})
	req.once('end', () => {
		connection.requestBytes = socket.bytesRead
	})
	return new Promise(resolve => {
		const begin = (canAnswer: boolean) => {
			if (connection.waiting) shrinkHold(waiting, connection.waiting, bytes)
			resolve(canAnswer)
		}
		turns.push({ res, begin })
		if (turns.length === 1) beginTurn(turns, socket)
	})
}

/** Returns the memory of a request that waits, without its body. */
function waitingBytes({ rawHeaders, url = '' }: IncomingMessage): number {
	let bytes = WAITING_REQUEST_BYTES + url.length
	for (const text of rawHeaders) bytes += text.length + HEADER_BYTES / 2
	return bytes
}

function beginTurn(turns: Turn[], socket: Socket): void {
	const [turn] = turns
	if (!turn) return
	// Node ends a connection after a response with `Connection: close`.
	const canAnswer = socket.writable
	const endTurn = () => {
		turns.shift()
		beginTurn(turns, socket)
	}
	turn.begin(canAnswer)
	if (canAnswer) turn.res.once('close', endTurn)
	else endTurn()
}

/**
 * Ends a connection on which the bytes received last are no request. Responses to complete
 * requests are finished before, as an error response would be taken for one of them;
 * without any, `refuse` writes the error response and ends the connection.
 */
export function endMalformed(
	connections: HttpConnections,
	socket: Socket,
	refuse: () => void,
): void {
	const turns = connections.get(socket)?.turns ?? []
	const lastComplete = turns.findLast(({ res }) => res.req.complete)?.res
	if (lastComplete) lastComplete.once('close', () => socket.destroy())
	else if (turns[0]?.res.headersSent) socket.destroy()
	else refuse()
}

/** Whether another request waits for the end of a response. */
export function isFollowed(
	connections: HttpConnections,
	{ socket }: ServerResponse,
): boolean {
	const connection = socket && connections.get(socket)
	return (connection?.turns.length ?? 0) > 1
}

/** Counts the responses that have not been delivered. */
export function countUndelivered(connections: HttpConnections): number {
	let count = 0
	for (const { turns } of connections.values()) count += turns.length
	return count
}

/** Lists the connections on which only part of a request's head has arrived. */
export function listPartial(connections: HttpConnections): Socket[] {
	return [...connections]
		.filter(
			([socket, { turns, requestBytes }]) =>
				turns.length === 0 && socket.bytesRead > requestBytes,
		)
		.map(([socket]) => socket)
}

/** Lists those of {@link listPartial} that have been noticed for some time. */
export function listOverdue(connections: HttpConnections): Socket[] {
	const now = readElapsed()
	return listPartial(connections).filter(socket => {
		const connection = connections.get(socket)!
		connection.partialSince ??= now
		return now - connection.partialSince >= ARRIVAL_MS
	})
}

/** Accepts no more connections; leaves the open ones as they are. */
export function stopAccepting(server: Server): void {
	// The method of the HTTP server also ends responses that are still being delivered.
	NetServer.prototype.close.call(server)
}

/**
 * Closes the connections that have been idle for some time. On one that has just become
 * idle the next request may be under way; it is better answered than met by a closed
 * connection. Returns whether idle connections are left.
 */
export function closeIdle(connections: HttpConnections): boolean {
	const now = readElapsed()
	let hasIdle = false
	for (const [socket, { turns, requestBytes, idleSince }] of connections) {
		if (turns.length > 0 || socket.bytesRead > requestBytes) continue
		if (now - idleSince >= IDLE_CLOSE_MS) socket.destroy()
		else hasIdle = true
	}
	return hasIdle
}
