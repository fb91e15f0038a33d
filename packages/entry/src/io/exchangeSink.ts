/** What comes of a try, as events of its exchange and marks of its server. */

import type { LifecycleEvent } from '@juniperhook/core'
import { recordResult } from '@juniperhook/core'
import type { AnswerFrame } from '@juniperhook/runtime'
import { readNow } from '@juniperhook/runtime'
import type { AttemptSink } from './attempt.ts'
import type { EntryContext, Exchange } from './entryContext.ts'
import { noteLoad, peerOfRow } from './servers.ts'

/** Makes the sink of the try under way; `take` gets each event of it. */
export function createSink(
	ctx: EntryContext,
	exchange: Exchange,
	take: (event: LifecycleEvent) => void,
): AttemptSink {
	const { attempt } = exchange.fate
	const { row } = exchange
	const name = ctx.servers.table.names[row]!
	const currentRow = () => ctx.servers.table.rowOf.get(name)
	const noteBad = () => {
		const at = currentRow()
		if (at !== undefined) recordResult(ctx.servers.table, at, false, readNow())
	}
	return {
		frame(frame) {
			exchange.heardAt = readNow()
			exchange.frame = frame
			const event = eventOf(exchange, frame, attempt)
			if (event) take(event)
		},
		notSent() {
			noteBad()
			take({ type: 'notSent', attempt })
		},
		linkLost() {
			noteBad()
			take({ type: 'linkLost', attempt })
		},
		load(report) {
			const at = currentRow()
			if (at === undefined) return
			exchange.counted = false
			noteLoad(ctx.servers, peerOfRow(ctx.servers, at), at, report)
		},
	}
}

function eventOf(
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
