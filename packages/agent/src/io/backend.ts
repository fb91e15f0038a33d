/**
 * The port to a backend server, with one function per kind of server. A run passes the
 * answer to a sink and returns its result; it does not decide on a request's outcome.
 */

import type { EventEmitter } from 'node:events'
import type { IncomingHttpHeaders } from 'node:http'
import type { PartCollector } from '@juniperhook/core'
import {
	addPart,
	clearParts,
	createPartCollector,
	joinParts,
} from '@juniperhook/core'
import {
	messageOf,
	neverConnected,
	removeHopByHopHeaders,
} from '@juniperhook/runtime'
import { createParser } from 'eventsource-parser'
import { Agent, type Dispatcher, request } from 'undici'

/** Data of the last event of an engine's stream. */
const STREAM_END = '[DONE]'
const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const MAX_ENGINE_RESUMES = 3
/** Maximum size of an event, bytes. */
const MAX_EVENT_BYTES = 1_048_576
const CONNECT_TIMEOUT_MS = 1_000
const ENGINE_RESUME_DELAY_MS = 100

/** Stops a run; costs less per request than an AbortController. */
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
	/** Emits `abort` to stop the run. */
	readonly stop: StopSignal
}

/** Receives a run's answer. */
export interface AnswerSink {
	head(status: number, headers: Record<string, string | string[]>): void
	/** Resolves when more data may be written; undefined if it may at once. */
	chunk(data: Uint8Array): Promise<void> | undefined
}

/** The result of a run. `unstarted`: the request never reached the server. */
export type RunResult =
	| { readonly how: 'whole' }
	| { readonly how: 'unstarted'; readonly detail: string }
	| { readonly how: 'broken'; readonly detail: string }

const dispatcher = new Agent({
	connect: { timeout: CONNECT_TIMEOUT_MS },
	headersTimeout: 0,
	bodyTimeout: 0,
	pipelining: 1,
})

/** Numbers of the events of an engine's stream are consecutive, from 0. */
const FIRST_EVENT = 0

/** Runs a request on a plain service and passes all bytes through. */
export async function runService(
	run: BackendRun,
	sink: AnswerSink,
): Promise<RunResult> {
	return await runOnce(run, async res => {
		sink.head(res.statusCode, removeHopByHopHeaders(res.headers))
		for await (const data of res.body) await sink.chunk(data)
		return { how: 'whole' }
	})
}

/** Runs a request on a model engine and resumes a broken event stream. */
export async function runEngine(
	run: BackendRun,
	sink: AnswerSink,
): Promise<RunResult> {
	return await runOnce(run, async res => {
		sink.head(res.statusCode, removeHopByHopHeaders(res.headers))
		if (!isEventStream(res.headers)) {
			for await (const data of res.body) await sink.chunk(data)
			return { how: 'whole' }
		}
		return await relayEvents(run, res, sink)
	})
}

/** Cancels a request on an engine. */
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
	relay: (res: Dispatcher.ResponseData) => Promise<RunResult>,
): Promise<RunResult> {
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
			// On a connection that was used before, bytes of an earlier answer may follow.
			reset: true,
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
): Promise<RunResult> {
	let nextNumber = FIRST_EVENT
	let ended = false
	let isResumed = false
	let hasGap = false
	let bytesSinceEvent = 0
	let writable: Promise<void> | undefined
	const parser = createParser({
		onComment: () => {
			bytesSinceEvent = 0
		},
		onEvent: ({ id, data }) => {
			bytesSinceEvent = 0
			// What continues a stream needs a number to show that it is the next event.
			if (id === undefined && isResumed) hasGap = true
			const number = id === undefined ? nextNumber : Number(id)
			if (!(number <= nextNumber)) hasGap = true
			if (hasGap || ended || number < nextNumber) return
			nextNumber++
			ended = data === STREAM_END
			writable = sink.chunk(Buffer.from(`data: ${data}\n\n`))
		},
	})
	let res: Dispatcher.ResponseData | undefined = first
	for (let resumes = 0; resumes <= MAX_ENGINE_RESUMES; resumes++) {
		const lines = createPartCollector()
		const decoder = new TextDecoder()
		if (isResumed) {
			await new Promise(r => setTimeout(r, ENGINE_RESUME_DELAY_MS))
			res = await resumeOnEngine(run, nextNumber)
		}
		try {
			if (res)
				for await (const data of res.body) {
					bytesSinceEvent += data.length
					const whole = takeLines(lines, data)
					if (whole) parser.feed(decoder.decode(whole, { stream: true }))
					const isTooLarge = bytesSinceEvent > MAX_EVENT_BYTES
					if (hasGap || ended || isTooLarge) break
					if (writable) await writable
				}
		} catch (err) {
			if (run.stop.stopped) throw err
		}
		if (ended) return { how: 'whole' }
		parser.reset()
		hasGap = false
		bytesSinceEvent = 0
		isResumed = true
	}
	return { how: 'broken', detail: 'the stream ended without its end mark' }
}

/**
 * Collects bytes and returns the lines that are now complete: the parser joins and searches
 * an incomplete line again with each part.
 */
function takeLines(
	collector: PartCollector,
	data: Uint8Array,
): Buffer | undefined {
	const end =
		Math.max(data.lastIndexOf(LINE_FEED), data.lastIndexOf(CARRIAGE_RETURN)) + 1
	if (end === 0) {
		addPart(collector, data)
		return undefined
	}
	addPart(collector, data.subarray(0, end))
	const lines = joinParts(collector)
	clearParts(collector)
	addPart(collector, data.subarray(end))
	return lines
}

async function resumeOnEngine(
	run: BackendRun,
	from: number,
): Promise<Dispatcher.ResponseData | undefined> {
	const id = encodeURIComponent(run.reqId)
	const url = `http://${run.address}/v1/requests/${id}/stream?from=${from}`
	try {
		const res = await request(url, {
			signal: run.stop,
			reset: true,
			dispatcher,
		})
		if (res.statusCode === 200 && isEventStream(res.headers)) return res
		await res.body.dump()
	} catch {
		// The engine is unreachable; relayEvents retries.
	}
	return undefined
}

function isEventStream(headers: IncomingHttpHeaders): boolean {
	return String(headers['content-type'] ?? '').includes('text/event-stream')
}
