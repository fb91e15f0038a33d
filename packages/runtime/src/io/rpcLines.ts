/** Lines on control connections, of bounded length, and the traffic that they carry. */

import type { Socket } from 'node:net'
import type { PartCollector } from '@juniperhook/core'
import {
	addPart,
	clearParts,
	closeHold,
	createByteBudget,
	createPartCollector,
	emptyHold,
	growHold,
	joinParts,
	MAX_DOCUMENT_BYTES,
	openHold,
} from '@juniperhook/core'

/** Allowance in a line for the message around the texts that it carries, bytes. */
const ENVELOPE_BYTES = 65_536
/**
 * Maximum length of a line from another process, bytes. A process that starts is sent two
 * documents, the latest and the last valid one, and JSON escapes may double their size.
 */
export const MAX_LINE_BYTES = 2 * 2 * MAX_DOCUMENT_BYTES + ENVELOPE_BYTES
/** Maximum memory of all incomplete lines from other processes, bytes. */
const MAX_INCOMPLETE_BYTES = 3 * MAX_LINE_BYTES
const NEWLINE = 10

/** Traffic on control connections, for metrics. */
export interface RpcCounts {
	messagesIn: number
	messagesOut: number
	bytesIn: number
	bytesOut: number
	/** Received lines that were too long or not a JSON-RPC message. */
	badFrames: number
}

/** Traffic of this process. */
export const rpcCounts: RpcCounts = {
	messagesIn: 0,
	messagesOut: 0,
	bytesIn: 0,
	bytesOut: 0,
	badFrames: 0,
}

/** Incomplete lines from other processes. */
const incomplete = createByteBudget(MAX_INCOMPLETE_BYTES)

/**
 * Calls `onLine` for each line that arrives. A line that is too long, or the longest of
 * too many, ends the connection after `onRefused`. While the socket is paused, lines that
 * have been read wait.
 */
export function readLines(
	socket: Socket,
	onLine: (line: string) => void,
	onRefused: () => void,
): void {
	const incompleteLine = createPartCollector()
	const refuse = () => {
		rpcCounts.badFrames++
		onRefused()
		clearParts(incompleteLine)
		socket.off('data', receiveData)
		socket.resume()
		socket.destroySoon()
	}
	const hold = openHold(incomplete, refuse)
	socket.once('close', () => closeHold(incomplete, hold))
	const receiveData = (data: Buffer) => {
		rpcCounts.bytesIn += data.length
		let start = 0
		for (;;) {
			const end = data.indexOf(NEWLINE, start)
			if (end < 0) break
			const line = endLine(incompleteLine, data.subarray(start, end))
			emptyHold(incomplete, hold)
			start = end + 1
			if (line !== '') onLine(line)
			if (!socket.isPaused() || start === data.length) continue
			// The rest is read once fewer calls are in progress.
			rpcCounts.bytesIn -= data.length - start
			socket.unshift(data.subarray(start))
			return
		}
		const rest = data.subarray(start)
		if (rest.length === 0) return
		growHold(incomplete, hold, addPart(incompleteLine, rest))
		const isTooLong = incompleteLine.bytes > MAX_LINE_BYTES
		if (!isTooLong || !incomplete.holds.has(hold)) return
		closeHold(incomplete, hold)
		refuse()
	}
	socket.on('data', receiveData)
}

/** Returns a line that ends with `end`, and removes what was collected of it. */
function endLine(collector: PartCollector, end: Buffer): string {
	if (collector.bytes === 0) return end.toString('utf8')
	addPart(collector, end)
	const line = joinParts(collector).toString('utf8')
	clearParts(collector)
	return line
}
