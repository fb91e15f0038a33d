/**
 * The frames of one answer, retained so that a reader that lost its connection can resume
 * at any retained frame number and a second reader can receive the whole answer.
 */

import type { ServerResponse } from 'node:http'
import type { AnswerFrame } from '@juniperhook/runtime'
import { packFrame } from '@juniperhook/runtime'

/** Number of frames retained behind the slowest reader's position for resumption. */
const RETAINED_FRAMES = 512
/** Size above which a log is trimmed, bytes. */
const TRIM_THRESHOLD_BYTES = 262_144
/** Maximum size of an answer that is retained whole for its idempotency key, bytes. */
export const MAX_RETAINED_BYTES = 262_144

interface Reader {
	readonly res: ServerResponse
	/** Number of the next frame to send. */
	next: number
	/** Whether the socket's buffer is full. */
	full: boolean
}

/** The log of one answer. */
export interface AnswerLog {
	readonly frames: Buffer[]
	/** Number of the first frame that is still retained. */
	base: number
	bytes: number
	/** Undefined until the answer has ended. */
	closingFrame: Buffer | undefined
	readonly readers: Set<Reader>
	/** Whether to retain every frame, for requests with the same idempotency key. */
	readonly retainAll: boolean
	/** Called when a reader's buffer has drained or the reader has disconnected. */
	onReaderProgress: (() => void) | undefined
}

/** Creates an empty log. */
export function createAnswerLog(retainAll: boolean): AnswerLog {
	return {
		frames: [],
		base: 0,
		bytes: 0,
		closingFrame: undefined,
		readers: new Set(),
		retainAll,
		onReaderProgress: undefined,
	}
}

/** Returns the number of the next frame. */
export function nextFrameNumber(log: AnswerLog): number {
	return log.base + log.frames.length
}

/** Appends a numbered frame and sends it to all readers. */
export function appendFrame(log: AnswerLog, frame: AnswerFrame): void {
	const packed = packFrame(frame)
	log.frames.push(packed)
	log.bytes += packed.length
	for (const reader of log.readers) pump(log, reader)
	trim(log)
}

/** Adds the closing frame and ends every reader after it. */
export function closeLog(log: AnswerLog, frame: AnswerFrame): void {
	log.closingFrame = packFrame(frame)
	for (const reader of log.readers) pump(log, reader)
}

/**
 * Sends the answer from frame `from` on to `res`. Returns false if that frame is no longer
 * retained.
 */
export function attachReader(
	log: AnswerLog,
	res: ServerResponse,
	from: number,
): boolean {
	if (from < log.base) return false
	const reader: Reader = { res, next: from, full: false }
	log.readers.add(reader)
	res.on('drain', () => {
		reader.full = false
		pump(log, reader)
		log.onReaderProgress?.()
	})
	res.on('close', () => {
		log.readers.delete(reader)
		log.onReaderProgress?.()
	})
	pump(log, reader)
	return true
}

/** Whether some reader is so far behind that reading from the backend must pause. */
export function hasSlowReader(log: AnswerLog): boolean {
	if (log.bytes <= TRIM_THRESHOLD_BYTES) return false
	for (const reader of log.readers)
		if (reader.full && nextFrameNumber(log) - reader.next > RETAINED_FRAMES)
			return true
	return false
}

/** Sends a heartbeat to every reader whose buffer has room. */
export function sendHeartbeat(log: AnswerLog, heartbeat: Buffer): void {
	for (const reader of log.readers)
		if (!reader.full) reader.res.write(heartbeat)
}

function pump(log: AnswerLog, reader: Reader): void {
	const { res } = reader
	if (res.writableEnded || res.destroyed) return
	while (!reader.full && reader.next < nextFrameNumber(log)) {
		const frame = log.frames[reader.next - log.base]
		if (!frame) break
		reader.next++
		reader.full = !res.write(frame)
	}
	if (log.closingFrame && reader.next >= nextFrameNumber(log))
		res.end(log.closingFrame)
}

function trim(log: AnswerLog): void {
	if (log.retainAll && log.bytes <= MAX_RETAINED_BYTES) return
	if (log.bytes <= TRIM_THRESHOLD_BYTES) return
	let slowest = nextFrameNumber(log)
	for (const reader of log.readers) slowest = Math.min(slowest, reader.next)
	const count = slowest - RETAINED_FRAMES - log.base
	if (count <= 0) return
	for (const frame of log.frames.splice(0, count)) log.bytes -= frame.length
	log.base += count
}
