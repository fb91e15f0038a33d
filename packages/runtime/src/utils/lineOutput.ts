/**
 * Lines on a standard stream of the process. Writing never blocks, and lines that nobody
 * reads or that the disk has no room for are dropped: the process depends on neither.
 */

import { fstatSync, write } from 'node:fs'
import { Writable } from 'node:stream'
import { readNow } from './clock.ts'

/** Size of waiting lines beyond which further ones are dropped, bytes. */
export const MAX_WAITING_BYTES = 262_144
/** Time for the last lines to be read before the process exits, ms. */
const FLUSH_MS = 100
const FLUSH_CHECK_INTERVAL_MS = 5
/** Delay before a write to a terminal that is not ready is repeated, ms. */
const BUSY_DELAY_MS = 100

/** A standard stream with a file descriptor. */
export type StandardStream = NodeJS.WriteStream & { readonly fd: 1 | 2 }

/** Lines on a standard stream. */
export interface LineOutput {
	/** Writes a line, which ends with a newline, or drops it. */
	write(line: string): void
	/** Resolves once all lines have been passed on, or after FLUSH_MS. */
	flush(): Promise<void>
}

/** A stream of lines. */
type LineStream = Pick<Writable, 'on' | 'write' | 'writableLength'>

/** Whether a standard stream is a pipe or a socket, whose reader may stall or exit. */
export function hasReader({ fd }: StandardStream): boolean {
	const stats = fstatSync(fd)
	return stats.isFIFO() || stats.isSocket()
}

/**
 * Opens a standard stream for lines; `onDrop` is called for each write that is lost. Node
 * writes to files and terminals synchronously, so they get a stream of their own.
 */
export function openStandardOutput(
	stream: StandardStream,
	onDrop: () => void,
): LineOutput {
	const isAsync = hasReader(stream)
	return openLineOutput(
		isAsync ? stream : openFileStream(stream.fd, onDrop),
		onDrop,
	)
}

/** Returns a stream to a file, which goes on after a failed write, for lack of space. */
function openFileStream(fd: number, onDrop: () => void): Writable {
	const writeAll = (bytes: Buffer, done: () => void) => {
		write(fd, bytes, (err, written) => {
			if (err && isBusy(err)) setTimeout(writeAll, BUSY_DELAY_MS, bytes, done)
			else if (err) {
				onDrop()
				done()
			} else if (written < bytes.length) writeAll(bytes.subarray(written), done)
			else done()
		})
	}
	return new Writable({
		write: (bytes: Buffer, _encoding, done) => writeAll(bytes, done),
		writev: (waiting, done) =>
			writeAll(Buffer.concat(waiting.map(one => one.chunk)), done),
	})
}

function isBusy({ code }: NodeJS.ErrnoException): boolean {
	return code === 'EAGAIN' || code === 'EBUSY'
}

/** Writes lines to a stream; `onDrop` is called for each line that is lost. */
export function openLineOutput(
	stream: LineStream,
	onDrop: () => void,
): LineOutput {
	// Without a listener, a reader that exits would terminate the process.
	stream.on('error', onDrop)
	return {
		write(line) {
			const isFull = stream.writableLength + line.length > MAX_WAITING_BYTES
			if (isFull) onDrop()
			else stream.write(line)
		},
		async flush() {
			const end = readNow() + FLUSH_MS
			while (stream.writableLength > 0 && readNow() < end)
				await new Promise(resolve =>
					setTimeout(resolve, FLUSH_CHECK_INTERVAL_MS),
				)
		},
	}
}
