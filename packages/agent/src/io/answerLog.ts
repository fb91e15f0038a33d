/**
 * The frames of one answer, kept so that a reader who lost its link takes the
 * answer up again at any number, and a second reader gets it whole.
 */

import type { ServerResponse } from 'node:http'
import type { AnswerFrame } from '@juniperhook/runtime'
import { packFrame } from '@juniperhook/runtime'

/** Frames behind the slowest reader that are kept for a resume. */
const KEEP_FRAMES = 512
/** A log is trimmed only beyond this, in bytes. */
const TRIM_BYTES = 262_144
/** Largest answer kept whole for later askers of its key, in bytes. */
export const MAX_KEPT_BYTES = 262_144

interface Reader {
	readonly res: ServerResponse
	next: number
	/** Whether the socket's buffer is full. */
	full: boolean
}

/** One answer as it is made. */
export interface AnswerLog {
	readonly frames: Buffer[]
	/** Number of the first frame still kept. */
	base: number
	bytes: number
	/** The closing frame, once there is one. */
	last: Buffer | undefined
	readonly readers: Set<Reader>
	/** Whether every frame must be kept, for askers by key. */
	readonly keepAll: boolean
	/** Called when a reader has caught up or gone. */
	onRoom: (() => void) | undefined
}

/** Makes an empty log. */
export function createAnswerLog(keepAll: boolean): AnswerLog {
	return {
		frames: [],
		base: 0,
		bytes: 0,
		last: undefined,
		readers: new Set(),
		keepAll,
		onRoom: undefined,
	}
}

/** Number that the next chunk gets. */
export function nextNumber(log: AnswerLog): number {
	return log.base + log.frames.length
}

/** Adds a numbered frame and sends it to all readers. */
export function appendFrame(log: AnswerLog, frame: AnswerFrame): void {
	const packed = packFrame(frame)
	log.frames.push(packed)
	log.bytes += packed.length
	for (const reader of log.readers) pump(log, reader)
	trim(log)
}

/** Adds the closing frame; readers end after it. */
export function closeLog(log: AnswerLog, frame: AnswerFrame): void {
	log.last = packFrame(frame)
	for (const reader of log.readers) pump(log, reader)
}

/** Sends `res` the answer from number `from`; false if that is gone. */
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
		log.onRoom?.()
	})
	res.on('close', () => {
		log.readers.delete(reader)
		log.onRoom?.()
	})
	pump(log, reader)
	return true
}

/** Whether some reader is far behind, so that the backend should wait. */
export function isBehind(log: AnswerLog): boolean {
	if (log.bytes <= TRIM_BYTES) return false
	for (const reader of log.readers)
		if (reader.full && nextNumber(log) - reader.next > KEEP_FRAMES) return true
	return false
}

/** Tells every reader that work goes on. */
export function sendBeat(log: AnswerLog, beat: Buffer): void {
	for (const reader of log.readers) if (!reader.full) reader.res.write(beat)
}

function pump(log: AnswerLog, reader: Reader): void {
	const { res } = reader
	if (res.writableEnded || res.destroyed) return
	while (!reader.full && reader.next < nextNumber(log)) {
		const frame = log.frames[reader.next - log.base]
		if (!frame) break
		reader.next++
		reader.full = !res.write(frame)
	}
	if (log.last && reader.next >= nextNumber(log)) res.end(log.last)
}

function trim(log: AnswerLog): void {
	if (log.keepAll && log.bytes <= MAX_KEPT_BYTES) return
	if (log.bytes <= TRIM_BYTES) return
	let slowest = nextNumber(log)
	for (const reader of log.readers) slowest = Math.min(slowest, reader.next)
	const count = slowest - KEEP_FRAMES - log.base
	if (count <= 0) return
	for (const frame of log.frames.splice(0, count)) log.bytes -= frame.length
	log.base += count
}
