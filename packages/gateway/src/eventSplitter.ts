/**
 * Splits a stream of server-sent events at the event boundaries. The bytes are
 * unchanged, and an incomplete event is never passed on.
 */

import type { PartCollector } from '@juniperhook/core'
import {
	addPart,
	clearParts,
	createPartCollector,
	joinParts,
} from '@juniperhook/core'

const NEWLINE = 10
const RETURN = 13
const ID_FIELD = /^id: ?(.*)$/m
const COMMENT_LINES = /^(:.*\r?\n)+\r?\n$/
/** Maximum size of an event, bytes. */
const MAX_EVENT_BYTES = 1_048_576

/** One event, with its bytes as received. */
export interface StreamEvent {
	readonly bytes: Buffer
	/** The `id` field; undefined when the event has none. */
	readonly id: string | undefined
	/** Whether it consists of comment lines only, which keep a connection alive. */
	readonly isComment: boolean
}

/** Holds the bytes of an incomplete event. */
export interface EventSplitter {
	readonly pending: PartCollector
	/** The last of these bytes, and the one before it; 0 for none. */
	last: number
	beforeLast: number
}

/** Creates a splitter without bytes. */
export function createEventSplitter(): EventSplitter {
	return { pending: createPartCollector(), last: 0, beforeLast: 0 }
}

/** Whether part of an event has arrived. */
export function isWithinEvent({ pending }: EventSplitter): boolean {
	return pending.bytes > 0
}

/** Whether the incomplete event is larger than any event may be. */
export function isEventTooLarge({ pending }: EventSplitter): boolean {
	return pending.bytes > MAX_EVENT_BYTES
}

/** Appends bytes and returns the events that are now complete. */
export function splitEvents(
	splitter: EventSplitter,
	data: Buffer,
): StreamEvent[] {
	const events: StreamEvent[] = []
	let start = 0
	if (isWithinEvent(splitter)) {
		start = findPendingEnd(splitter, data)
		if (start < 0) {
			hold(splitter, data)
			return events
		}
		events.push(endPending(splitter, data.subarray(0, start)))
	}
	for (;;) {
		const end = findEventEnd(data, start)
		if (end < 0) break
		events.push(parseEvent(data.subarray(start, end)))
		start = end
	}
	if (start < data.length) hold(splitter, data.subarray(start))
	return events
}

function hold(splitter: EventSplitter, data: Buffer): void {
	addPart(splitter.pending, data)
	splitter.beforeLast = data.at(-2) ?? splitter.last
	splitter.last = data.at(-1)!
}

/**
 * Returns the offset in `data` after the event that began before it, or -1. Its end may
 * have begun in what is held, which contains no complete one.
 */
function findPendingEnd(
	{ last, beforeLast }: EventSplitter,
	data: Buffer,
): number {
	const hasLineEnd =
		last === NEWLINE || (last === RETURN && beforeLast === NEWLINE)
	if (hasLineEnd && data[0] === NEWLINE) return 1
	const isBlank = data[0] === RETURN && data[1] === NEWLINE
	if (last === NEWLINE && isBlank) return 2
	return findEventEnd(data, 0)
}

/** Returns the held event, which ends with `data`, and holds nothing any more. */
function endPending(splitter: EventSplitter, data: Buffer): StreamEvent {
	addPart(splitter.pending, data)
	const event = parseEvent(joinParts(splitter.pending))
	clearParts(splitter.pending)
	splitter.last = 0
	splitter.beforeLast = 0
	return event
}

/** Returns the offset after the blank line that ends an event, or -1. */
function findEventEnd(bytes: Buffer, start: number): number {
	let at = bytes.indexOf(NEWLINE, start)
	while (at >= 0) {
		const next = bytes[at + 1]
		if (next === NEWLINE) return at + 2
		if (next === RETURN && bytes[at + 2] === NEWLINE) return at + 3
		at = bytes.indexOf(NEWLINE, at + 1)
	}
	return -1
}

function parseEvent(bytes: Buffer): StreamEvent {
	const text = bytes.toString('utf8')
	const id = ID_FIELD.exec(text)?.[1]?.trim()
	return { bytes, id, isComment: COMMENT_LINES.test(text) }
}
