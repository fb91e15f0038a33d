/**
 * The port to a backend server: one function per kind. A run reports what it
 * sees to a sink; it never decides a request's fate.
 */

import type { EventEmitter } from 'node:events'
import type { IncomingHttpHeaders } from 'node:http'
import {
	messageOf,
	neverConnected,
	removeHopByHopHeaders,
} from '@juniperhook/runtime'
import { createParser } from 'eventsource-parser'
import { Agent, type Dispatcher, request } from 'undici'

/** What an engine sends as its last event. */
const STREAM_END = '[DONE]'
const MAX_ENGINE_RESUMES = 3
const CONNECT_MS = 1_000
const ENGINE_RESUME_PAUSE_MS = 100

/** Stops a run; cheaper a request than an AbortController. */
export interface StopSignal extends EventEmitter {
	stopped?: boolean
}

/** One run of a request on the backend server. */
export interface BackendRun {
	/** `IP:port` of the backend server. */
	readonly address: string
	readonly reqId: string
	readonly method: string
	readonly path: string
	readonly headers: Record<string, string>
	readonly body: Buffer
	readonly priority: number
	/** Emits `abort` when the run is to stop. */
	readonly stop: StopSignal
}

/** Where a run's answer goes. */
export interface AnswerSink {
	head(status: number, headers: Record<string, string | string[]>): void
	/** Resolves when more may be sent. */
	chunk(data: Uint8Array): Promise<void> | undefined
}

/** How a run ended. */
export type RunEnd =
	| { readonly how: 'whole' }
	| { readonly how: 'unstarted'; readonly detail: string }
	| { readonly how: 'broken'; readonly detail: string }

const dispatcher = new Agent({
	connect: { timeout: CONNECT_MS },
	headersTimeout: 0,
	bodyTimeout: 0,
	pipelining: 1,
})

/** Runs a request on a plain service: all bytes pass through. */
export async function runService(
	run: BackendRun,
	sink: AnswerSink,
): Promise<RunEnd> {
	return await runOnce(run, async res => {
		sink.head(res.statusCode, removeHopByHopHeaders(res.headers))
		for await (const data of res.body) await sink.chunk(data)
		return { how: 'whole' }
	})
}

/** Runs a request on a model engine; takes up a broken stream again. */
export async function runEngine(
	run: BackendRun,
	sink: AnswerSink,
): Promise<RunEnd> {
	return await runOnce(run, async res => {
		sink.head(res.statusCode, removeHopByHopHeaders(res.headers))
		if (!isEventStream(res.headers)) {
			for await (const data of res.body) await sink.chunk(data)
			return { how: 'whole' }
		}
		return await relayEvents(run, res, sink)
	})
}

/** Tells an engine to stop working on a request. */
export async function cancelOnEngine(
	address: string,
	reqId: string,
): Promise<void> {
	const url = `http://${address}/v1/requests/${encodeURIComponent(reqId)}`
	const res = await request(url, { method: 'DELETE', dispatcher })
	await res.body.dump()
}

async function runOnce(
	run: BackendRun,
	relay: (res: Dispatcher.ResponseData) => Promise<RunEnd>,
): Promise<RunEnd> {
	let res: Dispatcher.ResponseData
	try {
		res = await request(`http://${run.address}${run.path}`, {
			method: run.method as Dispatcher.HttpMethod,
			headers: {
				...run.headers,
				'x-request-id': run.reqId,
				'x-priority': String(run.priority),
			},
			body: run.body.length > 0 ? run.body : null,
			signal: run.stop,
			dispatcher,
		})
	} catch (err) {
		const detail = messageOf(err)
		return { how: neverConnected(err) ? 'unstarted' : 'broken', detail }
	}
	try {
		return await relay(res)
	} catch (err) {
		return { how: 'broken', detail: messageOf(err) }
	}
}

async function relayEvents(
	run: BackendRun,
	first: Dispatcher.ResponseData,
	sink: AnswerSink,
): Promise<RunEnd> {
	let seen = -1
	let ended = false
	let room: Promise<void> | undefined
	const parser = createParser({
		onEvent: event => {
			const number = Number(event.id ?? seen + 1)
			if (number <= seen || ended) return
			seen = number
			ended = event.data === STREAM_END
			room = sink.chunk(Buffer.from(`data: ${event.data}\n\n`))
		},
	})
	let res: Dispatcher.ResponseData | undefined = first
	for (let tries = 0; tries <= MAX_ENGINE_RESUMES; tries++) {
		const decoder = new TextDecoder()
		try {
			if (res)
				for await (const data of res.body) {
					parser.feed(decoder.decode(data, { stream: true }))
					if (room) await room
				}
		} catch (err) {
			if (run.stop.stopped) throw err
		}
		if (ended) return { how: 'whole' }
		parser.reset()
		await new Promise(r => setTimeout(r, ENGINE_RESUME_PAUSE_MS))
		res = await resumeOnEngine(run, seen + 1)
	}
	return { how: 'broken', detail: 'the stream ended without its end mark' }
}

async function resumeOnEngine(
	run: BackendRun,
	from: number,
): Promise<Dispatcher.ResponseData | undefined> {
	const id = encodeURIComponent(run.reqId)
	const url = `http://${run.address}/v1/requests/${id}/stream?from=${from}`
	try {
		const res = await request(url, { signal: run.stop, dispatcher })
		if (res.statusCode === 200) return res
		await res.body.dump()
	} catch {
		// The engine is away; the caller of this function tries again.
	}
	return undefined
}

function isEventStream(headers: IncomingHttpHeaders): boolean {
	return String(headers['content-type'] ?? '').includes('text/event-stream')
}
