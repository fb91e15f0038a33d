/**
 * Structured logs on standard output, one JSON object per line, with pino. Writing never
 * blocks: lines above a rate limit or a buffer size are dropped and counted, and the
 * count is logged before the next line.
 */

import pino from 'pino'

/** Buffer size beyond which lines are dropped, bytes. */
const MAX_BUFFER_BYTES = 262_144
/** Maximum rate of lines per second; a busy entry writes about 100. */
const MAX_LINES_PER_SECOND = 600
const RATE_WINDOW_MS = 1_000

/** Fields of a line. */
export type LogFields = Readonly<
	Record<string, string | number | boolean | undefined | readonly string[]>
>

/** A process's log. */
export interface EventLog {
	/** Number of lines dropped since the start. */
	dropped: number
	/** Writes one line: an event and the inputs of the decision behind it. */
	write(event: string, fields?: LogFields): void
	/** Flushes the buffer before the process exits. */
	flush(): void
}

/** Creates the log of the process named `node`. */
export function createEventLog(node: string): EventLog {
	const out = pino.destination({
		fd: 1,
		sync: false,
		maxLength: MAX_BUFFER_BYTES,
	})
	const logger = pino(
		{ base: { node }, messageKey: 'event', timestamp: formatTime },
		out,
	)
	let window = 0
	let lines = 0
	let unreportedDrops = 0
	const log: EventLog = {
		dropped: 0,
		write(event, fields = {}) {
			const now = Math.floor(performance.now() / RATE_WINDOW_MS)
			if (now !== window) lines = 0
			window = now
			lines++
			if (lines > MAX_LINES_PER_SECOND) {
				log.dropped++
				unreportedDrops++
				return
			}
			if (unreportedDrops > 0)
				logger.warn({ lines: unreportedDrops }, 'log lines dropped')
			unreportedDrops = 0
			logger.info(fields, event)
		},
		flush() {
			try {
				out.flushSync()
			} catch {
				// The pipe is full or closed; the buffered lines are lost.
				log.dropped++
			}
		},
	}
	out.on('drop', () => {
		log.dropped++
		unreportedDrops++
	})
	// Without a listener, a write error would terminate the process.
	out.on('error', () => {
		log.dropped++
	})
	return log
}

function formatTime(): string {
	return `,"time":${Date.now()},"up":${Math.round(performance.now())}`
}
