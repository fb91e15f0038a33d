/**
 * Counts the bodies of requests and answers as held. Their sum is bounded; while the
 * settings announce pressure, they also count beside what slow readers have not taken.
 */

import type { ServerResponse } from 'node:http'
import type { ByteHold, Holder } from '@juniperhook/core'
import {
	addHolder,
	closeHold,
	completeHold,
	growHold,
	growHolder,
	isMemoryFull,
	isMemoryShort,
	openHold,
	removeHolder,
} from '@juniperhook/core'
import type { GatewayContext } from './context.ts'
import { endFurthestBehind } from './heldResponses.ts'
import type { BodyResult, ServerAnswer } from './serverCall.ts'
import { readAnswerBody } from './serverCall.ts'

/** Counts the parts of a body. */
export interface BodyCount {
	/** Counts a received part; returns false if there is no memory for it. */
	add(bytes: number): boolean
	/** Records that the whole body has been received. */
	complete(): void
}

/** An answer's body, or why there is none. */
export type CountedBody =
	| BodyResult
	/** It was broken off because the bodies together took too much memory. */
	| { readonly kind: 'tooLarge'; readonly bytes: number }

/** Whether a new request is refused because too much is held for others. */
export function isRefusedForMemory(ctx: GatewayContext): boolean {
	return ctx.settings.underPressure && isMemoryShort(ctx.heldResponses.bytes)
}

/**
 * Counts the body of a request until its response has ended; `onFull` is called if it
 * must not be received any further.
 */
export function countRequestBody(
	ctx: GatewayContext,
	res: ServerResponse,
	onFull: () => void,
): BodyCount {
	const { received, heldResponses } = ctx
	const { bytes: held } = heldResponses
	let hold: ByteHold | undefined
	let holder: Holder | undefined
	const open = () => {
		const opened = openHold(received, onFull)
		const added = ctx.settings.underPressure ? addReceiving(ctx) : undefined
		res.once('close', () => {
			closeHold(received, opened)
			if (added) removeHolder(held, added)
		})
		holder = added
		return opened
	}
	return {
		add(bytes) {
			// Most requests have no body.
			hold ??= open()
			growHold(received, hold, bytes)
			if (!holder) return true
			growHolder(held, holder, bytes, heldResponses.observedMs)
			endFurthestBehind(ctx)
			return !isMemoryFull(held)
		},
		complete() {
			if (hold) completeHold(hold)
		},
	}
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
	const body = await readAnswerBody(answer, bytes => {
		growHold(received, hold, bytes)
		if (!holder) return
		growHolder(heldResponses.bytes, holder, bytes, heldResponses.observedMs)
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
