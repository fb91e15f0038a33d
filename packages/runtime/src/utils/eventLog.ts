/**
 * Structured logs on standard output, one JSON object per line, with pino. Writing never
 * blocks: lines above a rate limit or a buffer size are dropped and counted, and the
 * count is logged before the next line.
 */

import pino from 'pino'
import type { LineOutput } from './lineOutput.ts'
import { openStandardOutput } from './lineOutput.ts'

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
	/** Changes the name of the process in further lines. */
	rename(node: string): void
	/** Writes one line: an event and the inputs of the decision behind it. */
	write(event: string, fields?: LogFields): void
	/** Passes waiting lines on before the process exits; takes a limited time. */
	flush(): Promise<void>
}

/** Creates the log of the process named `node`. */
export function createEventLog(node: string): EventLog {
	const onDrop = () => {
		log.dropped++
		unreportedDrops++
	}
	const out = openStandardOutput(process.stdout, onDrop)
	let logger = createLogger(node, out)
	let window = 0
	let lines = 0
	let unreportedDrops = 0
	const reportDrops = () => {
		const { dropped } = log
		logger.warn({ lines: unreportedDrops }, 'log lines dropped')
		const isWritten = log.dropped === dropped
		if (isWritten) unreportedDrops = 0
	}
	const log: EventLog = {
		dropped: 0,
		rename(name) {
			logger = createLogger(name, out)
		},
		write(event, fields = {}) {
			const now = Math.floor(performance.now() / RATE_WINDOW_MS)
			if (now !== window) lines = 0
			window = now
			lines++
			if (lines > MAX_LINES_PER_SECOND) {
				onDrop()
				return
			}
			if (unreportedDrops > 0) reportDrops()
			logger.info(fields, event)
		},
		flush: () => out.flush(),
	}
	return log
}

function createLogger(node: string, out: LineOutput) {
	return pino(
		{ base: { node }, messageKey: 'event', timestamp: formatTime },
		out,
	)
}

function formatTime(): string {
	return `,"time":${Date.now()},"up":${Math.round(performance.now())}`
}
