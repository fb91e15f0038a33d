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
import { readElapsed } from '../utils/clock.ts'

/** Time for a request's head to arrive once its first bytes have, ms: one retransmission. */
const ARRIVAL_MS = 1_000

/** Maximum number of requests that wait on a connection. */
const MAX_WAITING = 100

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
}

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
		})
		socket.once('close', () => connections.delete(socket))
	})
}

/** Creates a server that handles the requests of each connection in turn. */
export function createServerInTurn(
	connections: HttpConnections,
	options: ServerOptions,
	handle: RequestListener,
): Server {
	const server = createServer(options, (req, res) => {
		void awaitTurn(connections, req, res).then(canAnswer => {
			if (canAnswer) handle(req, res)
		})
	})
	trackConnections(connections, server)
	return server
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
	if (turns.length >= MAX_WAITING) {
		socket.destroy()
		return Promise.resolve(false)
	}
	connection.partialSince = undefined
	res.once('close', () => {
		connection.idleSince = readElapsed()
	})
	req.once('end', () => {
		connection.requestBytes = socket.bytesRead
	})
	return new Promise(resolve => {
		turns.push({ res, begin: resolve })
		if (turns.length === 1) beginTurn(turns, socket)
	})
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
