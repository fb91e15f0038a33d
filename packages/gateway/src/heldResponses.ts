/**
 * Wires the bytes that readers and senders have not taken to the decisions on them, while
 * the settings announce pressure: pauses sources of streams and ends responses.
 */

import type { ServerResponse } from 'node:http'
import type { HoldEnd } from '@juniperhook/core'
import {
	addHolder,
	chooseFurthestBehind,
	heldLimitBytes,
	judgeHolder,
	mustPause,
	pauseHolder,
	receivedLimitBytes,
	removeHolder,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type {
	HeldResponses,
	ResponseQueue,
	StreamSource,
} from './heldResponsesState.ts'
import type { CallerRequest } from './job.ts'

/**
 * Largest step of the observed time, ms. After a suspension of the process, readers have
 * time to take what is held before they are judged.
 */
const MAX_STEP_MS = 200

/**
 * Returns the queue of a response, opening it on first use; undefined if the settings do
 * not call for one.
 */
export function queueOf(
	ctx: GatewayContext,
	res: ServerResponse,
	request: CallerRequest,
): ResponseQueue | undefined {
	const { heldResponses: held } = ctx
	const known = held.byResponse.get(res)
	if (known || !ctx.settings.underPressure) return known
	const waitMs = Math.max(0, request.deadlineAt - request.arrivedAt)
	const deadlineAt = held.observedMs + waitMs
	const queue: ResponseQueue = {
		res,
		holder: addHolder(held.bytes, 'relaying', deadlineAt, held.observedMs),
		requestId: request.id,
		beganAt: readNow(),
		pieces: [],
		isWriting: false,
		source: undefined,
		pauses: 0,
	}
	held.queues.set(queue.holder, queue)
	held.byResponse.set(res, queue)
	res.once('close', () => forgetQueue(held, queue))
	if (res.destroyed) forgetQueue(held, queue)
	return queue
}

function forgetQueue(held: HeldResponses, queue: ResponseQueue): void {
	removeHolder(held.bytes, queue.holder)
	held.queues.delete(queue.holder)
	queue.pieces.length = 0
	queue.source = undefined
}

/** Whether a complete answer is held whose reader still takes it. */
export function isDelivering(
	{ heldResponses }: GatewayContext,
	res: ServerResponse,
): boolean {
	const queue = heldResponses.byResponse.get(res)
	return queue?.holder.phase === 'delivering' && !res.destroyed
}

/** Starts or ends reading a server's stream for a response. */
export function setSource(
	queue: ResponseQueue,
	source: StreamSource | undefined,
): void {
	queue.source = source
	if (queue.holder.phase === 'paused') queue.holder.phase = 'relaying'
}

/** Pauses a stream's source if its reader is too far behind, after events were added. */
export function paceSource(ctx: GatewayContext, queue: ResponseQueue): void {
	const { heldResponses: held } = ctx
	endFurthestBehind(ctx)
	if (!queue.source || !mustPause(held.bytes, queue.holder)) return
	queue.pauses++
	if (queue.pauses === 1) {
		ctx.metrics.pausedResponses.inc()
		ctx.log.write('response paused', describeQueue(ctx, queue))
	}
	pauseHolder(queue.holder, held.observedMs)
	queue.source.pause()
}

/** Decides what is due for a response, after progress of its reader or with time. */
export function judgeQueue(ctx: GatewayContext, queue: ResponseQueue): void {
	const { heldResponses: held } = ctx
	// Ending a response also settles the write in progress, as if it were taken.
	if (!held.queues.has(queue.holder)) return
	const decision = judgeHolder(held.bytes, queue.holder, held.observedMs)
	switch (decision.kind) {
		case 'keep':
			return
		case 'readOn':
			readOn(held, queue)
			return
		case 'end':
			endResponse(ctx, queue, decision.reason)
			return
		default:
			decision satisfies never
	}
}

function readOn(held: HeldResponses, { holder, source }: ResponseQueue): void {
	holder.phase = 'relaying'
	source?.resume(held.observedMs - holder.pausedAt)
}

/** Ends responses while the sum is over its limit, the furthest behind first. */
export function endFurthestBehind(ctx: GatewayContext): void {
	const { bytes, queues, observedMs } = ctx.heldResponses
	for (;;) {
		const holder = chooseFurthestBehind(bytes, observedMs)
		const queue = holder && queues.get(holder)
		if (!queue) return
		endResponse(ctx, queue, 'memory')
	}
}

/**
 * Ends a response, which then does not look complete. As with a caller that leaves, this
 * closes the connection to the server, which stops its work.
 */
function endResponse(
	ctx: GatewayContext,
	queue: ResponseQueue,
	reason: HoldEnd,
): void {
	ctx.metrics.endedResponses.inc({ reason })
	ctx.log.write('response ended', { ...describeQueue(ctx, queue), reason })
	forgetQueue(ctx.heldResponses, queue)
	queue.res.destroy()
}

function describeQueue(ctx: GatewayContext, queue: ResponseQueue) {
	const { bytes, observedMs } = ctx.heldResponses
	const { holder } = queue
	return {
		req: queue.requestId,
		bytes: holder.bytes,
		ageMs: Math.round(readNow() - queue.beganAt),
		idleMs: Math.round(observedMs - holder.progressAt),
		phase: holder.phase,
		heldBytes: bytes.totalBytes,
		limitBytes: bytes.limitBytes,
	}
}

/** Advances the observed time and judges all responses. */
export function checkHeldResponses(ctx: GatewayContext): void {
	const { heldResponses: held } = ctx
	const now = readNow()
	held.observedMs += Math.min(now - held.checkedAt, MAX_STEP_MS)
	held.checkedAt = now
	held.bytes.limitBytes = heldLimitBytes(ctx.settings.memoryMb)
	ctx.received.limitBytes = receivedLimitBytes(ctx.settings.memoryMb)
	endFurthestBehind(ctx)
	for (const queue of [...held.queues.values()]) judgeQueue(ctx, queue)
	ctx.metrics.heldBytes.set(held.bytes.totalBytes)
	ctx.metrics.receivedBytes.set(ctx.received.totalBytes)
}
