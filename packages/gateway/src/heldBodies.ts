/**
 * Counts the bodies of requests and answers as held. Their sum is bounded; while the
 * settings announce pressure, they also count beside what slow readers have not taken.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Holder } from '@juniperhook/core'
import {
	addHolder,
	closeHold,
	growHold,
	growHolder,
	isMemoryFull,
	isMemoryShort,
	openHold,
	removeHolder,
} from '@juniperhook/core'
import type { RequestBody } from '@juniperhook/runtime'
import { receiveBody } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { endFurthestBehind } from './heldResponses.ts'
import type { BodyResult, ServerAnswer } from './serverCall.ts'
import { readAnswerBody } from './serverCall.ts'

/** An answer's body, or why there is none. */
export type CountedBody =
	| BodyResult
	/** It was broken off because the bodies together took too much memory. */
	| { readonly kind: 'tooLarge'; readonly bytes: number }

/** Whether a new request is refused because too much is held for others. */
export function isRefusedForMemory(ctx: GatewayContext): boolean {
	return ctx.settings.underPressure && isMemoryShort(ctx.heldResponses.bytes)
}

/** Receives the body of a request, counted until its response has ended. */
export function receiveCountedBody(
	ctx: GatewayContext,
	req: IncomingMessage,
	res: ServerResponse,
): RequestBody {
	const { received, heldResponses, routes } = ctx
	const { bytes: held } = heldResponses
	const maxBytes = routes?.config.limits.maxBodyBytes ?? 0
	const limits = { maxBytes, budget: received }
	if (!ctx.settings.underPressure) return receiveBody(req, res, limits)
	let holder: Holder | undefined
	const open = () => {
		const opened = addReceiving(ctx)
		res.once('close', () => removeHolder(held, opened))
		return opened
	}
	return receiveBody(req, res, limits, growth => {
		holder ??= open()
		growHolder(held, holder, growth, heldResponses.observedMs)
		endFurthestBehind(ctx)
		return !isMemoryFull(held)
	})
}

/** Reads the body of an answer, counted while it arrives. */
export async function readCountedBody(
	ctx: GatewayContext,
	answer: ServerAnswer,
): Promise<CountedBody> {
	const { received, heldResponses } = ctx
	let isTooLarge = false
	const hold = openHold(received, () => {
		isTooLarge = true
		answer.closeConnection()
	})
	const holder = ctx.settings.underPressure ? addReceiving(ctx) : undefined
	const body = await readAnswerBody(answer, growth => {
		growHold(received, hold, growth)
		if (!holder) return
		growHolder(heldResponses.bytes, holder, growth, heldResponses.observedMs)
		endFurthestBehind(ctx)
	})
	if (holder) removeHolder(heldResponses.bytes, holder)
	closeHold(received, hold)
	return isTooLarge ? { kind: 'tooLarge', bytes: hold.bytes } : body
}

function addReceiving({ heldResponses }: GatewayContext): Holder {
	const { bytes, observedMs } = heldResponses
	return addHolder(bytes, 'receiving', observedMs, observedMs)
}
