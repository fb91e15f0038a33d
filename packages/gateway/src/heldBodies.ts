/** Counts the bodies of requests and answers as held while the settings announce pressure. */

import type { ServerResponse } from 'node:http'
import type { Holder } from '@juniperhook/core'
import {
	addHolder,
	growHolder,
	isMemoryFull,
	isMemoryShort,
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
}

const UNCOUNTED: BodyCount = { add: () => true }

/** Whether a new request is refused because too much is held for others. */
export function isRefusedForMemory(ctx: GatewayContext): boolean {
	return ctx.settings.underPressure && isMemoryShort(ctx.heldResponses.bytes)
}

/** Counts the body of a request until its response has ended. */
export function countRequestBody(
	ctx: GatewayContext,
	res: ServerResponse,
): BodyCount {
	if (!ctx.settings.underPressure) return UNCOUNTED
	const { bytes: held } = ctx.heldResponses
	let holder: Holder | undefined
	return {
		add(bytes) {
			if (!holder) {
				holder = addReceiving(ctx)
				const added = holder
				res.once('close', () => removeHolder(held, added))
			}
			growHolder(held, holder, bytes, ctx.heldResponses.observedMs)
			endFurthestBehind(ctx)
			return !isMemoryFull(held)
		},
	}
}

/** Reads the body of an answer, counted while it arrives. */
export async function readCountedBody(
	ctx: GatewayContext,
	answer: ServerAnswer,
): Promise<BodyResult> {
	if (!ctx.settings.underPressure) return await readAnswerBody(answer)
	const { heldResponses } = ctx
	const holder = addReceiving(ctx)
	const body = await readAnswerBody(answer, bytes => {
		growHolder(heldResponses.bytes, holder, bytes, heldResponses.observedMs)
		endFurthestBehind(ctx)
	})
	removeHolder(heldResponses.bytes, holder)
	return body
}

function addReceiving({ heldResponses }: GatewayContext): Holder {
	const { bytes, observedMs } = heldResponses
	return addHolder(bytes, 'receiving', observedMs, observedMs)
}
