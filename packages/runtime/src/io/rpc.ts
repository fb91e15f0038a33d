/**
 * JSON-RPC 2.0 between the system's processes: one JSON text per line on a long-lived
 * TCP connection. Either side may call the other.
 */

import type { Socket } from 'node:net'
import { connect, createServer, type Server } from 'node:net'
import { splitAddress } from '@juniperhook/core'
import type { JSONRPCRequest } from 'json-rpc-2.0'
import {
	createJSONRPCErrorResponse,
	isJSONRPCRequest,
	JSONRPCClient,
	JSONRPCErrorCode,
	JSONRPCErrorException,
	JSONRPCServer,
	JSONRPCServerAndClient,
} from 'json-rpc-2.0'
import { messageOf } from '../utils/fail.ts'
import type { BindOptions } from './bind.ts'
import { bindServer, SILENT_BIND } from './bind.ts'
import { MAX_LINE_BYTES, readLines, rpcCounts } from './rpcLines.ts'

/** Bytes that all other processes have not read at which a connection is closed. */
const MAX_UNREAD_BYTES = 3 * MAX_LINE_BYTES
/** Bytes that a process has not read at which it counts as slow. */
const SLOW_BYTES = 262_144
/** Calls in progress on a connection at which no more are read from it. */
const MAX_RUNNING_CALLS = 64
/** Default timeout of a call, ms. */
export const CALL_TIMEOUT_MS = 1_000
/** Error code of a call that was not executed because the process stops. */
const STOPPING_CODE = -32_001

/** Links of this process, and whether it still executes calls on them. */
const served = {
	links: new Set<RpcLink>(),
	/** Calls and answers being processed. */
	running: 0,
	isStopping: false,
	onIdle: () => {},
}

/** Methods that a process serves, by name. */
export type Methods = Record<string, (params: never, link: RpcLink) => unknown>

/** An open connection. */
export interface RpcLink {
	readonly socket: Socket
	readonly peer: JSONRPCServerAndClient<RpcLink, void>
	/** Side that opened the connection: this process or the peer. */
	readonly opened: 'here' | 'there'
	/** Name from the peer's hello; empty before it. */
	remoteName: string
	/** Calls and answers of the peer that are being processed. */
	running: number
}

/** Calls a method and waits for its result. */
export async function call<T>(
	link: RpcLink,
	method: string,
	params: object,
	timeoutMs = CALL_TIMEOUT_MS,
): Promise<T> {
	return await link.peer.timeout(timeoutMs).request(method, params)
}

/** Sends a notification; it is dropped if the connection is closed. */
export function notify(link: RpcLink, method: string, params: object): void {
	if (!link.socket.destroyed) link.peer.notify(method, params)
}

/**
 * Refuses further calls as not executed. Resolves once those in progress have been
 * answered and the answers sent; then all links are closed.
 */
export async function stopRpc(): Promise<void> {
	served.isStopping = true
	if (served.running > 0)
		await new Promise<void>(resolve => {
			served.onIdle = resolve
		})
	const ends = [...served.links].map(
		({ socket }) =>
			new Promise<void>(resolve => {
				socket.once('close', () => resolve())
				socket.end(resolve)
			}),
	)
	await Promise.all(ends)
}

/** Whether a call was refused, without effect, because the other process stops. */
export function isRefusedByStop(err: unknown): boolean {
	return err instanceof JSONRPCErrorException && err.code === STOPPING_CODE
}

/**
 * Listens for connections and serves `methods` on them; resolves once the address is
 * bound, or without a listener if the process stops before.
 */
export async function serveRpc(
	address: string,
	methods: Methods,
	onLink: (link: RpcLink) => void = () => {},
	bind: BindOptions = SILENT_BIND,
): Promise<Server> {
	const server = createServer(socket =>
		onLink(openLink(socket, methods, 'there')),
	)
	await bindServer(server, address, bind)
	return server
}

