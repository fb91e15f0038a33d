/**
 * Splits a stream of server-sent events at the event boundaries. The bytes are
 * unchanged, and an incomplete event is never passed on.
 */

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

/** Buffers the bytes of an incomplete event. */
export interface EventSplitter {
	readonly parts: Buffer[]
	/** Bytes of all parts. */
	pendingBytes: number
}

/** Creates a splitter with an empty buffer. */
export function createEventSplitter(): EventSplitter {
	return { parts: [], pendingBytes: 0 }
}

/** Whether the incomplete event is larger than any event may be. */
export function isEventTooLarge({ pendingBytes }: EventSplitter): boolean {
	return pendingBytes > MAX_EVENT_BYTES
}

/** Appends bytes and returns the events that are now complete. */
export function splitEvents(
	splitter: EventSplitter,
	data: Buffer,
): StreamEvent[] {
	const { parts } = splitter
	parts.push(data)
	splitter.pendingBytes += data.length
	// An event ends with a line break, so nothing is complete without one.
	if (!data.includes(NEWLINE)) return []
	const bytes = parts.length === 1 ? data : Buffer.concat(parts)
	const events: StreamEvent[] = []
	let start = 0
	for (;;) {
		const end = findEventEnd(bytes, start)
		if (end < 0) break
		events.push(parseEvent(bytes.subarray(start, end)))
		start = end
	}
	const rest = bytes.subarray(start)
	parts.length = 0
	if (rest.length > 0) parts.push(rest)
	splitter.pendingBytes = rest.length
	return events
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
