/** Turns an attempt's frames into lifecycle events, and records its server's results. */

import type { LifecycleEvent } from '@juniperhook/core'
import { recordResult } from '@juniperhook/core'
import type { AnswerFrame } from '@juniperhook/runtime'
import { readNow } from '@juniperhook/runtime'
import type { AttemptSink } from './attempt.ts'
import type { EntryContext, Exchange } from './entryContext.ts'
import { peerOfRow, recordLoad } from './servers.ts'

/** Creates the sink of the current attempt; `onEvent` is called with each event. */
export function createAttemptSink(
	ctx: EntryContext,
	exchange: Exchange,
	onEvent: (event: LifecycleEvent) => void,
): AttemptSink {
	const { attempt } = exchange.lifecycle
	const { row } = exchange
	const name = ctx.servers.table.names[row]!
	const currentRow = () => ctx.servers.table.rowOf.get(name)
	const recordFailure = () => {
		const at = currentRow()
		if (at !== undefined) recordResult(ctx.servers.table, at, false, readNow())
	}
	return {
		frame(frame) {
			exchange.lastFrameAt = readNow()
			exchange.frame = frame
			const event = toLifecycleEvent(exchange, frame, attempt)
			if (event) onEvent(event)
		},
		notSent() {
			recordFailure()
			onEvent({ type: 'notSent', attempt })
		},
		linkLost() {
			recordFailure()
			onEvent({ type: 'linkLost', attempt })
		},
		load(report) {
			const at = currentRow()
			if (at === undefined) return
			exchange.isCounted = false
			recordLoad(ctx.servers, peerOfRow(ctx.servers, at), at, report)
		},
	}
}

function toLifecycleEvent(
	exchange: Exchange,
	frame: AnswerFrame,
	attempt: number,
): LifecycleEvent | undefined {
	switch (frame.t) {
		case 'admitted':
			return { type: 'admitted', attempt }
		case 'refused':
			return { type: 'refused', attempt, outcome: frame.outcome }
		case 'head':
		case 'chunk':
			return { type: 'chunk', attempt, n: frame.n }
		case 'end':
			return { type: 'end', attempt, n: frame.n }
		case 'failed':
			exchange.detail = frame.detail
			return { type: 'backendFailed', attempt }
		case 'beat':
			return undefined
		default:
			return frame satisfies never
	}
}
