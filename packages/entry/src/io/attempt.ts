/** One attempt: offers a request to an agent and reports the frames of its answer. */

import { EventEmitter } from 'node:events'
import type {
	AnswerFrame,
	LoadFields,
	OfferMeta,
	ResumeMeta,
} from '@juniperhook/runtime'
import {
	createFrameReader,
	neverConnected,
	OFFER_HEADER,
	packHeader,
	RESUME_HEADER,
} from '@juniperhook/runtime'
import { Agent, type Dispatcher, request } from 'undici'

const CONNECT_TIMEOUT_MS = 1_000

/** Receives the events of an attempt. */
export interface AttemptSink {
	frame(frame: AnswerFrame): void
	/** No byte of the request left this process. */
	notSent(): void
	/** The connection ended before the closing frame. */
	linkLost(): void
	/** The answer carried a load report. */
	load(report: LoadFields): void
}

/** An attempt in progress. */
export interface AttemptHandle {
	/** Closes the connection unless the answer is complete; reports nothing more. */
	abandon(): void
	/** Pauses or resumes reading, as backpressure from a slow caller. */
	pause(): void
	resume(): void
}

const dispatcher = new Agent({
	connect: { timeout: CONNECT_TIMEOUT_MS },
	headersTimeout: 0,
	bodyTimeout: 0,
	pipelining: 1,
})

/** Offers a request to the agent at `address`. */
export function offerAttempt(
	address: string,
	meta: OfferMeta,
	body: Buffer,
	sink: AttemptSink,
): AttemptHandle {
	const headers = { [OFFER_HEADER]: packHeader(meta) }
	return openAttempt(`http://${address}/offer`, headers, body, sink)
}

/** Requests the rest of an interrupted answer. */
export function resumeAttempt(
	address: string,
	meta: ResumeMeta,
	sink: AttemptSink,
): AttemptHandle {
	const headers = { [RESUME_HEADER]: packHeader(meta) }
	return openAttempt(`http://${address}/resume`, headers, undefined, sink)
}

interface OpenAttempt {
	readonly sink: AttemptSink
	/** Emits `abort`; costs less per request than an AbortController. */
	readonly abort: EventEmitter
	body: Dispatcher.ResponseData['body'] | undefined
	/** Whether nothing more is reported. */
	isEnded: boolean
}

function openAttempt(
	url: string,
	headers: Record<string, string>,
	body: Buffer | undefined,
	sink: AttemptSink,
): AttemptHandle {
	const attempt: OpenAttempt = {
		sink,
		abort: new EventEmitter(),
		body: undefined,
		isEnded: false,
	}
	void sendRequest(attempt, url, headers, body)
	return {
		abandon() {
			// A connection with a complete answer is reused for the next request.
			if (attempt.isEnded) return
			attempt.isEnded = true
			attempt.abort.emit('abort')
		},
		pause: () => void attempt.body?.pause(),
		resume: () => void attempt.body?.resume(),
	}
}

async function sendRequest(
	attempt: OpenAttempt,
	url: string,
	headers: Record<string, string>,
	body: Buffer | undefined,
): Promise<void> {
	try {
		const res = await request(url, {
			method: 'POST',
			headers,
			body: body ?? null,
			signal: attempt.abort,
			dispatcher,
		})
		attempt.body = res.body
		readFrames(attempt, res)
	} catch (err) {
		if (attempt.isEnded) return
		attempt.isEnded = true
		if (neverConnected(err)) attempt.sink.notSent()
		else attempt.sink.linkLost()
	}
}

function readFrames(attempt: OpenAttempt, res: Dispatcher.ResponseData): void {
	const reader = createFrameReader()
	const reportLinkLost = () => {
		if (attempt.isEnded) return
		attempt.isEnded = true
		attempt.sink.linkLost()
	}
	reader.on('data', (frame: AnswerFrame) => handleFrame(attempt, frame))
	reader.on('error', () => {
		reportLinkLost()
		res.body.destroy()
	})
	reader.on('end', reportLinkLost)
	res.body.on('error', reportLinkLost)
	if (res.statusCode !== 200) {
		void res.body.dump().catch(() => {})
		reportLinkLost()
		return
	}
	res.body.pipe(reader)
}

function handleFrame(attempt: OpenAttempt, frame: AnswerFrame): void {
	if (attempt.isEnded) return
	switch (frame.t) {
		case 'refused':
		case 'end':
			attempt.isEnded = true
			attempt.sink.load(frame.load)
			break
		case 'failed':
			attempt.isEnded = true
			break
		case 'admitted':
		case 'head':
		case 'chunk':
		case 'beat':
			break
		default:
			frame satisfies never
			return
	}
	attempt.sink.frame(frame)
}
