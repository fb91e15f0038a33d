/**
 * Cuts a stream of server-sent events at their borders, bytes unchanged, so
 * that no part of an event is passed on without the rest.
 */

const NEWLINE = 10
const RETURN = 13
const ID_FIELD = /^id: ?(.*)$/m

/** One event with the bytes it came in. */
export interface StreamEvent {
	readonly bytes: Buffer
	/** Its id; undefined when it has none. */
	readonly id: string | undefined
}

/** Bytes that are no whole event yet. */
export interface EventSplitter {
	pending: Buffer
}

/** Makes a splitter that holds nothing. */
export function createEventSplitter(): EventSplitter {
	return { pending: Buffer.alloc(0) }
}

/** Takes bytes and gives the events that are whole now. */
export function splitEvents(
	splitter: EventSplitter,
	data: Buffer,
): StreamEvent[] {
	const bytes =
		splitter.pending.length > 0 ? Buffer.concat([splitter.pending, data]) : data
	const events: StreamEvent[] = []
	let start = 0
	for (;;) {
		const end = findBorder(bytes, start)
		if (end < 0) break
		const event = bytes.subarray(start, end)
		events.push({ bytes: event, id: readId(event) })
		start = end
	}
	splitter.pending = bytes.subarray(start)
	return events
}

/** The place after the blank line that ends an event, or -1. */
function findBorder(bytes: Buffer, start: number): number {
	let at = bytes.indexOf(NEWLINE, start)
	while (at >= 0) {
		const next = bytes[at + 1]
		if (next === NEWLINE) return at + 2
		if (next === RETURN && bytes[at + 2] === NEWLINE) return at + 3
		at = bytes.indexOf(NEWLINE, at + 1)
	}
	return -1
}

function readId(event: Buffer): string | undefined {
	return ID_FIELD.exec(event.toString('utf8'))?.[1]?.trim()
}
