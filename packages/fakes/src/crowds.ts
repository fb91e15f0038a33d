/** Callers that send much in an unusual form, and stop in the middle of it. */

import { readdirSync } from 'node:fs'
import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { connect } from 'node:net'
import type { Daemon } from './daemons.ts'
import { pause, sendGet } from './daemons.ts'

/** Body size within the limits of a listener, bytes. */
export const CROWD_BODY_LIMIT = 1_048_576
const SHORT_BYTES = CROWD_BODY_LIMIT - 1
const PART_BYTES = 65_536
/** Requests sent on one connection before any of them is answered. */
const WAITING_REQUESTS = 90
/** Bytes that wait, unread, for an earlier request of their connection. */
const WAITING_BODY_BYTES = 16_000
const OVERSIZE_FACTOR = 4
/** Time without progress after which a listener counts as taking no more, ms. */
const STALLED_MS = 1_000
const POLL_MS = 20

/** What each connection of a crowd sends. */
export interface CrowdShape {
	readonly name: string
	readonly connections: number
	readonly bytes: Buffer
	/** Whether it stops before the end of a request. */
	readonly isUnfinished: boolean
}

/** Connections that have sent all their bytes, or as many as were taken. */
export interface Crowd {
	/** Connections that are open. */
	readonly open: Set<Socket>
	close(): void
}

/** Returns a chunked body of `total` bytes, without its end. */
export function chunkBody(total: number, partBytes: number): string {
	const chunk = (size: number) =>
		`${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`
	const whole = Math.floor(total / partBytes)
	const rest = total % partBytes
	return chunk(partBytes).repeat(whole) + (rest > 0 ? chunk(rest) : '')
}

/** End of a chunked body. */
export const CHUNKS_END = '0\r\n\r\n'

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'

/**
 * Lists crowds; `request` is a head without its last line, and `overBytes` the size of a
 * body that is far over the limit.
 */
export function listCrowds(
	request: string,
	overBytes = CROWD_BODY_LIMIT * OVERSIZE_FACTOR,
): readonly CrowdShape[] {
	const chunked = request + CHUNKED
	const unfinished = (name: string, connections: number, text: string) => ({
		name,
		connections,
		bytes: Buffer.from(text, 'latin1'),
		isUnfinished: true,
	})
	const finished = (name: string, connections: number, text: string) => ({
		...unfinished(name, connections, text),
		isUnfinished: false,
	})
	const inChunks = (name: string, connections: number, partBytes: number) =>
		unfinished(
			`short of the end, ${name}`,
			connections,
			chunked + chunkBody(SHORT_BYTES, partBytes),
		)
	const waiting = `${chunked}${chunkBody(WAITING_BODY_BYTES, 1)}${CHUNKS_END}`
	const part = 'x'.repeat(PART_BYTES)
	const short = 'x'.repeat(SHORT_BYTES)
	return [
		unfinished(
			'far over the limit, announced',
			64,
			`${request}Content-Length: 99999999999\r\n\r\n${part}`,
		),
		unfinished(
			'far over the limit',
			64,
			chunked + chunkBody(overBytes, PART_BYTES),
		),
		unfinished(
			'without an end, byte by byte',
			4,
			chunked + chunkBody(CROWD_BODY_LIMIT * OVERSIZE_FACTOR, 1),
		),
		inChunks('byte by byte', 8, 1),
		inChunks('in small chunks', 32, 16),
		inChunks('in large chunks', 64, PART_BYTES),
		unfinished(
			'short of the end, in one chunk',
			64,
			`${chunked}${CROWD_BODY_LIMIT.toString(16)}\r\n${short}`,
		),
		unfinished(
			'short of the end, with a length',
			64,
			`${request}Content-Length: ${CROWD_BODY_LIMIT}\r\n\r\n${short}`,
		),
		finished(
			'byte by byte, one after the other',
			2,
			waiting.repeat(WAITING_REQUESTS),
		),
		finished(
			'none, one request after the other',
			64,
			`${request}\r\n`.repeat(WAITING_REQUESTS),
		),
	]
}

/** Lists crowds of processes, whose messages are lines. */
export function listLineCrowds(): readonly CrowdShape[] {
	const start = '{"jsonrpc":"2.0","id":1,"method":"x","params":"'
	const crowd = (name: string, connections: number, text: string) => ({
		name,
		connections,
		bytes: Buffer.from(text, 'latin1'),
		isUnfinished: true,
	})
	return [
		crowd('a line short of its end', 64, start + 'x'.repeat(SHORT_BYTES)),
		crowd(
			'a line of one byte after empty ones',
			128,
			`${'\n'.repeat(PART_BYTES - 1)}x`,
		),
	]
}

/**
 * Opens the connections of a crowd, which read nothing; resolves once all its bytes have
 * been taken, their connections have ended, or no more is taken for some time.
 */
export async function openCrowd(
	ip: string,
	port: number,
	{ connections, bytes }: Pick<CrowdShape, 'connections' | 'bytes'>,
): Promise<Crowd> {
	const open = new Set<Socket>()
	let progressAt = performance.now()
	let sending = connections
	for (let at = 0; at < connections; at++) {
		const socket = connect(port, ip)
		open.add(socket)
		socket.on('error', () => {})
		socket.once('close', () => open.delete(socket))
		socket.pause()
		sendInPieces(
			socket,
			bytes,
			() => {
				progressAt = performance.now()
			},
			() => sending--,
		)
	}
	while (sending > 0 && performance.now() - progressAt < STALLED_MS)
		await pause(POLL_MS)
	const close = () => {
		for (const socket of open) socket.destroy()
	}
	return { open, close }
}

/** Calls `onTaken` with each piece that the connection takes, and `onEnd` at last. */
function sendInPieces(
	socket: Socket,
	bytes: Buffer,
	onTaken: () => void,
	onEnd: () => void,
): void {
	let from = 0
	const sendNext = (err?: Error | null) => {
		if (err || from >= bytes.length) {
			onEnd()
			return
		}
		onTaken()
		const piece = bytes.subarray(from, from + PART_BYTES)
		from += piece.length
		socket.write(piece, sendNext)
	}
	sendNext()
}

/** Returns the number of descriptors that a process has open. Linux only. */
export function countDescriptors({ child }: Pick<Daemon, 'child'>): number {
	return readdirSync(`/proc/${child.pid}/fd`).length
}

/**
 * Starts a server whose answers arrive in chunks of one byte: those of the server at
 * `source`, or the JSON text `source` itself. Returns its address.
 */
export async function startCuttingProxy(source: string): Promise<string> {
	const isText = source.startsWith('{')
	const server = createServer(async (req, res) => {
		const { status, body } = isText
			? { status: 200, body: source }
			: await sendGet(source, req.url ?? '/')
		const chunks = Array.from(body, byte => `1\r\n${byte}\r\n`).join('')
		const head = `HTTP/1.1 ${status || 502} X\r\nContent-Type: application/json\r\n`
		const { socket } = res
		res.detachSocket(socket!)
		socket!.end(`${head}Connection: close\r\n${CHUNKED}${chunks}${CHUNKS_END}`)
	})
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
	const { port } = server.address() as AddressInfo
	return `127.0.0.1:${port}`
}
