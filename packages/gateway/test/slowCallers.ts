/** Servers with large answers, and callers that read them slowly, for tests. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer, request } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ListedServer } from '@juniperhook/core'
import { WIRE } from './fakeBackends.ts'

const TRICKLE_MS = 1_000

/** A server of streams and answers of any size. */
export interface LargeServer {
	readonly server: Server
	readonly listed: ListedServer
	/** Responses whose connection closed before they were complete. */
	abandoned: number
	/** Longest time for which a connection did not take the next event, ms. */
	longestUnreadMs: number
}

/**
 * Starts a server. It answers `/s/SIZE/COUNT/GAP` with a stream of COUNT events of SIZE
 * bytes, one each GAP ms, and `/r/SIZE` with SIZE bytes.
 */
export async function startLargeServer(): Promise<LargeServer> {
	const server = createServer((req, res) => {
		req.resume()
		res.on('close', () => {
			if (!res.writableFinished) large.abandoned++
		})
		void answer(large, req, res)
	})
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
	const { port } = server.address() as AddressInfo
	const listed: ListedServer = {
		id: 'large',
		name: 'large',
		service: 'plain',
		address: `127.0.0.1:${port}`,
		dataCentre: 'north',
		slots: 1_000,
		leaving: false,
		coldMs: 0,
	}
	const large = { server, listed, abandoned: 0, longestUnreadMs: 0 }
	return large
}

async function answer(
	large: LargeServer,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	const id = String(req.headers[WIRE.requestId])
	const sealed = { [WIRE.requestId]: id, [WIRE.seal]: 'sealed' }
	const [kind, size = 0, count = 0, gapMs = 0] = (req.url ?? '')
		.split('/')
		.slice(1)
		.map((part, at) => (at === 0 ? part : Number(part))) as [
		string,
		...number[],
	]
	if (kind === 'r') {
		res.writeHead(200, sealed).end(Buffer.alloc(size, 'a'))
		return
	}
	res.writeHead(200, { ...sealed, 'content-type': 'text/event-stream' })
	const from = Number(req.headers[WIRE.lastEventId] ?? 0) + 1
	for (let at = from; at <= count && !res.destroyed; at++) {
		const isTaken = res.write(`id: ${at}\ndata: ${'x'.repeat(size)}\n\n`)
		if (!isTaken) await waitForDrain(large, res)
		if (gapMs > 0) await sleep(gapMs)
	}
	res.end()
}

function waitForDrain(large: LargeServer, res: ServerResponse): Promise<void> {
	const from = performance.now()
	return new Promise(resolve => {
		const settle = () => {
			res.off('drain', settle).off('close', settle)
			const unreadMs = performance.now() - from
			large.longestUnreadMs = Math.max(large.longestUnreadMs, unreadMs)
			resolve()
		}
		res.once('drain', settle)
		res.once('close', settle)
	})
}

/** How a caller reads. */
export type Reading =
	| { readonly kind: 'fast' }
	/** Reads one byte a second, then all. */
	| { readonly kind: 'trickle'; readonly untilMs: number }
	/** Reads nothing for some time, then all. */
	| { readonly kind: 'late'; readonly afterMs: number }
	/** Reads some bytes each 20 ms. */
	| { readonly kind: 'steady'; readonly bytes: number }
	/** Closes its connection after some time without reading. */
	| { readonly kind: 'closes'; readonly afterMs: number }

/** What a caller received. */
export interface Received {
	readonly status: number
	readonly retryAfter: string | undefined
	/** Ids of the complete events, in order. */
	readonly ids: readonly number[]
	readonly bytes: number
	/** Whether the response is complete by its framing. */
	readonly whole: boolean
	/** Longest time between two parts, ms. */
	readonly longestGapMs: number
}

/** Calls a gateway and reads the response as told; ends with the connection. */
export function callSlowly(
	address: string,
	path: string,
	reading: Reading,
	headers: Record<string, string> = {},
): Promise<Received> {
	const [host, port] = address.split(':')
	return new Promise(resolve => {
		const req = request({
			host,
			port,
			path,
			method: 'POST',
			agent: false,
			headers: {
				host: 'huts.example',
				authorization: 'Key key-1',
				...headers,
			},
		})
		req.on('error', () => {})
		req.on('response', res => receive(res, reading, resolve))
		req.end()
	})
}

function receive(
	res: IncomingMessage,
	reading: Reading,
	resolve: (received: Received) => void,
): void {
	const parts: Buffer[] = []
	let lastAt = performance.now()
	let longestGapMs = 0
	const take = (part: Buffer | null) => {
		if (!part) return
		const now = performance.now()
		longestGapMs = Math.max(longestGapMs, now - lastAt)
		lastAt = now
		parts.push(part)
	}
	const timers: NodeJS.Timeout[] = []
	res.on('error', () => {})
	res.on('close', () => {
		for (const timer of timers) clearInterval(timer)
		const bytes = Buffer.concat(parts)
		const ids = [...bytes.toString('latin1').matchAll(/id: (\d+)\n.*\n\n/g)]
		resolve({
			status: res.statusCode ?? 0,
			retryAfter: res.headers['retry-after'],
			ids: ids.map(([, id]) => Number(id)),
			bytes: bytes.length,
			whole: res.complete,
			longestGapMs,
		})
	})
	const readAll = () => res.on('data', take)
	switch (reading.kind) {
		case 'fast':
			readAll()
			return
		case 'trickle':
			timers.push(setInterval(() => take(res.read(1)), TRICKLE_MS))
			timers.push(setTimeout(readAll, reading.untilMs))
			return
		case 'late':
			timers.push(setTimeout(readAll, reading.afterMs))
			return
		case 'steady':
			timers.push(
				setInterval(() => take(res.read(reading.bytes) ?? res.read()), 20),
			)
			return
		case 'closes':
			timers.push(setTimeout(() => res.destroy(), reading.afterMs))
			return
		default:
			reading satisfies never
	}
}

function sleep(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}