/** Connects to another process; rejects on an error or after `timeoutMs`. */
export function connectRpc(
	address: string,
	methods: Methods,
	timeoutMs = CALL_TIMEOUT_MS,
): Promise<RpcLink> {
	const { ip, port } = splitAddress(address)
	return new Promise((resolve, reject) => {
		const socket = connect({ host: ip, port })
		const timer = setTimeout(
			() => socket.destroy(new Error(`connection to ${address} timed out`)),
			timeoutMs,
		)
		socket.once('error', err => {
			clearTimeout(timer)
			reject(err)
		})
		socket.once('connect', () => {
			clearTimeout(timer)
			resolve(openLink(socket, methods, 'here'))
		})
	})
}

function openLink(
	socket: Socket,
	methods: Methods,
	opened: RpcLink['opened'],
): RpcLink {
	const server = new JSONRPCServer<RpcLink>({ errorListener: () => {} })
	const client = new JSONRPCClient<void>(payload => send(socket, payload))
	const peer = new JSONRPCServerAndClient<RpcLink, void>(server, client, {
		errorListener: () => {},
	})
	const link: RpcLink = { socket, peer, opened, remoteName: '', running: 0 }
	for (const [name, method] of Object.entries(methods))
		peer.addMethod(name, (params, from) => method(params as never, from))
	served.links.add(link)
	socket.setNoDelay(true)
	socket.setKeepAlive(true, 5_000)
	socket.on('error', () => {})
	socket.on('close', () => {
		served.links.delete(link)
		peer.rejectAllPendingRequests('connection closed')
	})
	const refuse = () =>
		sendInvalidRequest(socket, `a line of more than ${MAX_LINE_BYTES} bytes`)
	readLines(socket, line => void receive(link, line), refuse)
	return link
}

function send(socket: Socket, payload: unknown): void {
	if (socket.destroyed) throw new Error('connection closed')
	const line = `${JSON.stringify(payload)}\n`
	if (socket.writableLength > SLOW_BYTES) limitUnread()
	if (socket.destroyed) throw new Error('the peer does not read')
	rpcCounts.messagesOut++
	rpcCounts.bytesOut += line.length
	socket.write(line)
}

/** Closes the connections with the most unread bytes while there are too many. */
function limitUnread(): void {
	const sockets = [...served.links].map(({ socket }) => socket)
	sockets.sort((a, b) => b.writableLength - a.writableLength)
	let bytes = sockets.reduce((sum, one) => sum + one.writableLength, 0)
	for (const socket of sockets) {
		if (bytes <= MAX_UNREAD_BYTES) return
		bytes -= socket.writableLength
		socket.destroy()
	}
}

async function receive(link: RpcLink, line: string): Promise<void> {
	rpcCounts.messagesIn++
	let payload: unknown
	try {
		payload = JSON.parse(line)
	} catch {
		rpcCounts.badFrames++
		const code = JSONRPCErrorCode.ParseError
		reply(
			link.socket,
			createJSONRPCErrorResponse(null, code, 'not a JSON text'),
		)
		return
	}
	if (served.isStopping && isJSONRPCRequest(payload)) {
		refuseCall(link, payload)
		return
	}
	served.running++
	link.running++
	if (link.running >= MAX_RUNNING_CALLS) link.socket.pause()
	try {
		await link.peer.receiveAndSend(payload, link, undefined)
	} catch (err) {
		rpcCounts.badFrames++
		sendInvalidRequest(link.socket, messageOf(err))
	} finally {
		served.running--
		link.running--
		if (link.running < MAX_RUNNING_CALLS && link.socket.isPaused())
			link.socket.resume()
		if (served.running === 0) served.onIdle()
	}
}

/** Notifications get no answer. */
function refuseCall({ socket }: RpcLink, { id }: JSONRPCRequest): void {
	if (id === undefined) return
	reply(
		socket,
		createJSONRPCErrorResponse(id, STOPPING_CODE, 'the process stops'),
	)
}

function sendInvalidRequest(socket: Socket, text: string): void {
	const code = JSONRPCErrorCode.InvalidRequest
	reply(socket, createJSONRPCErrorResponse(null, code, text))
}

/** Sends an answer unless the peer has disconnected. */
function reply(socket: Socket, payload: unknown): void {
	if (!socket.destroyed) send(socket, payload)
}
