/**
 * Structured logs on standard output, one JSON object a line, by pino. Writing
 * never waits: lines over a rate or a buffer are dropped and counted, and the
 * next line that is written says how many.
 */

import pino from 'pino'

/** Buffered bytes beyond which lines are dropped. */
const MAX_BUFFER_BYTES = 262_144
/** Lines a second that are written; a busy entry writes about 100. */
const MAX_LINES_PER_SECOND = 600
const RATE_WINDOW_MS = 1_000

/** Values that a line may carry. */
export type LogFields = Readonly<
	Record<string, string | number | boolean | undefined | readonly string[]>
>

/** A process's log. */
export interface EventLog {
	/** Lines not written since the start. */
	dropped: number
	/** Writes one line: what happened and the inputs that decided it. */
	write(event: string, fields?: LogFields): void
	/** Writes what is buffered, before the process ends. */
	flush(): void
}

/** Makes the log of the process called `node`. */
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
				// The pipe is full or gone; the lines are lost either way.
				log.dropped++
			}
		},
	}
	out.on('drop', () => {
		log.dropped++
		unreportedDrops++
	})
	// A log that cannot be written must not end the process.
	out.on('error', () => {
		log.dropped++
	})
	return log
}

function formatTime(): string {
	return `,"time":${Date.now()},"up":${Math.round(performance.now())}`
}
