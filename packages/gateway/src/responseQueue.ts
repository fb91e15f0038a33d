/**
 * Writes responses in small batches, the next one when the reader has taken the last, so
 * that what is held for it and its progress are known.
 */

import type { ServerResponse } from 'node:http'
import { growHolder, shrinkHolder } from '@juniperhook/core'
import type { GatewayContext } from './context.ts'
import { isDelivering, judgeQueue, queueOf } from './heldResponses.ts'
import type { ResponseQueue } from './heldResponsesState.ts'
import type { CallerRequest } from './job.ts'

/** Bytes written at once: some packets, so that slow progress is noticed. */
const BATCH_BYTES = 16_384
/** Memory that a piece takes besides its bytes. */
const PIECE_OVERHEAD_BYTES = 256

/** Pieces written at once. */
interface Batch {
	readonly parts: readonly Buffer[]
	/** Bytes that they count for, with overhead. */
	readonly bytes: number
}

/** Appends an event to a stream. */
export function queueEvent(
	ctx: GatewayContext,
	queue: ResponseQueue,
	event: Buffer,
): void {
	append(ctx, queue, event)
	writeNext(ctx, queue)
}

/** Ends a stream after the events that are held. */
export function endQueue(ctx: GatewayContext, queue: ResponseQueue): void {
	queue.holder.phase = 'delivering'
	writeNext(ctx, queue)
}

/**
 * Delivers a complete body, whose head has been written, without copying it. Returns
 * false if the settings do not call for a queue.
 */
export function deliverBody(
	ctx: GatewayContext,
	res: ServerResponse,
	request: CallerRequest,
	parts: readonly Buffer[],
): boolean {
	const queue = queueOf(ctx, res, request)
	if (!queue) return false
	for (const part of parts) append(ctx, queue, part)
	endQueue(ctx, queue)
	return true
}

function append(
	{ heldResponses: held }: GatewayContext,
	queue: ResponseQueue,
	piece: Buffer,
): void {
	if (queue.res.destroyed) return
	const bytes = piece.length + PIECE_OVERHEAD_BYTES
	queue.pieces.push(piece)
	growHolder(held.bytes, queue.holder, bytes, held.observedMs)
}

function writeNext(ctx: GatewayContext, queue: ResponseQueue): void {
	const { res, pieces } = queue
	if (queue.isWriting || res.writableEnded || res.destroyed) return
	const isEnding = isDelivering(ctx, res)
	if (pieces.length === 0) {
		if (isEnding) res.end()
		return
	}
	const { parts, bytes } = takeBatch(pieces)
	const isLast = isEnding && pieces.length === 0
	queue.isWriting = true
	const onTaken = (err?: Error | null) => {
		queue.isWriting = false
		if (err) return
		const { heldResponses: held } = ctx
		shrinkHolder(held.bytes, queue.holder, bytes, held.observedMs)
		judgeQueue(ctx, queue)
		writeNext(ctx, queue)
	}
	for (const part of parts.slice(0, -1)) res.write(part)
	const last = parts.at(-1)!
	if (isLast) res.end(last, onTaken)
	else res.write(last, onTaken)
}

/** Removes the first pieces, up to the size of a batch; a large piece is divided. */
function takeBatch(pieces: Buffer[]): Batch {
	const parts: Buffer[] = []
	let room = BATCH_BYTES
	let overhead = 0
	while (pieces.length > 0 && room > 0) {
		const piece = pieces[0]!
		if (piece.length > room) {
			parts.push(piece.subarray(0, room))
			pieces[0] = piece.subarray(room)
			room = 0
			break
		}
		parts.push(piece)
		pieces.shift()
		room -= piece.length
		overhead += PIECE_OVERHEAD_BYTES
	}
	return { parts, bytes: BATCH_BYTES - room + overhead }
}
