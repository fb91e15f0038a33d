/**
 * Writes the events of a stream to its reader. Those that it has not taken wait in few
 * blocks: each write that waits takes hundreds of bytes, however small its event is.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { PartCollector } from '@juniperhook/core'
import {
	addPart,
	clearParts,
	createPartCollector,
	listParts,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { StreamSource } from './heldResponsesState.ts'

/** Bytes that a reader has not taken at which the source of its stream is paused. */
const MAX_UNREAD_BYTES = 262_144

/** What the reader of a response has not taken. */
export interface StreamBacklog {
	readonly res: ServerResponse
	readonly unread: PartCollector
	/** When the source was paused, ms; undefined while it is read. */
	pausedAt: number | undefined
}

/** Creates an empty backlog. */
export function createStreamBacklog(res: ServerResponse): StreamBacklog {
	return { res, unread: createPartCollector(), pausedAt: undefined }
}

/** Writes an event, or has it wait behind others. */
export function writeEvent(
	{ res, unread }: StreamBacklog,
	bytes: Buffer,
): void {
	if (unread.bytes > 0 || res.writableNeedDrain) addPart(unread, bytes)
	else res.write(bytes)
}

/** Writes all that waits. */
export function flushBacklog({ res, unread }: StreamBacklog): void {
	if (!res.destroyed) for (const part of listParts(unread)) res.write(part)
	clearParts(unread)
}

/** Pauses the source if the reader is too far behind, after events were written. */
export function paceBacklog(
	backlog: StreamBacklog,
	source: StreamSource,
): void {
	const { res, unread, pausedAt } = backlog
	const bytes = res.writableLength + unread.bytes
	if (pausedAt !== undefined || bytes <= MAX_UNREAD_BYTES || res.destroyed)
		return
	backlog.pausedAt = readNow()
	source.pause()
}

/** Goes on after the reader has taken what was written. */
export function continueBacklog(
	backlog: StreamBacklog,
	source: StreamSource,
): void {
	flushBacklog(backlog)
	const { pausedAt } = backlog
	if (pausedAt === undefined) return
	backlog.pausedAt = undefined
	source.resume(readNow() - pausedAt)
}

/**
 * Creates the source of a stream. It is paused after the parts that have been read were
 * passed on, together with its connection: parts that wait take more than their bytes.
 */
export function createStreamSource(
	message: IncomingMessage,
	onResume: (pausedMs: number) => void,
): StreamSource {
	const { socket } = message
	let isPaused = false
	let isSocketPaused = false
	const pause = () => {
		// After its end, the connection may carry other messages.
		if (!isPaused || message.complete || message.destroyed) return
		isSocketPaused = true
		message.pause()
		socket.pause()
	}
	return {
		pause() {
			isPaused = true
			process.nextTick(pause)
		},
		resume(pausedMs) {
			isPaused = false
			onResume(pausedMs)
			message.resume()
			if (isSocketPaused) socket.resume()
			isSocketPaused = false
		},
	}
}
