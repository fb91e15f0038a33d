/** A caller that sends given bytes at given times over one connection. */

import type { Socket } from 'node:net'
import { connect } from 'node:net'

/** Bytes that a caller sends. */
export interface Sending {
	/** When, ms of the monotonic clock, or as soon as all earlier requests are answered. */
	readonly at: number | 'whenAnswered'
	readonly bytes: string
}

/** A response as received. */
export interface RawResponse {
	readonly status: number
	readonly headers: Readonly<Record<string, string>>
	readonly body: string
	/** Whether its end was received, by its framing. */
	readonly isWhole: boolean
}

/** What a caller received until its connection ended. */
export interface Received {
	readonly responses: readonly RawResponse[]
}

/**
 * Sends bytes over a connection opened at `openAt`, ms of the monotonic clock, and reads
 * from `readAt` on; resolves at its end.
 */
export async function runRawCaller(
	address: string,
	sendings: readonly Sending[],
	openAt: number,
	readAt = 0,
): Promise<Received> {
	const [host, port] = address.split(':')
	await sleepUntil(openAt)
	const socket = connect({ host, port: Number(port) })
	socket.on('error', () => {})
	let text = ''
	const received = new Promise<Received>(resolve => {
		socket.once('close', () => resolve({ responses: parseResponses(text) }))
	})
	socket.on('data', data => {
		text += data.toString('latin1')
	})
	if (readAt > 0) {
		socket.pause()
		setTimeout(() => socket.resume(), readAt - performance.now())
	}
	for (const [index, { at, bytes }] of sendings.entries()) {
		if (at === 'whenAnswered')
			await untilData(socket, () => countWhole(text) >= index)
		else await sleepUntil(at)
		if (socket.writable) socket.write(bytes, 'latin1')
	}
	return await received
}

function countWhole(text: string): number {
	return parseResponses(text).filter(({ isWhole }) => isWhole).length
}

/** Waits until a condition holds after some data, or the connection has closed. */
function untilData(socket: Socket, isMet: () => boolean): Promise<void> {
	return new Promise(resolve => {
		socket.once('close', () => resolve())
		socket.on('data', () => {
			if (isMet()) resolve()
		})
	})
}

/** Splits the bytes of a connection into responses; the last one may be truncated. */
function parseResponses(text: string): RawResponse[] {
	const responses: RawResponse[] = []
	let rest = text
	while (rest !== '') {
		const headEnd = rest.indexOf('\r\n\r\n')
		if (headEnd < 0) break
		const [statusLine, ...lines] = rest.slice(0, headEnd).split('\r\n')
		const headers = Object.fromEntries(
			lines.map(line => {
				const at = line.indexOf(':')
				return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()]
			}),
		)
		const status = Number(statusLine!.split(' ')[1])
		const content = rest.slice(headEnd + 4)
		const body =
			headers['transfer-encoding'] === 'chunked'
				? readChunks(content)
				: readLength(content, Number(headers['content-length'] ?? 0))
		responses.push({ status, headers, body: body.text, isWhole: body.isWhole })
		rest = content.slice(body.bytes)
	}
	return responses
}

interface ParsedBody {
	readonly text: string
	readonly bytes: number
	readonly isWhole: boolean
}

function readLength(content: string, length: number): ParsedBody {
	const text = content.slice(0, length)
	return { text, bytes: text.length, isWhole: text.length === length }
}

function readChunks(content: string): ParsedBody {
	let at = 0
	let text = ''
	for (;;) {
		const lineEnd = content.indexOf('\r\n', at)
		if (lineEnd < 0) break
		const size = Number.parseInt(content.slice(at, lineEnd), 16)
		const end = lineEnd + 2 + size + 2
		// `NaN` if other bytes stand in place of the size.
		if (!(end <= content.length)) break
		if (size === 0) return { text, bytes: end, isWhole: true }
		text += content.slice(lineEnd + 2, lineEnd + 2 + size)
		at = end
	}
	return { text, bytes: content.length, isWhole: false }
}

function sleepUntil(at: number): Promise<void> {
	const ms = at - performance.now()
	return ms > 0
		? new Promise(resolve => setTimeout(resolve, ms))
		: Promise.resolve()
}
